package discovery

import (
	"context"
	"sync/atomic"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
)

const (
	// disconnectedAfter is how long calls to the platform fail before the node
	// counts as disconnected.
	disconnectedAfter = 500 * time.Millisecond
	// reconnectGracePeriod is how long a node still counts as disconnected
	// after the platform responds again: a target writes its entry again within
	// two seconds.
	reconnectGracePeriod = 2 * time.Second
)

// connectivity tracks whether the platform responds to this node. Times are in
// nanoseconds since startedAt plus one, so that 0 means none.
type connectivity struct {
	startedAt time.Time
	// failingSince is the start of the first call that failed since the last
	// success.
	failingSince atomic.Int64
	// reconnectedAt is when the platform last responded after it had not
	// responded for disconnectedAfter.
	reconnectedAt atomic.Int64
	// respondedAt is when the platform last responded.
	respondedAt atomic.Int64
}

func (c *connectivity) offset(now time.Time) int64 { return 1 + max(0, int64(now.Sub(c.startedAt))) }

// recordFailure notes that the call that began at callStart failed. The time
// that a call hangs counts as time without a response.
func (c *connectivity) recordFailure(callStart time.Time) {
	c.failingSince.CompareAndSwap(0, c.offset(callStart))
}

// recordSuccess notes that the platform responded.
func (c *connectivity) recordSuccess(now time.Time) {
	c.recordResponse(now)
	since := c.failingSince.Swap(0)
	if since > 0 && c.offset(now)-since >= int64(disconnectedAfter) {
		c.reconnectedAt.Store(c.offset(now))
	}
}

// recordResponse notes that the platform responded to a probe, or to another call.
func (c *connectivity) recordResponse(now time.Time) { c.respondedAt.Store(c.offset(now)) }

// forget notes that the node makes no more calls, so that it does not know whether the
// platform responds.
func (c *connectivity) forget() { c.failingSince.Store(0) }

// isDisconnected reports whether calls have failed for disconnectedAfter, or
// did so until less than reconnectGracePeriod ago.
func (c *connectivity) isDisconnected(now time.Time) bool {
	if since := c.failingSince.Load(); since > 0 && c.offset(now)-since >= int64(disconnectedAfter) {
		return true
	}
	reconnected := c.reconnectedAt.Load()
	return reconnected > 0 && c.offset(now)-reconnected < int64(reconnectGracePeriod)
}

// IsDisconnected implements vanillabarrow.PlatformConnectivity.
func (f *Follower) IsDisconnected(now time.Time) bool { return f.connectivity.isDisconnected(now) }

// lastResponse returns when the platform last responded, zero for never.
func (c *connectivity) lastResponse() time.Time {
	at := c.respondedAt.Load()
	if at == 0 {
		return time.Time{}
	}
	return c.startedAt.Add(time.Duration(at - 1))
}

// LastResponse implements vanillabarrow.PlatformConnectivity.
func (f *Follower) LastResponse() time.Time { return f.connectivity.lastResponse() }

// isOwnTargetRemoved reports whether the platform removed the entry of this node's
// target, which had not announced a shutdown.
func (f *Follower) isOwnTargetRemoved() bool {
	target := f.OwnTarget.Resolve(f.snapshot.Load())
	return target != nil && !target.RemovedAt.IsZero() && !target.Draining
}

// checkConnectivity probes the platform, whose response shows whether the own target left or
// this VM is disconnected. A watch might wait although the platform responds to other calls.
func (f *Follower) checkConnectivity(ctx context.Context) {
	start, held := time.Now(), f.Table.AsOf()
	version, err := f.Source.Probe(ctx, vanillabarrow.ProbeRequest{Held: held, Exact: true, Timeout: f.timers.probeTimeout})
	if err != nil || version.Era() < held.Era() {
		f.connectivity.recordFailure(start)
		return
	}
	f.connectivity.recordSuccess(time.Now())
}
