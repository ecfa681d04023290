package dispatch

import (
	"context"
	"net/http"
	"slices"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
)

const (
	// maxGateAttempts limits the attempts for one request with MaxAttempts set,
	// including those that a gate refuses. Each refusal delays the request by
	// about one round trip.
	maxGateAttempts = 8
	// minTimeLeft is the minimum time to the deadline for trying another
	// target.
	minTimeLeft = 20 * time.Millisecond
)

// shouldTryNextTarget reports whether another attempt follows, for a request
// with MaxAttempts set. A refusal by a gate costs its target nothing, so the
// next gate is tried without delay or charge; an attempt that reached a target
// is charged to the retry budget. A late request ends at the first overloaded
// gate.
func (d *Dispatcher) shouldTryNextTarget(ctx context.Context, rs *requestState, last *vanillabarrow.Refusal) bool {
	if ctx.Err() != nil || rs.attempts >= maxGateAttempts || time.Until(rs.deadline) < minTimeLeft {
		return false
	}
	if last.Reason == vanillabarrow.ReasonOverloaded && !last.ReachedTarget() {
		return !rs.late && d.GateAttempts.budget.Allow(rs.request.Route, last.Reason)
	}
	if !last.ReachedTarget() {
		return true
	}
	rs.targetsReached++
	if rs.targetsReached >= rs.request.MaxAttempts || !d.Retry.Allow(rs.service.Name, last.Reason) {
		return false
	}
	rs.retries++
	d.Scope.Counter("retries").Inc(1)
	return true
}

// shouldRetryResponse reports whether another target is tried after a response,
// which is the case at most once, for a failure response: one with status 500
// or above except 504. The request must be idempotent, replayable and have
// MaxAttempts set. If another target is tried, the retry budget has been
// charged.
func (d *Dispatcher) shouldRetryResponse(ctx context.Context, rs *requestState, resp *vanillabarrow.Response) bool {
	if rs.request.MaxAttempts == 0 || !rs.request.Idempotent || !isReplayable(rs.request) {
		return false
	}
	if resp.Status < http.StatusInternalServerError || resp.Status == http.StatusGatewayTimeout {
		return false
	}
	if rs.failedResponse != nil || d.isWithdrawing() || ctx.Err() != nil || time.Until(rs.deadline) < minTimeLeft {
		return false
	}
	rs.targetsReached++
	if rs.targetsReached >= rs.request.MaxAttempts || !d.Retry.Allow(rs.service.Name, vanillabarrow.ReasonTargetFailed) {
		return false
	}
	rs.retries++
	d.Scope.Counter("retries").Inc(1)
	return true
}

// recordRefusal caches the refusal of a gate that is overloaded or refuses all
// requests to its target, if the request has MaxAttempts set. A refusal because
// of overload without a Retry-After delay concerns only the one request and is
// not cached. An overloaded target is also recorded in the request's state,
// whether or not the refusal is cached.
func (d *Dispatcher) recordRefusal(rs *requestState, target *vanillabarrow.Target, r *vanillabarrow.Refusal) {
	if rs.request.MaxAttempts > 0 && refusesAllRequests(r.Reason) {
		d.RefusalCache.RecordUnavailable(target.Name, r.Reason, time.Now())
	}
	if r.Reason != vanillabarrow.ReasonOverloaded {
		return
	}
	rs.addOverloaded(target.Name)
	if rs.request.MaxAttempts > 0 && r.RetryAfter > 0 {
		d.RefusalCache.RecordOverload(target.Name, rs.request.Route, rs.late, r.RetryAfter, time.Now())
	}
}

// refusesAllRequests reports whether a refusal for the reason applies to every
// request to the target.
func refusesAllRequests(reason vanillabarrow.Reason) bool {
	switch reason {
	case vanillabarrow.ReasonTargetOut, vanillabarrow.ReasonWrongTarget, vanillabarrow.ReasonMisdirected,
		vanillabarrow.ReasonDraining, vanillabarrow.ReasonNoConfig, vanillabarrow.ReasonTargetDown:
		return true
	default:
		return false
	}
}

// recentlyRefused reports whether the gate of a target is skipped because of a
// cached refusal, and if so, records that in the request's state. The gate on
// the node's own VM is always tried, since that needs no message. If all gates
// are skipped, the caller gets the shortest of their Retry-After delays.
func (d *Dispatcher) recentlyRefused(rs *requestState, target *vanillabarrow.Target, now time.Time) bool {
	if rs.request.MaxAttempts == 0 || target.VM == d.VM {
		return false
	}
	refusal, refused := d.RefusalCache.Lookup(target.Name, rs.request.Route, rs.late, now)
	if !refused {
		return false
	}
	if refusal.Reason == vanillabarrow.ReasonOverloaded {
		rs.addOverloaded(target.Name)
	}
	rs.addSkipped(refusal)
	return true
}

// addSkipped merges the cached refusal of a skipped gate into the refusal for
// the caller. One because of overload takes precedence, since that gate still
// serves its target.
func (rs *requestState) addSkipped(refusal CachedRefusal) {
	skipped := vanillabarrow.NotRun(refusal.Reason, "gates recently refused similar requests")
	skipped.RetryAfter = refusal.RetryAfter
	if old := rs.skippedRefusal; old != nil {
		skipped.RetryAfter = min(skipped.RetryAfter, old.RetryAfter)
		if old.Reason == vanillabarrow.ReasonOverloaded {
			skipped.Reason = old.Reason
		}
	}
	rs.skippedRefusal = skipped
}

// addOverloaded records a target whose gate can't meet the objective or was
// skipped because of that. Nothing is recorded for late requests, since switchToLate applies
// only once.
func (rs *requestState) addOverloaded(target string) {
	if !rs.late && !slices.Contains(rs.overloaded, target) {
		rs.overloaded = append(rs.overloaded, target)
	}
}

// switchToLate makes the overloaded gates eligible again for attempts that
// consider only the deadline. It reports whether it did, at most once for each
// request.
func (rs *requestState) switchToLate(last *vanillabarrow.Refusal) bool {
	if rs.late || last == nil || len(rs.overloaded) == 0 || rs.request.MaxAttempts == 0 {
		return false
	}
	if rs.attempts >= maxGateAttempts || rs.request.Objective.IsZero() || time.Until(rs.deadline) < minTimeLeft {
		return false
	}
	rs.late = true
	for _, name := range rs.overloaded {
		delete(rs.tried, name)
	}
	return true
}
