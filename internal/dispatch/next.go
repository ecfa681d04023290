package dispatch

import (
	"context"
	"net/http"
	"slices"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
)

const (
	// maxTries bounds the gates asked for one request. A refusal by a gate
	// costs about a round trip.
	maxTries = 8
	// minTimeLeft is the time below which another target is not tried.
	minTimeLeft = 20 * time.Millisecond
)

// mayTryNext decides on another attempt for a request whose route bounds the
// targets that it may reach. A gate that refuses costs its target nothing, so
// the next gate is asked at once; what reached a target is charged to the
// budget.
func (d *Dispatcher) mayTryNext(ctx context.Context, f *flight, last *vanillabarrow.Refusal) bool {
	if ctx.Err() != nil || f.attempts >= maxTries || time.Until(f.deadline) < minTimeLeft {
		return false
	}
	if !last.ReachedTarget() {
		return !f.late || last.Reason != vanillabarrow.ReasonOverloaded
	}
	f.reached++
	if f.reached >= f.request.MaxAttempts || !d.Retry.Allow(f.service.Name, last.Reason) {
		return false
	}
	f.retries++
	d.Scope.Counter("retries").Inc(1)
	return true
}

// mayReplace decides whether an answer by which the target reports a failure
// of its own is put aside for a try at another target.
func (d *Dispatcher) mayReplace(ctx context.Context, f *flight, answer *vanillabarrow.Response) bool {
	if f.request.MaxAttempts == 0 || !f.request.Idempotent || !replayable(f.request) {
		return false
	}
	if answer.Status < http.StatusInternalServerError || answer.Status == http.StatusGatewayTimeout {
		return false
	}
	if f.failed != nil || ctx.Err() != nil || time.Until(f.deadline) < minTimeLeft {
		return false
	}
	f.reached++
	if f.reached >= f.request.MaxAttempts || !d.Retry.Allow(f.service.Name, vanillabarrow.ReasonTargetFailed) {
		return false
	}
	f.retries++
	d.Scope.Counter("retries").Inc(1)
	return true
}

// noteRefused remembers that the gate of a target had no room, or takes no work.
// A refusal for want of room without a delay is about this one request.
func (d *Dispatcher) noteRefused(f *flight, target *vanillabarrow.Target, r *vanillabarrow.Refusal) {
	if f.request.MaxAttempts > 0 && closed(r.Reason) {
		d.RefusalCache.RecordUnavailable(target.Name, time.Now())
	}
	if r.Reason != vanillabarrow.ReasonOverloaded {
		return
	}
	f.noRoom(target.Name)
	if f.request.MaxAttempts > 0 && r.RetryAfter > 0 {
		d.RefusalCache.RecordOverload(target.Name, f.request.Route, f.late, r.RetryAfter, time.Now())
	}
}

// closed reports whether a refusal for the reason holds for every request to the
// target.
func closed(reason vanillabarrow.Reason) bool {
	switch reason {
	case vanillabarrow.ReasonTargetOut, vanillabarrow.ReasonWrongTarget, vanillabarrow.ReasonMisdirected,
		vanillabarrow.ReasonDraining, vanillabarrow.ReasonNoConfig, vanillabarrow.ReasonTargetDown:
		return true
	default:
		return false
	}
}

// isFull reports whether the gate of a target is not worth asking because it
// had no room a moment ago. Asking the gate of the own VM costs nothing.
func (d *Dispatcher) isFull(f *flight, target *vanillabarrow.Target, now time.Time) bool {
	if f.request.MaxAttempts == 0 || target.VM == d.VM {
		return false
	}
	retryAfter, full := d.RefusalCache.Lookup(target.Name, f.request.Route, f.late, now)
	if !full {
		return false
	}
	f.noRoom(target.Name)
	if f.skipped == nil {
		f.skipped = vanillabarrow.NotRun(vanillabarrow.ReasonOverloaded, "gates had no room or took no work a moment ago")
		f.skipped.RetryAfter = retryAfter
	}
	f.skipped.RetryAfter = min(f.skipped.RetryAfter, retryAfter)
	return true
}

// noRoom notes a target whose gate has no room in time.
func (f *flight) noRoom(target string) {
	if !f.late && !slices.Contains(f.refused, target) {
		f.refused = append(f.refused, target)
	}
}

// acceptLate prepares one more attempt at the gates that had no room in time,
// for which the deadline alone counts. It is made once for a request.
func (f *flight) acceptLate(last *vanillabarrow.Refusal) bool {
	if f.late || last == nil || len(f.refused) == 0 || f.request.MaxAttempts == 0 {
		return false
	}
	if f.attempts >= maxTries || f.request.Objective.IsZero() || time.Until(f.deadline) < minTimeLeft {
		return false
	}
	f.late = true
	for _, name := range f.refused {
		delete(f.tried, name)
	}
	return true
}
