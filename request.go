package vanillabarrow

import (
	"io"
	"math"
	"time"
)

// Header maps canonical header field names to their values.
type Header map[string][]string

// Token identifies a period in one run of a gate. An attempt carries the latest
// token that its sender got from the gate. The gate refuses an attempt whose
// token is older than its records, so that it need not keep records
// indefinitely.
type Token struct {
	// Incarnation is unique for each start of a gate.
	Incarnation string
	// Epoch is the number of periods of fixed length since the start.
	Epoch uint64
}

// Request is a caller's request, independent of its encoding.
type Request struct {
	// ID is unique for each request of a caller.
	ID      string
	Service string
	Method  string
	Host    string
	// Path is the path with the query.
	Path   string
	Header Header
	// Body is the complete body, or the start of a longer one.
	Body []byte
	// Stream is the rest of a body that is too large to buffer, or nil.
	Stream io.Reader
	// Size is the length of the body in bytes, -1 if unknown.
	Size int64
	// Idempotent is set when the request may run more than once.
	Idempotent bool
	// Route is the name of the matched route.
	Route string
	// MaxAttempts is the maximum number of targets that the request may reach. If
	// it is 0, the service's Retries limit the attempts instead.
	MaxAttempts int
	// Timeout is the route's timeout, 0 for the service's Timeout.
	Timeout time.Duration
	// Objective is the time by which the caller expects the response, zero for
	// none.
	Objective time.Time
	// Priority orders requests in a gate's queue. 0 is the most urgent.
	Priority int
	// Tenant is the name of the tenant on whose behalf the request is sent, empty
	// for none.
	Tenant string
	// Credential is the digest of the tenant's credential. It is set at the node
	// that the caller uses only.
	Credential CredentialDigest
	// Regions lists the regions in which the request may be served. Nil allows all,
	// an empty list none.
	Regions []string
	// Key is the caller's idempotency key, empty for none.
	Key string
	// Depth is the number of mesh hops that led to this request.
	Depth int
	// RetriesLeft is the maximum number of attempts after the first, at this
	// node and in downstream services.
	RetriesLeft int
}

// Attempt is a single try to run a request at one target.
type Attempt struct {
	// ID is unique across all nodes and restarts.
	ID      string
	Request *Request
	Target  *Target
	// Address is the peer address of the target's node.
	Address string
	// Version is the configuration version by which the target was chosen.
	Version Version
	// Token is the latest token that the sender got from the target's gate.
	Token Token
	// Deadline is the time after which the caller no longer waits.
	Deadline time.Time
	// RetriesLeft is the number of retries that the target may use for its own
	// requests to other services.
	RetriesLeft int
	// Late is set when no gate can meet the objective, so that gates consider
	// only the deadline.
	Late bool
	// Hedge is set when the request still runs at another target. A gate admits
	// the attempt only to a slot that is free on arrival.
	Hedge bool
	// CredentialProof shows a gate which credential the request was sent with, empty
	// for none. It is valid for this attempt only.
	CredentialProof string
	// Sending tells whether the attempt may have been sent. It is nil at a gate
	// that got the attempt from another node.
	Sending *Sending
}

// Response is a target's response to one attempt.
type Response struct {
	Status int
	Header Header
	Body   []byte
	// Stream is the rest of a body that is too large to buffer, or nil. Reads
	// return an error when the response is truncated.
	Stream io.ReadCloser
	// Deadline is the time after which the caller no longer waits for the rest of
	// the stream, zero if there is none.
	Deadline time.Time
	// Size is the length of the body in bytes, -1 if unknown.
	Size int64
	// Target is the name of the target.
	Target string
	// Attempts is the number of attempts made for the request.
	Attempts int
}

// BufferedBytes returns the size of the header and of the buffered body.
func (r *Response) BufferedBytes() int {
	n := len(r.Body)
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + len(value)
		}
	}
	return n
}

