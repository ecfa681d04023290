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
	expiry := g.updateExpiry(target, now)
	if expiry == nil {
		return true
	}
	served := !expiry.stopped && g.connectivity.IsDisconnected(now) && g.healthAge(now) < healthValidity
	if g.servesExpired.Swap(served) != served {
		event := logging.EventExpiredTargetNotServed
		if served {
			event = logging.EventExpiredTargetServed
		}
		g.logger.Info(event, "target", target.Name, "healthAge", g.healthAge(now))
	}
	return served
}

// expiry is what is known of the expired registration of the own target. It is replaced as
// a whole.
type expiry struct {
	target string
	// since is when the gate noticed that the registration has expired.
	since time.Time
	// stopped is set once the platform has responded to this node since then.
	stopped bool
}

// updateExpiry returns what is known of the expired registration of a target, nil if it
// has not expired.
func (g *Gate) updateExpiry(target *vanillabarrow.Target, now time.Time) *expiry {
	known := g.expiry.Load()
	switch {
	case !target.Expired:
		if known != nil {
			g.expiry.CompareAndSwap(known, nil)
		}
		return nil
	case known == nil || known.target != target.Name:
		next := &expiry{target: target.Name, since: now}
		g.expiry.CompareAndSwap(known, next)
		return next
	case !known.stopped && !g.connectivity.IsDisconnected(now) && g.connectivity.LastResponse().After(known.since):
		next := &expiry{target: known.target, since: known.since, stopped: true}
		g.expiry.CompareAndSwap(known, next)
		return next
	default:
		return known
	}
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
	g.updateExpiry(target, now)
	return target.Expired && g.connectivity.IsDisconnected(now) || g.isReplaced(target) || g.leavingReports.Load().checks > 0
}
