package gate

import (
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/logging"
)

// healthValidity is how long after a successful health check an expired target
// may still be served.
const healthValidity = 1500 * time.Millisecond

// isServable reports whether the target is registered, or has an expired
// registration but is still served. A registration expires when nobody renews
// it. If this node does not reach the platform either, the likely cause is that
// the entire VM is partitioned from it, so the target is served as long as it
// is healthy; a target that shuts down reports so in its health checks. If the
// platform responds to this node, the target counts as stopped, and stays so if the
// platform does not respond later.
func (g *Gate) isServable(target *vanillabarrow.Target, now time.Time) bool {
	if !target.Expired {
		return true
	}
	served := !g.isStopped(target, now) && g.connectivity.IsDisconnected(now) && g.healthAge(now) < healthValidity
	if g.servesExpired.Swap(served) != served {
		event := logging.EventExpiredTargetNotServed
		if served {
			event = logging.EventExpiredTargetServed
		}
		g.logger.Info(event, "target", target.Name, "healthAge", g.healthAge(now))
	}
	return served
}

// stoppedTarget names a target whose registration was removed, and that counts as stopped
// since the platform responded to this node after that.
type stoppedTarget struct {
	name      string
	removedAt time.Time
}

// isStopped reports whether a target counts as stopped. It has to be called while the
// platform responds, since what it finds then holds when the platform does not respond.
func (g *Gate) isStopped(target *vanillabarrow.Target, now time.Time) bool {
	this := stoppedTarget{target.Name, target.RemovedAt}
	if known := g.stopped.Load(); known != nil && *known == this {
		return true
	}
	if target.RemovedAt.IsZero() || g.connectivity.IsDisconnected(now) || !g.connectivity.LastResponse().After(target.RemovedAt) {
		return false
	}
	g.stopped.Store(&this)
	return true
}

// healthAge returns the time since the target's last successful health check.
func (g *Gate) healthAge(now time.Time) time.Duration {
	return now.Sub(g.start) - time.Duration(g.lastHealthy.Load())
}

// healthResponder identifies the target that responded to the last health
// check: actual is the name in its response, empty for none, and expected the
// name of the target in the snapshot in force at that time.
type healthResponder struct {
	expected, actual string
}

// recordHealth records the response to a health check.
func (g *Gate) recordHealth(health vanillabarrow.Health, now time.Time) {
	name := g.targetName()
	g.lastResponder.Store(&healthResponder{expected: name, actual: health.Target})
	if health.OK && (health.Target == "" || health.Target == name) {
		g.lastHealthy.Store(int64(now.Sub(g.start)))
	}
	g.recordLeaving(name, health, now)
}

// isReplaced reports whether a target other than the given one responded to the
// last health check at its address. The platform may not have published the new
// target yet.
func (g *Gate) isReplaced(target *vanillabarrow.Target) bool {
	responder := g.lastResponder.Load()
	return responder != nil && responder.actual != "" && responder.actual != responder.expected && target.Name == responder.expected
}

// needsHealthCheck reports whether the target needs a health check: its
// registration has expired while this node does not reach the platform, another
// target has replaced it, or it has reported that it is leaving.
func (g *Gate) needsHealthCheck(now time.Time) bool {
	target := g.ownTarget.Resolve(g.cfg.Snapshot())
	if target == nil {
		return false
	}
	// A removal has to be noted before the registration expires.
	stopped := g.isStopped(target, now)
	return target.Expired && !stopped && g.connectivity.IsDisconnected(now) || g.isReplaced(target) || g.leavingReports.Load().checks > 0
}
