package vanillabarrow

import (
	"context"
	"time"
)

// Source reads published values from the platform. Errors mean that nothing
// was learned; they never mean that a value is absent.
type Source interface {
	// Read returns the newest value of a key.
	Read(ctx context.Context, key string) (*Value, error)
	// Watch returns a value with a revision above after. It returns nil
	// without an error when the wait ended with no change.
	Watch(ctx context.Context, key string, after Version) (*Value, error)
}

// Configuration gives the snapshot in force.
type Configuration interface {
	// Snapshot returns the snapshot in force, nil before the first.
	Snapshot() *Snapshot
}

// Members tells which VMs are believed to be up.
type Members interface {
	// Live reports whether the VM takes new work as far as is known.
	Live(vm string) bool
}

// Candidate is one target that a balancer may choose.
type Candidate struct {
	Target *Target
	// Distance is 0 in the own data centre, 1 in the own region, 2 elsewhere.
	Distance int
	// InFlight counts this node's own open attempts at the target.
	InFlight int
	// Load is the last load reported, and ReportedAt when it was.
	Load       Load
	ReportedAt time.Time
	// Trial is set for a target that was set aside and is due for one try.
	Trial bool
}

// Balancer chooses among candidates. It does no I/O and keeps no state.
type Balancer interface {
	// Pick returns the index of the chosen candidate, -1 for none.
	Pick(candidates []Candidate, now time.Time) int
}

// Limiter admits requests to one target.
type Limiter interface {
	// Acquire waits for a slot. The error is a *Refusal with VerdictNotRun.
	Acquire(ctx context.Context, deadline time.Time) error
	// Release gives the slot back with what the attempt told.
	Release(signal TargetSignal, latency time.Duration)
	// SetSlots changes the bound that the limit may climb to.
	SetSlots(slots int)
	// Load returns the current load.
	Load() Load
	// Cuts returns how often the limit fell.
	Cuts() uint64
}

// RetryPolicy decides whether a request gets another attempt.
type RetryPolicy interface {
	// Observe counts a first attempt.
	Observe()
	// Allow takes a retry after a refusal for the reason from the budget, and
	// reports whether there was one.
	Allow(reason Reason) bool
}

// Forwarder sends attempts to the nodes of targets.
type Forwarder interface {
	// Forward sends the attempt. The error is a *Refusal; VerdictMayHaveRun
	// stands for every case in which no verdict of the gate arrived.
	Forward(ctx context.Context, attempt *Attempt) (*Answer, error)
	// Ask asks the gate over a new connection about the attempt and fences it
	// when it has not started.
	Ask(ctx context.Context, attempt *Attempt) (*AttemptReport, error)
}

// KeyMemory asks gates that were home to an idempotency key before.
type KeyMemory interface {
	// Surrender asks the gate of the target at the address to give the key up
	// and reports what it knows. AttemptFenced proves that the key did not
	// run there and never will.
	Surrender(ctx context.Context, address string, question KeyQuestion) (*AttemptReport, error)
}

// Executor runs requests at this node's own target.
type Executor interface {
	// Execute sends the request to the target. The error is a *Refusal.
	Execute(ctx context.Context, attempt *Attempt) (*Answer, error)
}

// Gate is the only way to a target.
type Gate interface {
	// Handle runs the attempt at the own target or refuses it.
	Handle(ctx context.Context, attempt *Attempt) (*Answer, error)
	// Ask reports on an attempt and fences it when it has not started.
	Ask(attempt *Attempt) *AttemptReport
	// Surrender gives up an idempotency key to its new home.
	Surrender(question KeyQuestion) *AttemptReport
	// Token returns the current token.
	Token() Token
	// Load returns the current load.
	Load() Load
}

// Dispatcher takes routed requests to their end.
type Dispatcher interface {
	// Do runs the request. The error is a *Refusal.
	Do(ctx context.Context, request *Request) (*Answer, error)
}
