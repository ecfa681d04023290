package discovery

import (
	"context"
	"fmt"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/sleep"
)

// revisionFellError ends a watch during which an exact probe showed a lower revision
// than was held when the probe began.
type revisionFellError struct{ version, held vanillabarrow.Version }

// Error implements error.
func (e *revisionFellError) Error() string {
	return fmt.Sprintf("a probe shows %s, held %s", e.version, e.held)
}

// waitingWatch is a watch that waits for a change.
type waitingWatch struct {
	// after is the version that this node holds and waits for news of.
	after vanillabarrow.Version
	// abandon ends the watch.
	abandon context.CancelCauseFunc
}

// watchWithProbes watches the platform, while loopProbe checks that it responds.
func (f *Follower) watchWithProbes(ctx context.Context, after vanillabarrow.Version) (*vanillabarrow.Delta, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	w := &waitingWatch{after: after, abandon: cancel}
	f.watch.Store(w)
	defer f.watch.Store(nil)
	d, err := f.Source.Watch(ctx, vanillabarrow.WatchRequest{After: after, Wait: f.timers.watchWait})
	if cause := context.Cause(ctx); err != nil && cause != nil {
		return nil, cause
	}
	return d, err
}

// loopProbe probes the platform while a watch waits.
func (f *Follower) loopProbe(ctx context.Context) {
	for sleep.For(ctx, f.timers.probeInterval) {
		if w := f.watch.Load(); w != nil {
			f.probe(ctx, w, false)
		}
	}
}

// probe calls the platform during a watch. If it responds with the version held, the
// watch would have returned a change, so the data held is confirmed. A read that may be
// out of date proves nothing if it shows a lower version, so that an exact one follows.
// Without a response the watch may be waiting in vain, and is abandoned for a new one.
func (f *Follower) probe(ctx context.Context, w *waitingWatch, exact bool) {
	f.Scope.Counter("probes").Inc(1)
	start := time.Now()
	version, err := f.Source.Probe(ctx, vanillabarrow.ProbeRequest{Held: w.after, Exact: exact, Timeout: f.timers.probeTimeout})
	if f.watch.Load() != w {
		return
	}
	if err != nil {
		w.abandon(fmt.Errorf("probe during a watch: %w", err))
		return
	}
	f.probedAt.Store(time.Since(f.startedAt).Nanoseconds())
	switch {
	case version == w.after:
		now := time.Now()
		f.Table.Confirm(w.after, now.Sub(start), now)
	case version.Era() > w.after.Era():
		w.abandon(errRestored)
	case version > w.after:
		f.Scope.Counter("probesAhead").Inc(1)
	case !exact:
		f.Scope.Counter("probesBehind").Inc(1)
		f.probe(ctx, w, true)
	default:
		w.abandon(&revisionFellError{version: version, held: w.after})
	}
}

// respondedTo reports whether the platform responded to a probe after the given time.
func (f *Follower) respondedTo(since time.Time) bool {
	return f.probedAt.Load() > since.Sub(f.startedAt).Nanoseconds()
}
