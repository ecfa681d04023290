package gate

import (
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/logging"
)

// healthyFor is how long a good answer to a health check lets a lapsed target be
// served.
const healthyFor = 1500 * time.Millisecond

// isServed reports whether a lapsed target is served all the same. Its entry is
// gone because nobody renewed it. When this node does not reach the platform
// either, the likely cause is that the whole VM is cut off; a target that leaves
// says so when it is asked for its health. A node that the platform answers takes
// its word that the target is gone.
func (g *Gate) isServed(target *vanillabarrow.Target, now time.Time) bool {
	if !target.Expired {
		return true
	}
	served := g.isolation.IsDisconnected(now) && g.healthAge(now) < healthyFor
	if g.lapsedServed.Swap(served) != served {
		event := logging.EventLapsedGivenUp
		if served {
			event = logging.EventLapsedServed
		}
		g.logger.Info(event, "target", target.Name, "healthAge", g.healthAge(now))
	}
	return served
}

// healthAge returns the time since the target last said that it is well.
func (g *Gate) healthAge(now time.Time) time.Duration {
	return now.Sub(g.start) - time.Duration(g.healthyAt.Load())
}

// answered is who answered the last health check: asked is the target that the
// snapshot in force named then.
type answered struct {
	asked, by string
}

// noteHealth takes the answer of a target to a health check.
func (g *Gate) noteHealth(health vanillabarrow.Health, now time.Time) {
	name := g.targetName()
	g.answered.Store(&answered{asked: name, by: health.Target})
	if health.OK && (health.Target == "" || health.Target == name) {
		g.healthyAt.Store(int64(now.Sub(g.start)))
	}
}

// isReplaced reports whether another target answers at the address of the one
// that the snapshot in force names: the platform has not yet heard of it.
func (g *Gate) isReplaced(target *vanillabarrow.Target) bool {
	a := g.answered.Load()
	return a != nil && a.by != "" && a.by != a.asked && target.Name == a.asked
}

// needsHealth reports whether the health of the own target is to be asked for:
// its entry lapsed while this node is cut off, or another target has taken its
// place.
func (g *Gate) needsHealth(now time.Time) bool {
	target := g.own.Resolve(g.cfg.Snapshot())
	if target == nil {
		return false
	}
	return target.Expired && g.isolation.IsDisconnected(now) || g.isReplaced(target)
}