// Load is the load of a target, which its gate reports with each response.
type Load struct {
	InFlight int `json:"inFlight"`
	Queued   int `json:"queued"`
	Limit    int `json:"limit"`
	// Unavailable is set when the gate refuses all new requests. A node that has
	// begun to shut down still accepts them for some time.
	Unavailable bool `json:"draining"`
	// Wait is the estimated time that a new request would wait for a slot.
	Wait time.Duration `json:"wait,omitempty"`
	// Priority is the priority that Queued and Wait apply to. Fewer requests are
	// queued ahead of a more urgent one.
	Priority int `json:"priority"`
	// FailurePercent is the percentage of recent requests that the target failed.
	FailurePercent int `json:"failurePercent,omitempty"`
	// ExecTime is the mean time that the target takes for a request of the class
	// that the report was made for, 0 if unknown.
	ExecTime time.Duration `json:"execTime,omitempty"`
	// Class is the class that ExecTime applies to.
	Class string `json:"class,omitempty"`
	// CallsShed is set while requests that the target sends fail because other
	// targets shed them, and not because of an overload.
	CallsShed bool `json:"callsShed,omitempty"`
}

// LowestPriority is queued after all other priorities.
const LowestPriority = math.MaxInt32

// Admission describes a request to a limiter.
type Admission struct {
	// Class groups requests that take about the same time.
	Class string
	// Priority orders requests in the queue. 0 is the most urgent.
	Priority int
	// Objective is the time by which the caller expects the response, zero for
	// none.
	Objective time.Time
	// Deadline is the time after which the caller no longer waits.
	Deadline time.Time
	// Late is set when the objective is to be ignored.
	Late bool
	// Tenant is the tenant of the request, empty for none. Tenants of the same
	// priority share the slots fairly.
	Tenant string
	// Hedge is set for a request that is admitted only to a slot that is free on
	// arrival.
	Hedge bool
}

// AttemptState is the state of an attempt as known by a gate.
type AttemptState int

// States of an attempt at a gate.
const (
	// AttemptUnknown means that the gate does not know: the attempt was sent to
	// another incarnation, its token is too old, or the table of records is
	// full.
	AttemptUnknown AttemptState = iota
	// AttemptRunning means that the attempt is queued or running.
	AttemptRunning
	// AttemptFinished means that the target responded.
	AttemptFinished
	// AttemptFenced proves that the attempt did not run and never will.
	AttemptFenced
	// AttemptFailed means that the attempt ended without a response and that the
	// target may have run it.
	AttemptFailed
)

var attemptStateNames = map[AttemptState]string{
	AttemptUnknown:  "unknown",
	AttemptRunning:  "running",
	AttemptFinished: "finished",
	AttemptFenced:   "fenced",
	AttemptFailed:   "failed",
}

// String returns the name of the state.
func (s AttemptState) String() string {
	return attemptStateNames[s]
}

// AttemptReport is a gate's reply to a query about an attempt.
type AttemptReport struct {
	State AttemptState
	// NotRun is set for AttemptFenced if also an idempotent attempt has certainly
	// not run. Without it, the gate may have run the attempt and removed its
	// record.
	NotRun bool
	// Response is set for AttemptFinished as long as the gate stores the response.
	Response *Response
}

// KeyReleaseRequest asks a gate to release an idempotency key to its new owner.
type KeyReleaseRequest struct {
	Target  string
	Service string
	Key     string
	// Fingerprint is a hash of the request that carries the key.
	Fingerprint uint64
	// Version is the configuration version by which the sender owns the key.
	Version Version
}

// TargetSignal is the outcome of an attempt as an indication of the target's
// condition.
type TargetSignal int

// Signals of attempts at a target.
const (
	// SignalOK is a timely response.
	SignalOK TargetSignal = iota
	// SignalDown is a refused connection.
	SignalDown
	// SignalRefused is a connection reset, an invalid response, or a response by
	// which the target sheds load.
	SignalRefused
	// SignalFailed is a timely response that reports a failure of the target.
	SignalFailed
	// SignalTimeout is the absence of a response by the deadline.
	SignalTimeout
	// SignalNeutral is an outcome that says nothing about the target, such as a
	// canceled request.
	SignalNeutral
)
