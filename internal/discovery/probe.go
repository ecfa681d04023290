package discovery

import (
	"context"
	"fmt"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/sleep"
)

// waitingWatch is a watch that waits for a change.
type waitingWatch struct {
	// after is the revision that this node holds and waits for news of.
	after vanillabarrow.Version
	// abandon ends the watch.
	abandon context.CancelCauseFunc
}

// watchWithProbes watches the platform, while loopProbe checks that it responds.
func (f *Follower) watchWithProbes(ctx context.Context, after vanillabarrow.Version) (*vanillabarrow.Delta, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	f.watch.Store(&waitingWatch{after: after, abandon: cancel})
	defer f.watch.Store(nil)
	return f.Source.Watch(ctx, vanillabarrow.WatchRequest{After: after, Wait: f.timers.watchWait})
}

// loopProbe probes the platform while a watch waits.
func (f *Follower) loopProbe(ctx context.Context) {
	for sleep.For(ctx, f.timers.probeInterval) {
		if w := f.watch.Load(); w != nil {
			f.probe(ctx, w)
		}
	}
}

// probe calls the platform during a watch. If it responds without a newer revision, the
// watch would have returned a change, so the data held is confirmed. If it has a newer
// one, the response of the watch is on its way. Without a response the watch may be
// waiting in vain, and is abandoned for a new one.
func (f *Follower) probe(ctx context.Context, w *waitingWatch) {
	f.Scope.Counter("probes").Inc(1)
	start := time.Now()
	revision, err := f.Source.Probe(ctx, vanillabarrow.ProbeRequest{Held: w.after, Timeout: f.timers.probeTimeout})
	if f.watch.Load() != w {
		return
	}
	if err == nil {
		f.probedAt.Store(time.Since(f.startedAt).Nanoseconds())
	}
	if err != nil {
		w.abandon(fmt.Errorf("probe during a watch: %w", err))
		return
	}
	if revision > w.after {
		f.Scope.Counter("probesAhead").Inc(1)
		return
	}
	if revision < w.after {
		f.Scope.Counter("probesBehind").Inc(1)
	}
	now := time.Now()
	f.Table.Confirm(w.after, now.Sub(start), now)
}

// respondedTo reports whether the platform responded to a probe after the given time.
func (f *Follower) respondedTo(since time.Time) bool {
	return f.probedAt.Load() > since.Sub(f.startedAt).Nanoseconds()
}
