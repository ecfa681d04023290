package peer

import (
	"context"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
)

// LocalForwarder hands attempts at the node's own target to its gate and the
// rest to another forwarder.
type LocalForwarder struct {
	vanillabarrow.Forwarder
	address  string
	gate     vanillabarrow.Gate
	observer Observer
}

// NewLocalForwarder returns a forwarder for the node with the given peer
// address.
func NewLocalForwarder(remote vanillabarrow.Forwarder, address string, gate vanillabarrow.Gate, observer Observer) *LocalForwarder {
	return &LocalForwarder{Forwarder: remote, address: address, gate: gate, observer: observer}
}

// Forward implements vanillabarrow.Forwarder.
func (f *LocalForwarder) Forward(ctx context.Context, a *vanillabarrow.Attempt) (*vanillabarrow.Response, error) {
	if a.Address != f.address {
		return f.Forwarder.Forward(ctx, a)
	}
	local := *a
	local.Token = f.gate.Token()
	answer, err := f.gate.Handle(ctx, &local)
	f.observer.Report(a.Target.Name, f.gate.Load(a.Request.Priority), time.Now())
	return answer, err
}

// QueryAttempt implements vanillabarrow.Forwarder. Nothing between an entry and its own
// gate can lose an answer.
func (f *LocalForwarder) QueryAttempt(ctx context.Context, a *vanillabarrow.Attempt) (*vanillabarrow.AttemptReport, error) {
	if a.Address != f.address {
		return f.Forwarder.QueryAttempt(ctx, a)
	}
	return &vanillabarrow.AttemptReport{State: vanillabarrow.AttemptRunning}, nil
}
