package peer

import (
	"context"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
)

// RemoteForwarder sends attempts to other nodes.
type RemoteForwarder interface {
	vanillabarrow.Forwarder
	vanillabarrow.Withdrawer
}

// LocalForwarder passes attempts at the node's own target directly to its gate,
// and all others to another forwarder.
type LocalForwarder struct {
	RemoteForwarder
	address  string
	gate     vanillabarrow.Gate
	observer Observer
}

// NewLocalForwarder returns a forwarder for the node with the given peer
// address.
func NewLocalForwarder(remote RemoteForwarder, address string, gate vanillabarrow.Gate, observer Observer) *LocalForwarder {
	return &LocalForwarder{RemoteForwarder: remote, address: address, gate: gate, observer: observer}
}

// Forward implements vanillabarrow.Forwarder.
func (f *LocalForwarder) Forward(ctx context.Context, a *vanillabarrow.Attempt) (*vanillabarrow.Response, error) {
	if a.Address != f.address {
		return f.RemoteForwarder.Forward(ctx, a)
	}
	a.Sending.Hold()
	local := *a
	local.Token = f.gate.Token()
	response, err := f.gate.Handle(ctx, &local)
	f.observer.ObserveLoad(a.Target.Name, loadFor(f.gate, a.Request), time.Now())
	return response, err
}

// QueryAttempt implements vanillabarrow.Forwarder. No response of the local gate
// is lost on a network, so an attempt without a response is still running.
func (f *LocalForwarder) QueryAttempt(ctx context.Context, a *vanillabarrow.Attempt) (*vanillabarrow.AttemptReport, error) {
	if a.Address != f.address {
		return f.RemoteForwarder.QueryAttempt(ctx, a)
	}
	return &vanillabarrow.AttemptReport{State: vanillabarrow.AttemptRunning}, nil
}

// WithdrawAttempt implements vanillabarrow.Withdrawer.
func (f *LocalForwarder) WithdrawAttempt(ctx context.Context, a *vanillabarrow.Attempt) (*vanillabarrow.AttemptReport, error) {
	if a.Address != f.address {
		return f.RemoteForwarder.WithdrawAttempt(ctx, a)
	}
	local := *a
	local.Token = f.gate.Token()
	return f.gate.WithdrawAttempt(&local), nil
}
