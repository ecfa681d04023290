package vanillabarrow

import (
	"context"
	"time"
)

// PlatformConnectivity reports whether a node can reach the platform.
type PlatformConnectivity interface {
	// IsDisconnected reports whether this node gets no responses from the
	// platform, while other nodes may still get some.
	IsDisconnected(now time.Time) bool
	// LastResponse returns when the platform last responded to a call of this node,
	// zero for never.
	LastResponse() time.Time
}

// Source reads published values from the platform. An error says nothing about
// the value; in particular it does not mean that the value is absent.
type Source interface {
	// Read returns the newest value of a key.
	Read(ctx context.Context, key string) (*Value, error)
	// Watch blocks until the value has a revision above after and returns it. It
	// returns nil without an error when the wait times out without a change.
	Watch(ctx context.Context, key string, after Version) (*Value, error)
}

// Configuration provides the snapshot in force.
type Configuration interface {
	// Snapshot returns the snapshot in force, nil before the first one.
	Snapshot() *Snapshot
}

// Rollout keeps a node's configuration up to date.
type Rollout interface {
	Configuration
	// Changed returns a channel that is closed at the next change of the
	// configuration or the VM list.
	Changed() <-chan struct{}
	// IsReady reports whether the node may accept requests.
	IsReady() bool
	// VMList returns the newest VM list, nil if there is none.
	VMList() *VMList
	// HeldVersion returns the newest version received, valid or not.
	HeldVersion() Version
	// Hint notes that the node at a peer address has a newer version, 0 if the
	// version is not known.
	Hint(address string, version Version)
	// WaitForNewest asks other nodes for newer versions. It returns when the
	// newest reachable version is in force, or after the timeout.
	WaitForNewest(ctx context.Context, timeout time.Duration)
	// Parents returns the peer addresses of the nodes from which this node
	// receives versions.
	Parents() []string
	// Status returns the state of the rollout for operators.
	Status() RolloutStatus
}

// ItemSource lists and watches published items. An error says nothing about
// the items. Responses have the version that the platform states, which may be lower
// than that of the request if the platform was restored from an older copy. A response
// that names no era counts as of the era that the caller holds.
type ItemSource interface {
	// List returns all items. The caller holds the given version.
	List(ctx context.Context, held Version) (*Delta, error)
	// Watch returns the changes after a version, or an empty delta when nothing
	// changed during the wait. After ErrHistoryLost, or if the delta is of another era,
	// the caller has to use List.
	Watch(ctx context.Context, request WatchRequest) (*Delta, error)
	// Probe returns a version that the platform has reached. It fails with
	// ErrNoResponse if the platform does not respond within the timeout.
	Probe(ctx context.Context, request ProbeRequest) (Version, error)
}

// ItemOrder decides by what the writers of items state which of two items with the same
// key was written later. Eras don't show that: an item of a later era may come from a
// copy that is older.
type ItemOrder interface {
	// Supersedes reports whether an item of a later era replaces one of an earlier
	// era. Removed items have the last known value.
	Supersedes(newer, older Item) bool
}

// ItemCompiler builds a snapshot from items.
type ItemCompiler interface {
	// Compile returns the snapshot and the problems found. Problems are not
	// fatal: an invalid entry is left out, or keeps its previous value.
	Compile(items []Item, version Version, now time.Time) (*Snapshot, []error)
}

// ItemRelay transfers items between nodes. Addresses are those of peer
// listeners.
type ItemRelay interface {
	// Follow calls receive for each delta until the stream ends or receive
	// returns an error. With AnnounceOnly set in the request, deltas carry the
	// peer's cursor and revision but no items.
	Follow(ctx context.Context, address string, request ItemRequest, receive func(*Delta) error) error
	// Pull returns the items that changed at the peer since those that the
	// request describes.
	Pull(ctx context.Context, address string, request ItemRequest) (*Delta, error)
}

