package discovery

import (
	"context"
	"errors"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/logging"
	"github.com/vanillabarrow/vanillabarrow/internal/sleep"
)

// maxQuickRelists is the number of listings after calls that ended quickly before they
// are delayed: one for a restore that the platform announces, two for another one.
const maxQuickRelists = 2

// sourceState is what loopSource keeps between calls to the platform.
type sourceState struct {
	// after is the version to watch from, 0 when a listing is needed.
	after    vanillabarrow.Version
	failures int
	// listOnce makes the next call a listing although after is known.
	listOnce bool
	// relists counts consecutive listings that followed calls which ended quickly.
	relists int
	// unansweredSince is from when on changes may have been missed, since the last watch got
	// no response while the platform responded to other calls. It is zero else.
	unansweredSince time.Time
	// watches adapts to watches that get no response.
	watches watchPacer
	// listedBytes is the size of the last listing, 0 before the first.
	listedBytes int
	// unconfirmed is set until the first response since the node began to read.
	unconfirmed bool
	// failingSince is from when on the platform may not have responded, if
	// failures is not 0.
	failingSince time.Time
	// outage is set if the platform had responded to no node for outageThreshold at
	// the last failure. Until outageGraceUntil, removals may be due to it.
	outage           bool
	outageGraceUntil time.Time
	// revisionFell is set once a listing or an exact probe showed a lower revision than was
	// held, which was of the era fellIn.
	revisionFell bool
	fellIn       vanillabarrow.Era
	// watchFell is set if only a watch showed it.
	watchFell bool
	// laterEra is the last era above the one held that a response showed, 0 once a response
	// of the era held has taken effect.
	laterEra vanillabarrow.Era
	// outdated is set if the last response was of an earlier era.
	outdated bool
	// standbyUntil is until when a node that is not a reader reads the
	// platform.
	standbyUntil time.Time
}

// loopSource watches the platform while the node is a reader or has no recent
// data from other nodes.
func (f *Follower) loopSource(ctx context.Context) {
	s := &sourceState{}
	reading := false
	if !sleep.For(ctx, f.firstReadDelay()) {
		return
	}
	for ctx.Err() == nil {
		should := f.shouldRead(s, time.Now())
		if should != reading {
			reading = should
			s.unconfirmed = reading
			f.logReading(reading)
			if !reading {
				f.connectivity.forget()
			} else if f.isOwnTargetRemoved() {
				f.checkConnectivity(ctx)
			}
		}
		if !should {
			// Changes up to AsOf came from other nodes.
			s.after = f.Table.AsOf()
			sleep.Until(ctx, f.readRequests, f.untilRoleCheck(time.Now()))
			continue
		}
		if s.after > 0 && s.after.Era() < f.Table.AsOf().Era() {
			// Another node learned of the later era first.
			s.after = f.Table.AsOf()
		}
		f.readOnce(ctx, s)
	}
}

// logReading logs that the node starts or stops reading the platform.
func (f *Follower) logReading(reading bool) {
	age := time.Duration(0)
	if at := f.Table.ConfirmedAt(); !at.IsZero() {
		age = time.Since(at)
	}
	if !reading {
		f.Logger.Info(logging.EventPlatformReadStopped, "age", age, "asOf", f.Table.AsOf())
		return
	}
	f.Logger.Info(logging.EventPlatformReadStarted, "reader", f.Members.View().Reader, "age", age, "asOf", f.Table.AsOf())
}

// shouldRead reports whether this node reads the platform now.
func (f *Follower) shouldRead(s *sourceState, now time.Time) bool {
	if f.Table.AsOf() == 0 || f.Members.View().Reader || f.readRequested.Load() {
		return true
	}
	stale := !now.Before(f.readsAt())
	if stale && f.Members.View().StandbyReader {
		s.standbyUntil = now.Add(standbyReadPeriod)
	}
	// Only the platform shows whether the own target's entry expired because
	// this VM was disconnected from it.
	return stale || now.Before(s.standbyUntil) || f.isOwnTargetRemoved()
}

// readsAt returns when a node that is not a reader calls the platform because it
// got no confirmation from other nodes.
func (f *Follower) readsAt() time.Time {
	return f.Table.ConfirmedAt().Add(f.timers.staleAfter + f.timers.readDelay(f.Members.View()))
}

// untilRoleCheck returns the time until the next check whether to read the platform.
func (f *Follower) untilRoleCheck(now time.Time) time.Duration {
	return min(roleCheckInterval, f.readsAt().Sub(now))
}

// readOnce makes one call to the platform and merges the response. It then
// waits for coalesceDelay after a change, or with backoff after a failure.
func (f *Follower) readOnce(ctx context.Context, s *sourceState) {
	if err := f.readLimiter.Wait(ctx); err != nil {
		return
	}
	callStart, held := time.Now(), f.Table.AsOf()
	d, err := f.listOrWatch(ctx, s)
	now := time.Now()
	if err != nil {
		f.handleSourceFailure(ctx, s, callStart, err)
		return
	}
	if err := f.acceptVersion(ctx, s, d, held); err != nil {
		f.handleSourceFailure(ctx, s, callStart, err)
		return
	}
	s.outage = s.outage || s.isOutage(now, f.Table.ConfirmedAt())
	setKeepUntil(d, f.keepRemovedUntil(s, now))
	f.handleSourceSuccess(s, now)
	s.after = d.AsOf
	if d.Full {
		s.listedBytes = d.Size()
	} else {
		s.relists = 0
	}
	f.listNext(s, causeAfterDelta(d, f.Table.AsOf(), s.listedBytes))
	f.merge(d, "platform")
	f.updateReadiness(now)
	if len(d.Items) > 0 {
		sleep.For(ctx, coalesceDelay)
	}
}

