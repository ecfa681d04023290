package dispatch

import (
	"net/http"
	"runtime/debug"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/logging"
)

// logAttemptEnded logs a failed attempt with the load of the target as known
// before it. Next is set when another attempt follows.
func (d *Dispatcher) logAttemptEnded(rs *requestState, target *vanillabarrow.Target, r *vanillabarrow.Refusal, next bool) {
	now := time.Now()
	version := vanillabarrow.Version(0)
	if snapshot := d.Configuration.Snapshot(); snapshot != nil {
		version = snapshot.Version
	}
	d.Logger.Info(logging.EventAttemptEnded, "id", rs.request.ID, "attempt", rs.attemptID, "target", target.Name, "hedge", rs.hedge,
		"verdict", r.Verdict, "reason", r.Reason, "detail", r.Detail, "next", next, "attempts", rs.attempts,
		"took", now.Sub(rs.attemptStart), "loadAge", rs.loadAge, "inFlight", rs.reportedLoad.InFlight, "queued", rs.reportedLoad.Queued,
		"limit", rs.reportedLoad.Limit, "version", version)
}

// logResponseReplaced logs a failure response that is discarded because another
// target is tried.
func (d *Dispatcher) logResponseReplaced(rs *requestState, resp *vanillabarrow.Response) {
	d.Logger.Info(logging.EventResponseReplaced, "id", rs.request.ID, "attempt", rs.attemptID, "target", resp.Target,
		"status", resp.Status, "attempts", rs.attempts)
}

// logEjectionChange logs that a target was ejected or reinstated.
func (d *Dispatcher) logEjectionChange(target string, c ejectionChange) {
	switch c {
	case targetEjected:
		d.Logger.Info(logging.EventTargetEjected, "target", target, "failures", ejectionThreshold)
	case targetReinstated:
		d.Logger.Info(logging.EventTargetReinstated, "target", target)
	case ejectionUnchanged:
	}
}

// recordDataCentreResponse records that the target's node, in the data centre,
// responded, and logs when this closes the breaker.
func (d *Dispatcher) recordDataCentreResponse(dataCentre, target string) {
	if d.DataCentreBreakers.RecordResponse(dataCentre) {
		d.Logger.Info(logging.EventDataCentreBreakerClosed, "dataCentre", dataCentre, "target", target)
	}
}

// observeThrottle passes the result of a response to the throttle and logs when
// throttling of the route begins or ends. Only status 500 counts as a failure.
func (d *Dispatcher) observeThrottle(rs *requestState, resp *vanillabarrow.Response) {
	route := rs.request.Route
	if resp.Status == http.StatusInternalServerError && d.TargetLoads.callsShed(resp.Target) {
		// Fewer requests on the route would not make more of them succeed.
		return
	}
	begins, ends := d.Throttle.Observe(route, resp.Status == http.StatusInternalServerError)
	if begins {
		d.Logger.Info(logging.EventRouteThrottled, "route", route, "target", resp.Target)
	}
	if ends {
		d.Logger.Info(logging.EventRouteUnthrottled, "route", route, "target", resp.Target)
	}
}

// recordPanic counts and logs a panic of a goroutine that serves one request.
func (d *Dispatcher) recordPanic(job string, r any) {
	d.Scope.Counter("panics").Inc(1)
	d.Logger.Error(logging.EventJobPanicked, "job", job, "panic", r, "stack", string(debug.Stack()))
}
