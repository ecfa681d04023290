package discovery

import (
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
	"github.com/vanillabarrow/vanillabarrow/internal/logging"
)

// lateTransit is the transit of a delta from which on it is logged.
const lateTransit = 250 * time.Millisecond

// transitClock measures how long the deltas of one response took to arrive, without a
// clock that both nodes share.
type transitClock struct {
	// receivedAt is the earliest time at which the sender can have received the
	// request, zero before the first delta.
	receivedAt time.Time
}

// transit returns the upper bound of the time from the making of a delta until now. It
// includes what the sender took to receive the request, and is 0 if the sender does not
// state when it made the delta.
func (c *transitClock) transit(d *vanillabarrow.Delta, now time.Time) time.Duration {
	if d.RequestedAt.IsZero() {
		return 0
	}
	if c.receivedAt.IsZero() {
		c.receivedAt = d.RequestedAt
	}
	// A clock that did not run while this VM was suspended shows an earlier arrival than
	// is possible.
	if latest := now.Add(-d.SentAfter); latest.Before(c.receivedAt) {
		c.receivedAt = latest
	}
	return now.Sub(c.receivedAt.Add(d.SentAfter))
}

// addTransit makes a delta from a node as old as it can be now: the time that it took to
// arrive counts for the age of its data and for how long removed items stay in effect.
// FirstSeenAt remains, since an earlier time would show cold targets as warm.
func (f *Follower) addTransit(d *vanillabarrow.Delta, clock *transitClock, address string) {
	transit := clock.transit(d, time.Now())
	f.Scope.Histogram("transit", kernel.LatencyBuckets()).RecordDuration(transit)
	if transit > lateTransit {
		f.Logger.Info(logging.EventItemsArrivedLate, "peer", address, "asOf", d.AsOf, "items", len(d.Items), "transit", transit, "age", d.SourceAge)
	}
	d.SourceAge += transit
	for i := range d.Items {
		if !d.Items[i].KeepUntil.IsZero() {
			d.Items[i].KeepUntil = d.Items[i].KeepUntil.Add(-transit)
		}
	}
}
