package discovery

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/sleep"
)

// errProbeFailed ends a watch during which a probe got no response.
var errProbeFailed = errors.New("probe during a watch")

// errWatchUnanswered is the error of a watch without any content of a response while the
// platform responded to probes.
var errWatchUnanswered = errors.New("no response to a watch")

// errWatchBehind ends a watch that has no response although probes show a newer version.
var errWatchBehind = errors.New("a probe shows a newer version than the watch")

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
	// exact is set if only probes for the newest version confirm the data, since a watch
	// got no response lately.
	exact bool
	// begun is set when the response begins.
	begun atomic.Bool
	// ahead is set once a probe showed a newer version. Only loopProbe uses it.
	ahead bool
	// abandon ends the watch.
	abandon context.CancelCauseFunc
}

// watchWithProbes watches the platform, while loopProbe checks that it responds.
func (f *Follower) watchWithProbes(ctx context.Context, after vanillabarrow.Version, pacer *watchPacer) (*vanillabarrow.Delta, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	w := &waitingWatch{after: after, exact: pacer.isShortened(), abandon: cancel}
	f.watch.Store(w)
	defer f.watch.Store(nil)
	start := time.Now()
	d, err := f.Source.Watch(ctx, vanillabarrow.WatchRequest{
		After: after, Wait: pacer.wait(f.timers.watchWait), OnBegin: func() { w.begun.Store(true) },
	})
	if err == nil {
		return d, nil
	}
	if cause := context.Cause(ctx); cause != nil {
		return nil, cause
	}
	if f.isUnanswered(w, start, err) {
		return nil, fmt.Errorf("%w: %w", errWatchUnanswered, err)
	}
	return nil, err
}

// isUnanswered reports whether a watch failed without any content of a response while the
// platform responded to probes.
func (f *Follower) isUnanswered(w *waitingWatch, start time.Time, err error) bool {
	waited := errors.Is(err, vanillabarrow.ErrNoResponse) || errors.Is(err, vanillabarrow.ErrResponseIncomplete)
	return waited && !w.begun.Load() && f.probedAt.Load() > start.Sub(f.startedAt).Nanoseconds()
}

// loopProbe probes the platform while a watch waits.
func (f *Follower) loopProbe(ctx context.Context) {
	for sleep.For(ctx, f.timers.probeInterval) {
		if w := f.watch.Load(); w != nil {
			f.probe(ctx, w, w.exact)
		}
	}
}

// probe calls the platform during a watch. If it responds with the version held, the
// watch would have returned a change, so the data held is confirmed. A read that may be
// out of date proves nothing if it shows a lower version, or the one held after a probe
// showed a newer one, so that an exact one follows.
// Without a response the watch may be waiting in vain, and is abandoned for a new one.
func (f *Follower) probe(ctx context.Context, w *waitingWatch, exact bool) {
	f.Scope.Counter("probes").Inc(1)
	start := time.Now()
	version, err := f.Source.Probe(ctx, vanillabarrow.ProbeRequest{Held: w.after, Exact: exact, Timeout: f.timers.probeTimeout})
	if f.watch.Load() != w {
		return
	}
	if err != nil {
		w.abandon(fmt.Errorf("%w: %w", errProbeFailed, err))
		return
	}
	if exact && version.Era() < w.after.Era() {
		w.abandon(&outdatedError{call: "probe", version: version, held: w.after})
		return
	}
	f.connectivity.recordResponse(time.Now())
	f.probedAt.Store(time.Since(f.startedAt).Nanoseconds())
	switch {
	case version == w.after && (exact || !w.ahead):
		now := time.Now()
		f.Table.Confirm(w.after, now.Sub(start), now)
	case version.Era() > w.after.Era():
		w.abandon(errRestored)
	case version > w.after:
		f.Scope.Counter("probesAhead").Inc(1)
		f.handleAhead(w)
	case !exact:
		f.Scope.Counter("probesBehind").Inc(1)
		f.probe(ctx, w, true)
	default:
		w.abandon(&revisionFellError{version: version, held: w.after})
	}
}

// handleAhead abandons a watch whose response has not begun although a probe showed a
// newer version before, or watches get no responses lately.
func (f *Follower) handleAhead(w *waitingWatch) {
	if (w.ahead || w.exact) && !w.begun.Load() {
		w.abandon(errWatchBehind)
	}
	w.ahead = true
}

// watchPacer shortens the wait of watches after one that got no response, in case that
// long waits are the cause.
type watchPacer struct {
	// shortened is the wait of the next watch, 0 for the full one.
	shortened time.Duration
}

// isShortened reports whether a watch got no response lately.
func (p *watchPacer) isShortened() bool { return p.shortened > 0 }

// wait returns the wait of the next watch.
func (p *watchPacer) wait(full time.Duration) time.Duration {
	if p.isShortened() {
		return min(p.shortened, full)
	}
	return full
}

// recordUnanswered makes the next watch wait for the given time, and reports whether
// this is the first watch without a response.
func (p *watchPacer) recordUnanswered(shortened time.Duration) (first bool) {
	first = !p.isShortened()
	p.shortened = shortened
	return first
}

// recordResponse doubles the wait of the next watch, until one of the full wait has got
// a response.
func (p *watchPacer) recordResponse(full time.Duration) {
	if p.shortened >= full {
		p.shortened = 0
	}
	p.shortened *= 2
}
