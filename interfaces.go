package vanillabarrow

import (
	"context"
	"time"
)

// PlatformConnectivity tells whether a node can reach the platform.
type PlatformConnectivity interface {
	// IsDisconnected reports whether the platform gives this node no answer, while it
	// may serve others.
	IsDisconnected(now time.Time) bool
}

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

// Rollout keeps a node's configuration up to date.
type Rollout interface {
	Configuration
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
	// IsReady reports whether the node may take work.
	IsReady() bool
	// VMList returns the newest VM list, nil if there is none.
	VMList() *VMList
	// HeldVersion returns the newest version held, good or bad.
	HeldVersion() Version
	// Hint tells that the node at a peer address holds a newer version.
	Hint(address string)
	// WaitForNewest returns when the newest reachable version is in force, after
	// the timeout at the latest.
	WaitForNewest(ctx context.Context, timeout time.Duration)
	// Parents returns the peer addresses of the nodes that are followed.
	Parents() []string
	// Status returns the state for operators.
	Status() RolloutStatus
}

// ItemSource lists and watches published items. Errors mean that nothing was
// learned.
type ItemSource interface {
	// List returns all items.
	List(ctx context.Context) (*Delta, error)
	// Watch returns what changed after a revision, and an empty delta when
	// nothing did for the time of the wait. ErrHistoryLost means that List is
	// needed.
	Watch(ctx context.Context, after Version, wait time.Duration) (*Delta, error)
}

// ItemCompiler builds a snapshot from items. The problems name entries that
// were left out or the values that they had before; they are not fatal.
type ItemCompiler interface {
	Compile(items []Item, version Version, now time.Time) (*Snapshot, []error)
}

// ItemRelay passes items between nodes. Addresses are those of peer listeners.
type ItemRelay interface {
	// Follow calls receive for each delta until the stream ends or receive
	// fails. The cursor is the last one that the peer sent. With announceOnly
	// set, deltas tell only what the peer knows, without its items.
	Follow(ctx context.Context, address string, cursor Cursor, announceOnly bool, receive func(*Delta) error) error
	// Pull returns what changed at the peer since the cursor.
	Pull(ctx context.Context, address string, cursor Cursor) (*Delta, error)
}

// CallerProtocol translates between callers' header fields and the product's
// types.
type CallerProtocol interface {
	// ID returns the caller's own id of the request, empty for none.
	ID(h Header) string
	// DecodeRequest completes a request. The budget is the time that the caller waits, 0
	// when it does not say.
	DecodeRequest(h Header, request *Request, service *Service) (budget time.Duration, err error)
	// EncodeResponse completes the header of an answer.
	EncodeResponse(h Header, answer *Response)
	// EncodeRefusal completes the header of a refusal and returns status and body.
	EncodeRefusal(h Header, refusal *Refusal) (status int, body []byte)
}

// TargetProtocol translates between the product's types and the header fields
// that targets understand.
type TargetProtocol interface {
	// EncodeRequest completes the header of a request.
	EncodeRequest(h Header, attempt *Attempt, now time.Time)
	// Classify tells what an answer is.
	Classify(attempt *Attempt, status int, h Header) ResponseClass
	// Health reads the header of an answer to a health check.
	Health(status int, h Header) Health
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
	// Bytes is the number of bytes that the request and its answer are expected
	// to move.
	Bytes int
}

// Balancer chooses among candidates. It does no I/O and keeps no state.
type Balancer interface {
	// Pick returns the index of the chosen candidate, -1 for none.
	Pick(candidates []Candidate, now time.Time) int
}

// Limiter admits requests to one target.
type Limiter interface {
	// Acquire waits for a slot. The error is a *Refusal with VerdictNotRun.
	Acquire(ctx context.Context, admission Admission) error
	// Release gives the slot back with what the attempt told.
	Release(admission Admission, signal TargetSignal, latency time.Duration)
	// Configure takes over what a snapshot says about the target.
	Configure(target *Target, service *Service, now time.Time)
	// NeedsHealthCheck reports whether the target's health should be asked for.
	NeedsHealthCheck() bool
	// UpdateHealth takes over what the target says about itself.
	UpdateHealth(health Health, now time.Time)
	// Load returns the current load as a request of the priority finds it.
	Load(priority int) Load
	// LimitDecreases returns how often the limit fell.
	LimitDecreases() uint64
}

// RetryPolicy decides whether a request gets another attempt.
type RetryPolicy interface {
	// Observe counts a first attempt at a service.
	Observe(service string)
	// Allow takes a retry after a refusal for the reason from the service's
	// budget, and reports whether there was one.
	Allow(service string, reason Reason) bool
}

// Forwarder sends attempts to the nodes of targets.
type Forwarder interface {
	// Forward sends the attempt. The error is a *Refusal; VerdictMayHaveRun
	// stands for every case in which no verdict of the gate arrived.
	Forward(ctx context.Context, attempt *Attempt) (*Response, error)
	// QueryAttempt asks the gate over a new connection about the attempt and fences it
	// when it has not started.
	QueryAttempt(ctx context.Context, attempt *Attempt) (*AttemptReport, error)
}

// KeyReleaser asks gates that were home to an idempotency key before.
type KeyReleaser interface {
	// ReleaseKey asks the gate of the target at the address to give the key up
	// and reports what it knows. AttemptFenced proves that the key did not
	// run there and never will.
	ReleaseKey(ctx context.Context, address string, question KeyReleaseRequest) (*AttemptReport, error)
}

// Executor runs requests at this node's own target.
type Executor interface {
	// Execute sends the request to the target. The error is a *Refusal.
	Execute(ctx context.Context, attempt *Attempt) (*Response, error)
}

// Gate is the only way to a target.
type Gate interface {
	// Handle runs the attempt at the own target or refuses it.
	Handle(ctx context.Context, attempt *Attempt) (*Response, error)
	// QueryAttempt reports on an attempt and fences it when it has not started.
	QueryAttempt(attempt *Attempt) *AttemptReport
	// ReleaseKey gives up an idempotency key to its new home.
	ReleaseKey(question KeyReleaseRequest) *AttemptReport
	// Token returns the current token.
	Token() Token
	// Load returns the current load as a request of the priority finds it.
	Load(priority int) Load
}

// Dispatcher takes routed requests to their end.
type Dispatcher interface {
	// Do runs the request. The error is a *Refusal.
	Do(ctx context.Context, request *Request) (*Response, error)
}