// CallerProtocol converts between the header fields that callers use and the
// types of this package.
type CallerProtocol interface {
	// ID returns the request id set by the caller, empty for none.
	ID(h Header) string
	// Credential returns the credential by which a tenant is identified, empty for
	// none. No other node and no target receives it.
	Credential(h Header) string
	// DecodeRequest fills in the request from its header, after its tenant has been
	// set. The budget is the time
	// that the caller is willing to wait, 0 if not stated. The error names
	// the invalid field.
	DecodeRequest(h Header, request *Request, service *Service) (budget time.Duration, err error)
	// EncodeResponse adds the protocol's fields to the header of a response.
	EncodeResponse(h Header, response *Response)
	// EncodeRefusal adds the protocol's fields to the header of a refusal and
	// returns its HTTP status and body.
	EncodeRefusal(h Header, refusal *Refusal) (status int, body []byte)
}

// TargetProtocol converts between the types of this package and the header
// fields that targets use.
type TargetProtocol interface {
	// EncodeRequest adds the protocol's fields to the header of a request.
	EncodeRequest(h Header, attempt *Attempt, now time.Time)
	// Classify returns the class of a response.
	Classify(attempt *Attempt, status int, h Header) ResponseClass
	// NamesRequest reports whether a response with the header names the request
	// that it responds to.
	NamesRequest(h Header) bool
	// Health decodes the response to a health check.
	Health(status int, h Header) Health
}

// Members reports which VMs are considered live.
type Members interface {
	// Live reports whether the VM accepts new requests, as far as is known.
	Live(vm string) bool
}

// Candidate is one target that a balancer may choose.
type Candidate struct {
	Target *Target
	// Distance is 0 for a target in the node's own data centre, 1 in its own
	// region and 2 elsewhere.
	Distance int
	// InFlight is the number of this node's attempts in flight at the target.
	InFlight int
	// Load is the last load that the target's gate reported, at ReportedAt.
	Load       Load
	ReportedAt time.Time
	// Trial is set for a target that is due for one trial request: it was ejected
	// after repeated failures, or its registration expired.
	Trial bool
	// Bytes is the expected size of the request and its response together.
	Bytes int
	// ExecTime is the time that the target is expected to take for a request of
	// the class, 0 if no target has reported it.
	ExecTime time.Duration
}

// Balancer chooses a target among candidates. It does no I/O and keeps no state
// about targets.
type Balancer interface {
	// Pick returns the index of the chosen candidate, or -1 for none.
	Pick(candidates []Candidate, now time.Time) int
}

// Limiter admits requests to one target.
type Limiter interface {
	// Acquire blocks until a slot is free. The error is a *Refusal with
	// VerdictNotRun.
	Acquire(ctx context.Context, admission Admission) error
	// Release returns the slot and reports the attempt's outcome and latency.
	Release(admission Admission, signal TargetSignal, latency time.Duration)
	// Configure applies the settings of the target and its service from a new
	// snapshot. The service may be nil.
	Configure(target *Target, service *Service, now time.Time)
	// NeedsHealthCheck reports whether the target should be sent a health check.
	NeedsHealthCheck() bool
	// UpdateHealth applies the result of a health check.
	UpdateHealth(health Health, now time.Time)
	// Load returns the current load as seen by a request of the priority.
	Load(priority int) Load
	// LimitDecreases returns the number of signals of overload so far, for each
	// of which an adaptive limit is lowered.
	LimitDecreases() uint64
}

// ExecTimeReporter is implemented by gates and limiters that measure how long
// the target takes.
type ExecTimeReporter interface {
	// ExecTime returns the mean time that the target takes for a request of the
	// class, 0 if unknown.
	ExecTime(class string) time.Duration
}

// RetryPolicy decides whether a request may be retried.
type RetryPolicy interface {
	// Observe counts the first attempt of a request to a service.
	Observe(service string)
	// Allow charges a retry after a refusal with the given reason to the
	// service's retry budget. It returns false if the budget is exhausted.
	Allow(service string, reason Reason) bool
}

