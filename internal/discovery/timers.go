package discovery

import (
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/membership"
)

// timers holds the times that the bounds of a deployment depend on. docs/DESIGN.md
// adds them up for each bound.
type timers struct {
	// watchWait is how long a watch waits for a change. A watch whose connection
	// alone is silent is noticed after it.
	watchWait time.Duration
	// probeInterval is the time between two probes during a watch, each of which
	// confirms the data of all nodes that follow the reader. probeTimeout limits one.
	probeInterval, probeTimeout time.Duration
	// staleAfter is the age of the platform's last confirmation from which on a node
	// no longer relies on the nodes that it follows.
	staleAfter time.Duration
	// readDelayByRank and readDelayByDepth delay the calls of a node with stale data
	// by its place in the relay tree, so that the calls of the first nodes make
	// those of the others unnecessary. maxReadDelay limits their sum.
	readDelayByRank, readDelayByDepth, maxReadDelay time.Duration
	// removalGrace is how long an item stays in effect after a watch reported its
	// removal or a listing lacked it. lateRemovalGrace is the maximum after an outage
	// of the platform, for a removal that came later than its end.
	removalGrace, lateRemovalGrace time.Duration
	// unconfirmedRemovalGrace is counted from the last confirmation that the item was
	// there, for a removal that a node learns of by a call that did not wait for it.
	unconfirmedRemovalGrace time.Duration
	// heartbeatInterval is the maximum time between two deltas of a stream, and the
	// progress of a confirmation that is passed on at once.
	heartbeatInterval time.Duration
}

// newTimers derives the timers from the bounds. The readers may be lost right after
// they confirmed their data and right before a change, so staleAfter, the delay of a
// call, the call and its relay together have to be shorter than the bounds on the
// change.
func newTimers(b vanillabarrow.Bounds) timers {
	bound := min(b.ConfigApply, b.Drain)
	return timers{
		watchWait:         b.StabilityWindow * 2 / 3,
		probeInterval:     bound / 4,
		probeTimeout:      bound * 7 / 20,
		staleAfter:        bound * 3 / 5,
		readDelayByRank:   bound / 100,
		readDelayByDepth:  bound / 20,
		maxReadDelay:      bound / 5,
		heartbeatInterval: min(bound/4, maxHeartbeatInterval),

		removalGrace:            b.Drain * 2 / 5,
		lateRemovalGrace:        b.Drain * 7 / 10,
		unconfirmedRemovalGrace: b.Drain * 17 / 20,
	}
}

// readDelay returns how much longer than staleAfter a node waits before it calls the
// platform itself. The children of the readers do so one after the other, then those
// whose parents had no success either.
func (t timers) readDelay(v membership.View) time.Duration {
	if v.Rank < 0 {
		return t.maxReadDelay
	}
	rank := min(v.Rank, membership.FanOut)
	delay := time.Duration(rank)*t.readDelayByRank + time.Duration(max(0, v.Depth-2))*t.readDelayByDepth
	return min(delay, t.maxReadDelay)
}
