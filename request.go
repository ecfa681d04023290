package vanillabarrow

import (
	"io"
	"math"
	"time"
)

// Header holds the fields of a message, by canonical name.
type Header map[string][]string

// Token names a point in the life of one gate. A gate refuses work that
// carries a token it no longer remembers, which bounds what it has to keep.
type Token struct {
	// Incarnation is unique for each start of a gate.
	Incarnation string
	// Epoch counts periods since the start.
	Epoch uint64
}

// Request is a caller's request, independent of how it was encoded.
type Request struct {
	// ID is unique for each request of a caller.
	ID      string
	Service string
	Method  string
	Host    string
	// Path is the request target with its query.
	Path   string
	Header Header
	// Body is the whole body, or the start of a longer one.
	Body []byte
	// Stream is the rest of a body too large to hold, or nil.
	Stream io.Reader
	// Size is the length of the body in bytes, -1 when unknown.
	Size       int64
	Idempotent bool
	// Route is the name of the matched route.
	Route string
	// MaxAttempts bounds the targets that the request may reach, 0 for the
	// service's policy.
	MaxAttempts int
	// Timeout is the route's bound, 0 for the service's policy.
	Timeout time.Duration
	// Objective is when the caller expects the answer, zero for no such time.
	Objective time.Time
	// Priority is the rank in a queue. 0 goes first.
	Priority int
	// Key is the caller's idempotency key, or empty.
	Key string
	// Depth is the number of mesh hops above this request.
	Depth int
	// RetriesLeft bounds the attempts beyond the first, here and below.
	RetriesLeft int
}

// Attempt is one try of a request at one target.
type Attempt struct {
	ID       string
	Request  *Request
	Target   *Target
	Address  string
	Version  Version
	Token    Token
	Deadline time.Time
	// RetriesLeft is what the callee may spend further down the chain.
	RetriesLeft int
	// Late is set when no gate can meet the objective, so that the deadline
	// alone counts.
	Late bool
}

// Response is a target's whole answer to one attempt.
type Response struct {
	Status int
	Header Header
	Body   []byte
	// Stream is the rest of an answer too large to hold, or nil. Its reader
	// fails when the answer breaks off.
	Stream io.ReadCloser
	Size   int64
	Target string
	// Attempts is the number of attempts that the request took.
	Attempts int
}

// Load is what a gate reports about its target with each answer.
type Load struct {
	InFlight int  `json:"inFlight"`
	Queued   int  `json:"queued"`
	Limit    int  `json:"limit"`
	Draining bool `json:"draining"`
	// Wait is the time that a request would wait for a slot now.
	Wait time.Duration `json:"wait,omitempty"`
	// Priority is that of the requests that Queued and Wait are about: a more
	// urgent one finds fewer before it.
	Priority int `json:"priority"`
	// FailurePercent is the share of recent requests that the target failed.
	FailurePercent int `json:"failurePercent,omitempty"`
}

// LowestPriority stands behind all others in a queue.
const LowestPriority = math.MaxInt32

// Admission is what a limiter knows about a request that wants to run.
type Admission struct {
	// Class names requests that take about the same time.
	Class string
	// Priority is the rank in the queue. 0 goes first.
	Priority int
	// Objective is when the caller expects the answer, zero for no such time.
	Objective time.Time
	// Deadline is when the answer is of no more use.
	Deadline time.Time
	// Late is set when the deadline alone counts.
	Late bool
}

// AttemptState is a gate's knowledge of one attempt.
type AttemptState int

// States of an attempt at a gate.
const (
	// AttemptUnknown means that the gate can't know: another incarnation, or
	// a token older than its memory.
	AttemptUnknown AttemptState = iota
	// AttemptRunning means that the attempt waits or runs.
	AttemptRunning
	// AttemptFinished means that the target answered.
	AttemptFinished
	// AttemptFenced proves that the attempt did not run and never will.
	AttemptFenced
	// AttemptFailed means that the attempt ended without an answer after the
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

// AttemptReport is a gate's answer to a question about an attempt.
type AttemptReport struct {
	State AttemptState
	// Response is set for AttemptFinished while the gate still stores it.
	Response *Response
}

// KeyReleaseRequest names an idempotency key and the request that it belongs to.
type KeyReleaseRequest struct {
	Target  string
	Service string
	Key     string
	// Fingerprint is a hash of the request.
	Fingerprint uint64
	// Version is the configuration version that makes the asker the home.
	Version Version
}

// TargetSignal is what an attempt at a target tells about the target.
type TargetSignal int

// Signals from attempts at a target.
const (
	// SignalOK is a timely answer.
	SignalOK TargetSignal = iota
	// SignalDown is a connection refused.
	SignalDown
	// SignalRefused is a connection reset, or an answer by which the target
	// sheds load.
	SignalRefused
	// SignalFailed is a timely answer that reports a failure of the target.
	SignalFailed
	// SignalTimeout is no answer within the deadline.
	SignalTimeout
	// SignalNeutral is an end that tells nothing, such as a canceled request.
	SignalNeutral
)
