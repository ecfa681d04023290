package gate

import (
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/logging"
)

// logRefused logs an attempt that was refused without being sent to the target,
// with the state of the queue.
func (g *Gate) logRefused(a *vanillabarrow.Attempt, start time.Time, r *vanillabarrow.Refusal) {
	load := g.limiter.Load(a.Request.Priority)
	version := vanillabarrow.Version(0)
	if snapshot := g.cfg.Snapshot(); snapshot != nil {
		version = snapshot.Version
	}
	g.logger.Info(logging.EventAttemptRefused, "id", a.Request.ID, "attempt", a.ID, "target", targetOf(a), "hedge", a.Hedge, "route", a.Request.Route,
		"verdict", r.Verdict, "reason", r.Reason, "detail", r.Detail, "took", time.Since(start),
		"inFlight", load.InFlight, "queued", load.Queued, "limit", load.Limit, "wait", load.Wait, "version", version)
}

// logFailed logs an attempt that may have reached the target, or that found the
// target down, and got no valid response.
func (g *Gate) logFailed(a *vanillabarrow.Attempt, start time.Time, r *vanillabarrow.Refusal) {
	g.logger.Info(logging.EventAttemptFailed, "id", a.Request.ID, "attempt", a.ID, "target", targetOf(a), "hedge", a.Hedge,
		"verdict", r.Verdict, "reason", r.Reason, "detail", r.Detail, "took", time.Since(start))
}

// logLate logs a response that came after the sending node had stopped waiting.
func (g *Gate) logLate(a *vanillabarrow.Attempt, start time.Time, response *vanillabarrow.Response) {
	g.logger.Info(logging.EventResponseLate, "id", a.Request.ID, "attempt", a.ID, "target", targetOf(a),
		"status", response.Status, "took", time.Since(start))
}

func targetOf(a *vanillabarrow.Attempt) string {
	if a.Target == nil {
		return ""
	}
	return a.Target.Name
}