func (f *Follower) listOrWatch(ctx context.Context, s *sourceState) (*vanillabarrow.Delta, error) {
	if s.after == 0 || s.listOnce {
		s.listOnce = false
		f.Scope.Counter("lists").Inc(1)
		return f.Source.List(ctx, f.Table.AsOf())
	}
	f.Scope.Counter("watches").Inc(1)
	if s.failures > 0 || s.unconfirmed {
		return f.Source.Watch(ctx, vanillabarrow.WatchRequest{After: s.after, Wait: recoveryWatchWait})
	}
	d, err := f.watchWithProbes(ctx, s.after, &s.watches)
	if err == nil {
		s.watches.recordResponse(f.timers.watchWait)
	}
	return d, err
}

func (f *Follower) handleSourceFailure(ctx context.Context, s *sourceState, callStart time.Time, err error) {
	if errors.Is(err, vanillabarrow.ErrHistoryLost) {
		f.Logger.Info(logging.EventHistoryLost, "after", s.after)
		f.relist(ctx, s, callStart)
		return
	}
	if f.recordResponsiveFailure(s, callStart, err) {
		// The platform responds, so this is no failure of it.
		f.relist(ctx, s, callStart)
		return
	}
	f.noteOutdated(s, err)
	cause := causeAfterError(err)
	if cause == listAfterTooLarge && s.after > 0 {
		f.listNext(s, cause)
		return
	}
	s.recordFailure(callStart, time.Now(), f.Table.ConfirmedAt(), err)
	if s.failures > 1 || !errors.Is(err, vanillabarrow.ErrNoResponse) || errors.Is(err, errProbeFailed) {
		// A single call without a response may be a watch, while other calls work.
		f.connectivity.recordFailure(later(s.failingSince, f.connectivity.lastResponse()))
	}
	f.Scope.Counter("sourceErrors").Inc(1)
	if !f.platformUnavailable.Swap(true) {
		f.Logger.Warn(logging.EventPlatformUnavailable, "error", err, "after", s.after)
	}
	f.listNext(s, cause)
	f.updateReadiness(time.Now())
	// Watches alone may fail.
	s.listOnce = s.failures%2 == 1
	if s.failures == 1 && errors.Is(err, vanillabarrow.ErrNoResponse) {
		// The connection may be silent, which a new one shows at once.
		return
	}
	backoff.Wait(ctx, s.failures)
}

// relist makes the next call a listing. Listings that follow each other quickly are
// delayed, as the platform may contradict itself.
func (f *Follower) relist(ctx context.Context, s *sourceState, callStart time.Time) {
	s.after = 0
	f.connectivity.recordSuccess(time.Now())
	if time.Since(callStart) >= f.timers.probeInterval {
		s.relists = 0
	}
	s.relists++
	if s.relists > maxQuickRelists {
		backoff.Wait(ctx, s.relists-maxQuickRelists)
	}
}

// recordFailure notes a failed call. A connection that the platform closed shows that
// it had responded until then, a call without a response shows nothing.
func (s *sourceState) recordFailure(callStart, now, confirmedAt time.Time, err error) {
	if s.failures == 0 {
		s.failingSince = now
		if errors.Is(err, vanillabarrow.ErrNoResponse) {
			s.failingSince = callStart
		}
	}
	s.failures++
	s.outage = s.isOutage(now, confirmedAt)
}

// isOutage reports whether calls have failed for outageThreshold, and no other node
// got a response meanwhile. A single call may have failed with its connection.
func (s *sourceState) isOutage(now, confirmedAt time.Time) bool {
	return s.failures > 1 && now.Sub(s.failingSince) > outageThreshold && now.Sub(confirmedAt) > outageThreshold
}

func (f *Follower) handleSourceSuccess(s *sourceState, now time.Time) {
	if s.outage {
		s.outageGraceUntil = now.Add(outageGracePeriod)
	}
	if f.platformUnavailable.Swap(false) {
		f.Logger.Info(logging.EventPlatformRecovered, "failures", s.failures)
	}
	f.connectivity.recordSuccess(now)
	f.readRequested.Store(false)
	s.failures = 0
	s.outage = false
	s.unconfirmed = false
	s.unansweredSince = time.Time{}
}

// keepRemovedUntil returns until when the items stay in effect that a response
// reports as removed. It is called before the response is noted as a success.
func (f *Follower) keepRemovedUntil(s *sourceState, now time.Time) time.Time {
	if s.outage {
		return now.Add(outageGracePeriod)
	}
	until := now.Add(f.timers.removalGrace)
	if known := f.knownUntil(s); !known.IsZero() {
		until = earlier(until, known.Add(f.timers.unconfirmedRemovalGrace))
	}
	if s.outageGraceUntil.After(until) {
		until = earlier(s.outageGraceUntil, now.Add(f.timers.lateRemovalGrace))
	}
	return until
}

// knownUntil returns the time until which this node knows that it missed no change. It
// is zero if it knows none, or has waited for changes all the time.
func (f *Follower) knownUntil(s *sourceState) time.Time {
	confirmedAt := f.Table.ConfirmedAt()
	switch {
	case s.failures > 0:
		// Probes also confirm the data while the watch is silent.
		return earlier(confirmedAt, s.failingSince)
	case !s.unansweredSince.IsZero():
		return earlier(confirmedAt, s.unansweredSince)
	case s.unconfirmed:
		return confirmedAt
	default:
		return time.Time{}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// setKeepUntil sets until when removed items stay in effect.
func setKeepUntil(d *vanillabarrow.Delta, until time.Time) {
	for i := range d.Items {
		if d.Items[i].Removed {
			d.Items[i].KeepUntil = until
		}
	}
	d.KeepMissingUntil = until
}
