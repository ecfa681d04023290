package vanillabarrow

import (
	"errors"
	"fmt"
	"time"
)

// Verdict says whether a request may have run at a target.
type Verdict int

// The verdicts, in the order of what is known about the request.
const (
	// VerdictNotRun proves that no target ran the request.
	VerdictNotRun Verdict = iota + 1
	// VerdictMayHaveRun means that the outcome is unknown.
	VerdictMayHaveRun
	// VerdictFinished means that the whole answer was received.
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

// ParseVerdict returns the verdict with the given wire name. Anything else is
// VerdictMayHaveRun, because nothing safer can be concluded from it.
func ParseVerdict(name string) Verdict {
	for v, n := range verdictNames {
		if n == name {
			return v
		}
	}
	return VerdictMayHaveRun
}

// Reason is the machine-readable cause of a refusal.
type Reason string

// Reasons for refusals.
const (
	ReasonNoConfig   Reason = "noConfig"
	ReasonNoRoute    Reason = "noRoute"
	ReasonBadRequest Reason = "badRequest"
	ReasonTooLarge   Reason = "tooLarge"
	ReasonNoTarget   Reason = "noTarget"
	ReasonOverloaded Reason = "overloaded"
	// ReasonShed is an answer by which the target stated that it did not run
	// the request.
	ReasonShed Reason = "shed"
	// ReasonMisdirected is an answer of another target at the address.
	ReasonMisdirected      Reason = "misdirected"
	ReasonTargetDown       Reason = "targetDown"
	ReasonTargetFailed     Reason = "targetFailed"
	ReasonTargetOut        Reason = "targetOut"
	ReasonDraining         Reason = "draining"
	ReasonDeadline         Reason = "deadline"
	ReasonWrongTarget      Reason = "wrongTarget"
	ReasonStaleToken       Reason = "staleToken"
	ReasonFenced           Reason = "fenced"
	ReasonDuplicate        Reason = "duplicate"
	ReasonKeyUnknown       Reason = "keyUnknown"
	ReasonKeyInUse         Reason = "keyInUse"
	ReasonTableFull        Reason = "tableFull"
	ReasonConnectionFailed Reason = "connectionFailed"
	// ReasonCutOff is a data centre that was set aside while the request was on
	// its way there.
	ReasonCutOff Reason = "cutOff"
	// ReasonUnreachable is a node that stays silent: a connection that is not
	// set up in time, or bytes that are not acknowledged.
	ReasonUnreachable    Reason = "unreachable"
	ReasonAnswerLost     Reason = "answerLost"
	ReasonCanceled       Reason = "canceled"
	ReasonTooDeep        Reason = "tooDeep"
	ReasonStaleConfig    Reason = "staleConfig"
	ReasonBodyIncomplete Reason = "bodyIncomplete"
)

// Refusal is the error for every request that did not finish.
type Refusal struct {
	Verdict    Verdict
	Reason     Reason
	Detail     string
	RetryAfter time.Duration
	// Retries counts the attempts beyond the first that were spent on the
	// request, here and further down the chain.
	Retries int
	// Token is the current token of the refusing gate, when it has one.
	Token Token
}

// ReachedTarget reports whether the request may have got to a target, which costs
// the target something even when it did not run.
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

// AsRefusal returns err as a refusal. An error of another type proves nothing
// about the request, so it becomes may-have-run.
func AsRefusal(err error) *Refusal {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return MayHaveRun(ReasonConnectionFailed, err.Error())
}
