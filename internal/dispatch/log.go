package dispatch

import (
	"net/http"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/logging"
)

// logEnded tells about an attempt that failed, with what the node believed of
// the target. Next is set when another attempt follows.
func (d *Dispatcher) logEnded(f *flight, target *vanillabarrow.Target, r *vanillabarrow.Refusal, next bool) {
	now := time.Now()
	version := vanillabarrow.Version(0)
	if snapshot := d.Configuration.Snapshot(); snapshot != nil {
		version = snapshot.Version
	}
	d.Logger.Info(logging.EventAttemptEnded, "id", f.request.ID, "attempt", f.attemptID, "target", target.Name,
		"verdict", r.Verdict, "reason", r.Reason, "detail", r.Detail, "next", next, "attempts", f.attempts,
		"took", now.Sub(f.attemptAt), "loadAge", f.seenAge, "inFlight", f.seen.InFlight, "queued", f.seen.Queued,
		"limit", f.seen.Limit, "version", version)
}

// logReplaced tells about a failure of a target that another answer replaces.
func (d *Dispatcher) logReplaced(f *flight, answer *vanillabarrow.Response) {
	d.Logger.Info(logging.EventResponseReplaced, "id", f.request.ID, "attempt", f.attemptID, "target", answer.Target,
		"status", answer.Status, "attempts", f.attempts)
}

// logChange tells what an attempt changed in what the node believes of a
// target.
func (d *Dispatcher) logChange(target string, c change) {
	switch c {
	case changeSetAside:
		d.Logger.Info(logging.EventTargetBreakerOpened, "target", target, "failures", asideAfter)
	case changeRegained:
		d.Logger.Info(logging.EventTargetBreakerClosed, "target", target)
	case changeNone:
	}
}

// heard notes that a node of the data centre answered.
func (d *Dispatcher) heard(dataCentre, target string) {
	if d.DataCentreBreakers.RecordResponse(dataCentre) {
		d.Logger.Info(logging.EventDataCentreBreakerClosed, "dataCentre", dataCentre, "target", target)
	}
}

// observe tells the throttle how a target answered.
func (d *Dispatcher) observe(f *flight, answer *vanillabarrow.Response) {
	route := f.request.Route
	begins, ends := d.Throttle.Observe(route, answer.Status == http.StatusInternalServerError)
	if begins {
		d.Logger.Info(logging.EventRouteThrottled, "route", route, "target", answer.Target)
	}
	if ends {
		d.Logger.Info(logging.EventRouteUnthrottled, "route", route, "target", answer.Target)
	}
}
