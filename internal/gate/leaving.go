package gate

import (
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/logging"
)

// leavingChecks is the number of consecutive health checks that must report that the
// target is leaving. A single response may be due to a fault of the target.
const leavingChecks = 2

// leavingReports is what the own target's last health checks reported about leaving. A
// target that is not healthy reports the same as one that is leaving.
type leavingReports struct {
	// target is the name of the target, checks the number of consecutive checks that
	// reported that it is leaving, and since the time of the first of them.
	target string
	checks int
	since  time.Time
}

// isConfirmed reports whether enough checks have reported that the target is leaving.
func (r leavingReports) isConfirmed() bool { return r.checks >= leavingChecks }

// add returns the reports with one more about the target.
func (r leavingReports) add(target string, now time.Time) leavingReports {
	if r.target != target {
		return leavingReports{target: target, checks: 1, since: now}
	}
	r.checks++
	return r
}

// recordLeaving records what the response to a health check reports about leaving. A
// rejected check, or a response of something else than a target, reports nothing about it.
func (g *Gate) recordLeaving(name string, health vanillabarrow.Health, now time.Time) {
	before, after := *g.leavingReports.Load(), leavingReports{}
	isOther := health.Target != "" && health.Target != name
	switch {
	case health.OK || isOther:
	case health.Unavailable && health.Target != "":
		after = before.add(name, now)
	default:
		return
	}
	g.leavingReports.Store(&after)
	switch {
	case after.isConfirmed() && !before.isConfirmed():
		g.waits.refuseAll(errTargetLeaving())
		g.scope.Counter("ownTargetLeaving").Inc(1)
		g.logger.Info(logging.EventOwnTargetLeaving, "target", name, "answeredBy", health.Target,
			"checks", after.checks, "healthAge", g.healthAge(now))
	case before.isConfirmed() && !after.isConfirmed():
		g.logger.Info(logging.EventOwnTargetServing, "target", name, "answeredBy", health.Target,
			"ok", health.OK, "for", now.Sub(before.since))
	}
}

// isTargetLeaving reports whether the own target in the snapshot in force has reported
// that it is leaving.
func (g *Gate) isTargetLeaving() bool {
	reports := g.leavingReports.Load()
	return reports.isConfirmed() && reports.target == g.targetName()
}

// checkOpen refuses attempts while the node shuts down or its target is leaving.
func (g *Gate) checkOpen() error {
	if g.refusesNew() {
		return errDraining()
	}
	if g.isTargetLeaving() {
		return errTargetLeaving()
	}
	return nil
}

// errTargetLeaving returns the refusal for an attempt that has not got a slot before the
// target reported that it is leaving.
func errTargetLeaving() *vanillabarrow.Refusal {
	return vanillabarrow.NotRun(vanillabarrow.ReasonTargetOut, "the target reports that it is leaving")
}