// Allowances limits the requests of tenants over all nodes together.
type Allowances interface {
	// Admit takes one request from the tenant's allowance. It waits for a short time
	// for the node that divides the allowance, if it is not known whether any is left.
	// The error is a *Refusal with VerdictNotRun and ReasonAllowance.
	Admit(ctx context.Context, tenant *Tenant) error
}

// HedgePolicy decides when a second attempt of a request is sent while the first
// one is still running.
type HedgePolicy interface {
	// Observe counts the first attempt of a request to a service.
	Observe(service string)
	// Record records the time from the start of an attempt on a route to its
	// response.
	Record(route string, latency time.Duration)
	// Delay returns the time without a response after which a request on the route
	// is hedged, and false if it is not.
	Delay(route string) (time.Duration, bool)
	// Allow charges a hedge to the service's limit. It returns false if the limit
	// is reached.
	Allow(service string) bool
}

// MemoryBudget bounds the memory that clients occupy before their requests are
// admitted.
type MemoryBudget interface {
	// Reserve takes a number of bytes from the budget. It returns false, and takes
	// nothing, if fewer are left.
	Reserve(bytes int64) bool
	// Release returns bytes to the budget.
	Release(bytes int64)
}

// Forwarder sends attempts to the nodes of targets.
type Forwarder interface {
	// Forward sends the attempt. The error is a *Refusal. If no verdict was
	// received from the gate, it has VerdictNotRun only if the gate can't have
	// run the request, and VerdictMayHaveRun otherwise.
	Forward(ctx context.Context, attempt *Attempt) (*Response, error)
	// QueryAttempt queries the state of the attempt at the gate over a new
	// connection. An attempt that has not arrived there is fenced: the gate
	// will refuse it. An error says nothing about the attempt.
	QueryAttempt(ctx context.Context, attempt *Attempt) (*AttemptReport, error)
}

// Withdrawer withdraws attempts that a Forwarder has sent.
type Withdrawer interface {
	// WithdrawAttempt asks the gate to refuse the attempt if it waits for a slot, and
	// returns the state of the attempt. AttemptFenced with NotRun set proves that it
	// will not run. An error says nothing about the attempt.
	WithdrawAttempt(ctx context.Context, attempt *Attempt) (*AttemptReport, error)
}

// KeyReleaser requests the release of idempotency keys by their previous owners.
type KeyReleaser interface {
	// ReleaseKey asks the gate at the peer address to release the key and returns
	// the state of the request that used it. AttemptFenced proves that no request
	// with the key ran there or will run. An error says nothing about the key.
	ReleaseKey(ctx context.Context, address string, request KeyReleaseRequest) (*AttemptReport, error)
}

// Executor sends requests to the target on this node's VM.
type Executor interface {
	// Execute sends the request to the target. The error is a *Refusal.
	Execute(ctx context.Context, attempt *Attempt) (*Response, error)
}

// Gate is the admission control in front of the target on the node's VM. All
// requests to the target pass through it.
type Gate interface {
	// Handle runs the attempt at the target or refuses it. The error is a
	// *Refusal.
	Handle(ctx context.Context, attempt *Attempt) (*Response, error)
	// QueryAttempt returns the state of an attempt. An attempt that has not
	// arrived is fenced: the gate will refuse it.
	QueryAttempt(attempt *Attempt) *AttemptReport
	// WithdrawAttempt refuses an attempt that waits for a slot, so that it will not
	// run, and returns its state. An attempt that has got a slot goes on.
	WithdrawAttempt(attempt *Attempt) *AttemptReport
	// ReleaseKey releases an idempotency key to its new owner.
	ReleaseKey(request KeyReleaseRequest) *AttemptReport
	// Token returns the current token.
	Token() Token
	// Load returns the current load as seen by a request of the priority.
	Load(priority int) Load
}

// Dispatcher sends routed requests to targets and retries them.
type Dispatcher interface {
	// Do returns the response to the request. The error is a *Refusal.
	Do(ctx context.Context, request *Request) (*Response, error)
}
