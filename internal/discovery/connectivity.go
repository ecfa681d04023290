package discovery

import (
	"sync/atomic"
	"time"
)

const (
	// cutAfter is how long calls to the platform fail before the node counts as
	// cut off.
	cutAfter = 500 * time.Millisecond
	// rejoinTime is how long a node counts as cut off after the platform answers
	// again: a target writes its entry again within two seconds.
	rejoinTime = 2 * time.Second
)

// isolation is what the node knows of its own way to the platform. Times are in
// nanoseconds since the start plus one, 0 for none.
type isolation struct {
	started      time.Time
	failingSince atomic.Int64
	regainedAt   atomic.Int64
}

func (i *isolation) at(now time.Time) int64 { return 1 + max(0, int64(now.Sub(i.started))) }

// failed notes that a call begun at a time failed.
func (i *isolation) failed(begun time.Time) {
	i.failingSince.CompareAndSwap(0, i.at(begun))
}

// answered notes that the platform answered.
func (i *isolation) answered(now time.Time) {
	since := i.failingSince.Swap(0)
	if since > 0 && i.at(now)-since >= int64(cutAfter) {
		i.regainedAt.Store(i.at(now))
	}
}

// isCutOff reports whether the platform gives no answer, or has just begun to.
func (i *isolation) isCutOff(now time.Time) bool {
	if since := i.failingSince.Load(); since > 0 && i.at(now)-since >= int64(cutAfter) {
		return true
	}
	regained := i.regainedAt.Load()
	return regained > 0 && i.at(now)-regained < int64(rejoinTime)
}

// IsDisconnected implements vanillabarrow.PlatformConnectivity.
func (f *Follower) IsDisconnected(now time.Time) bool { return f.isolation.isCutOff(now) }

// ownLapsed reports whether the platform dropped the entry of the target beside
// the node.
func (f *Follower) ownLapsed() bool {
	target := f.OwnTarget.Resolve(f.snapshot.Load())
	return target != nil && target.Expired
}
