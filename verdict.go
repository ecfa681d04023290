package vanillabarrow

import (
	"errors"
	"fmt"
	"time"
)

// Verdict states whether a request may have run at a target.
type Verdict int

// Verdicts, ordered from proof that nothing ran to a complete response.
const (
	// VerdictNotRun proves that no target ran the request.
	VerdictNotRun Verdict = iota + 1
	// VerdictMayHaveRun means that the outcome is unknown.
	VerdictMayHaveRun
	// VerdictFinished means that the complete response was received.
	VerdictFinished
)

var verdictNames = map[Verdict]string{
	VerdictNotRun:     "not-run",
	VerdictMayHaveRun: "may-have-run",
	VerdictFinished:   "finished",
}

// String returns the name used on the wire.
func (v Verdict) String() string {
	if name, ok := verdictNames[v]; ok {
		return name
	}
	return "unknown"
}

// ParseVerdict returns the verdict with the given wire name. It returns
// VerdictMayHaveRun for any other name, because an unknown name proves nothing
// about the request.
func ParseVerdict(name string) Verdict {
	for v, n := range verdictNames {
		if n == name {
			return v
		}
	}
	return VerdictMayHaveRun
}

// Reason is the machine-readable reason of a refusal.
type Reason string

// Reasons for refusals.
const (
	ReasonNoConfig   Reason = "noConfig"
	ReasonNoRoute    Reason = "noRoute"
	ReasonBadRequest Reason = "badRequest"
	ReasonTooLarge   Reason = "tooLarge"
	ReasonNoTarget   Reason = "noTarget"
	// ReasonOverloaded means that the request would not have finished in time, or
	// that a limit on concurrent requests was reached.
	ReasonOverloaded Reason = "overloaded"
	// ReasonUnauthorized means that no tenant holds the request's credential.
	ReasonUnauthorized Reason = "unauthorized"
	// ReasonAllowance means that the tenant's allowance is used up.
	ReasonAllowance Reason = "allowance"
	// ReasonShed means that the target stated that it did not run the request.
	ReasonShed Reason = "shed"
	// ReasonMisdirected means that another target responded at the address.
	ReasonMisdirected Reason = "misdirected"
	// ReasonTargetDown means that the target refuses connections, or that no byte
	// of the request could be sent to it.
	ReasonTargetDown Reason = "targetDown"
	// ReasonTargetFailed means that the connection to the target broke after
	// bytes of the request were sent, or that the response was invalid.
	ReasonTargetFailed Reason = "targetFailed"
	// ReasonTargetOut means that the target is absent from the configuration, out
	// of service, draining, or expired, or that it reports that it is leaving.
	ReasonTargetOut Reason = "targetOut"
	// ReasonDraining means that the node is shutting down.
	ReasonDraining Reason = "draining"
	ReasonDeadline Reason = "deadline"
	// ReasonWrongTarget means that the gate belongs to another target, or that it
	// does not own the idempotency key.
	ReasonWrongTarget Reason = "wrongTarget"
	// ReasonStaleToken means that the gate has no records from the period of the
	// token. The refusal carries the current token.
	ReasonStaleToken Reason = "staleToken"
	// ReasonFenced means that the attempt was fenced by a query before it arrived.
	ReasonFenced Reason = "fenced"
	// ReasonDuplicate means that the attempt arrived before, or that the
	// idempotency key was used with a different request.
	ReasonDuplicate Reason = "duplicate"
	// ReasonKeyUnknown means that the records don't show whether the idempotency
	// key was used before.
	ReasonKeyUnknown Reason = "keyUnknown"
	// ReasonKeyInUse means that the first request with the idempotency key is
	// still running.
	ReasonKeyInUse Reason = "keyInUse"
	// ReasonTableFull means that the gate can record no further attempt or
	// idempotency key.
	ReasonTableFull Reason = "tableFull"
	// ReasonConnectionFailed means that the connection to the target's node
	// failed.
	ReasonConnectionFailed Reason = "connectionFailed"
	// ReasonCutOff means that the data centre was found to be unreachable while
	// an attempt there was in flight.
	ReasonCutOff Reason = "cutOff"
	// ReasonUnreachable means that a node did not react at the TCP level: the
	// connection was not established in time, or sent bytes were not
	// acknowledged.
	ReasonUnreachable Reason = "unreachable"
	// ReasonNodeDelayed means that a connection was not established in time, but that
	// the sending node was short of processor time, so that this proves nothing about
	// the other node.
	ReasonNodeDelayed Reason = "nodeDelayed"
	// ReasonAnswerLost means that the response can't be obtained, although the
	// request may have run.
	ReasonAnswerLost Reason = "answerLost"
	ReasonCanceled   Reason = "canceled"
	// ReasonTooDeep means that the chain of calls has too many mesh hops.
	ReasonTooDeep Reason = "tooDeep"
	// ReasonStaleConfig means that the node was paused and has not updated its
	// configuration yet.
	ReasonStaleConfig    Reason = "staleConfig"
	ReasonBodyIncomplete Reason = "bodyIncomplete"
)

// ErrNodeStopping is the cause of the cancellation of requests that are still in flight
// when the time of a planned stop is over.
var ErrNodeStopping = errors.New("the node is shutting down")

// Refusal is the error of every request that did not finish.
type Refusal struct {
	Verdict Verdict
	Reason  Reason
	// Detail describes the cause for people, empty if Reason suffices.
	Detail string
	// RetryAfter is the delay after which a retry may succeed, 0 if unknown.
	RetryAfter time.Duration
	// Retries is the number of attempts after the first that were made for the
	// request, at this node and in downstream services.
	Retries int
	// Token is the current token of the gate that refused, if it sent one.
	Token Token
}

// ReachedTarget reports whether the request may have reached a target. Such a
// request costs the target some work even if it did not run.
func (r *Refusal) ReachedTarget() bool {
	return r.Verdict != VerdictNotRun || r.Reason == ReasonShed || r.Reason == ReasonMisdirected
}

// Error implements error.
func (r *Refusal) Error() string {
	if r.Detail == "" {
		return fmt.Sprintf("%s: %s", r.Verdict, r.Reason)
	}
	return fmt.Sprintf("%s: %s: %s", r.Verdict, r.Reason, r.Detail)
}

// NotRun returns a refusal with the verdict VerdictNotRun.
func NotRun(reason Reason, detail string) *Refusal {
	return &Refusal{Verdict: VerdictNotRun, Reason: reason, Detail: detail}
}

// MayHaveRun returns a refusal with the verdict VerdictMayHaveRun.
func MayHaveRun(reason Reason, detail string) *Refusal {
	return &Refusal{Verdict: VerdictMayHaveRun, Reason: reason, Detail: detail}
}

// AsRefusal returns the refusal in err's chain. Any other error becomes a
// refusal with VerdictMayHaveRun, because it proves nothing about the request.
func AsRefusal(err error) *Refusal {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return MayHaveRun(ReasonConnectionFailed, err.Error())
}
