package discovery

import (
	"context"
	"errors"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/logging"
)

// sourceState is what the loop at the platform remembers between calls.
type sourceState struct {
	// after is the revision to watch from, 0 when a listing is needed.
	after    vanillabarrow.Version
	failures int
	// answeredAt is when the platform last answered, and outageUntil until
	// when removals may stem from an outage.
	answeredAt  time.Time
	outageUntil time.Time
	// deputyUntil is until when a node that is no reader reads the platform.
	deputyUntil time.Time
}

// loopSource watches the platform while the node is a reader or nobody else
// tells it what the platform holds.
func (f *Follower) loopSource(ctx context.Context) {
	s := &sourceState{}
	reading := false
	if !waitFor(ctx, nil, f.firstRead()) {
		return
	}
	for ctx.Err() == nil {
		should := f.shouldRead(s, time.Now())
		if should != reading {
			reading = should
			f.logReading(reading)
			if reading && f.ownLapsed() {
				// A listing tells at once; a watch waits for the next change.
				s.after = 0
			}
		}
		if !should {
			// What was missed meanwhile came from other nodes.
			s.after = f.Table.AsOf()
			waitFor(ctx, nil, roleCheck)
			continue
		}
		f.readOnce(ctx, s)
	}
}

// logReading tells that the node begins or ends to read the platform.
func (f *Follower) logReading(reading bool) {
	age := time.Duration(0)
	if at := f.Table.ConfirmedAt(); !at.IsZero() {
		age = time.Since(at)
	}
	if !reading {
		f.Logger.Info(logging.EventReadingEnded, "age", age, "asOf", f.Table.AsOf())
		return
	}
	f.Logger.Info(logging.EventReadingBegun, "reader", f.Members.View().Reader, "age", age, "asOf", f.Table.AsOf())
}

// shouldRead reports whether this node reads the platform now.
func (f *Follower) shouldRead(s *sourceState, now time.Time) bool {
	if f.Table.AsOf() == 0 || f.Members.View().Reader {
		return true
	}
	view := f.Members.View()
	wait := min(deputyWait, time.Duration(max(0, view.Rank))*deputyStep)
	stale := now.Sub(f.Table.ConfirmedAt()) > staleAfter+wait
	if stale && view.StandbyReader {
		s.deputyUntil = now.Add(deputyFor)
	}
	// Whether the own target's entry lapsed because this VM is cut off from the
	// platform, only the platform's answer tells.
	return stale || now.Before(s.deputyUntil) || f.ownLapsed()
}

// readOnce makes one call and waits as long as its outcome asks for.
func (f *Follower) readOnce(ctx context.Context, s *sourceState) {
	if err := f.budget.Wait(ctx); err != nil {
		return
	}
	begun := time.Now()
	d, err := f.call(ctx, s)
	now := time.Now()
	if err != nil {
		f.sourceFailed(ctx, s, begun, err)
		return
	}
	f.sourceAnswered(s, now)
	markRemovals(d, now, s.outageUntil)
	s.after = d.AsOf
	f.merge(d, "platform")
	f.checkReady(now)
	if len(d.Items) > 0 {
		waitFor(ctx, nil, coalesce)
	}
}

func (f *Follower) call(ctx context.Context, s *sourceState) (*vanillabarrow.Delta, error) {
	if s.after == 0 {
		f.Scope.Counter("lists").Inc(1)
		return f.Source.List(ctx)
	}
	f.Scope.Counter("watches").Inc(1)
	wait := watchWait
	if s.failures > 0 {
		wait = returnWait
	}
	return f.Source.Watch(ctx, s.after, wait)
}

func (f *Follower) sourceFailed(ctx context.Context, s *sourceState, begun time.Time, err error) {
	if errors.Is(err, vanillabarrow.ErrHistoryLost) {
		f.Logger.Info(logging.EventHistoryLost, "after", s.after)
		s.after = 0
		return
	}
	s.failures++
	f.isolation.failed(begun)
	f.Scope.Counter("sourceErrors").Inc(1)
	if !f.lost.Swap(true) {
		f.Logger.Warn(logging.EventPlatformLost, "error", err, "after", s.after)
	}
	f.checkReady(time.Now())
	waitFor(ctx, nil, backoff(s.failures))
}

func (f *Follower) sourceAnswered(s *sourceState, now time.Time) {
	if s.failures > 0 && !s.answeredAt.IsZero() && now.Sub(s.answeredAt) > outageAfter {
		s.outageUntil = now.Add(outageKeep)
	}
	if f.lost.Swap(false) {
		f.Logger.Info(logging.EventPlatformRegained, "failures", s.failures)
	}
	f.isolation.answered(now)
	s.failures = 0
	s.answeredAt = now
}

// markRemovals sets until when removed items still count: at least up to the
// time that an outage of the platform leaves to their writers.
func markRemovals(d *vanillabarrow.Delta, now, outageUntil time.Time) {
	until := now.Add(removeKeep)
	if outageUntil.After(until) {
		until = outageUntil
	}
	for i := range d.Items {
		if d.Items[i].Removed {
			d.Items[i].KeepUntil = until
		}
	}
	d.KeepMissingUntil = until
}
