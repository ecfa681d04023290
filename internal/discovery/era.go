package discovery

import (
	"context"
	"errors"
	"fmt"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/logging"
)

var (
	// errRestored is the error of a call that shows that the platform was restored from
	// an older copy, or may have been, so that a listing has to follow.
	errRestored = errors.New("the platform may have been restored from an older copy")
	// errOutdated is the error of a response of an earlier era than that of the items
	// held when the call began.
	errOutdated = errors.New("response of an earlier era")
)

// outdatedError is an errOutdated with the version of the response and the one held.
type outdatedError struct {
	call          string
	version, held vanillabarrow.Version
}

// Error implements error.
func (e *outdatedError) Error() string {
	return fmt.Sprintf("%v: %s of %s, held %s", errOutdated, e.call, e.version, e.held)
}

// Unwrap returns errOutdated.
func (*outdatedError) Unwrap() error { return errOutdated }

// acceptVersion returns an error if a response may not take effect, see checkVersion. A
// later era that the platform states takes effect once a second response shows it.
func (f *Follower) acceptVersion(ctx context.Context, s *sourceState, d *vanillabarrow.Delta, held vanillabarrow.Version) error {
	if err := f.checkVersion(s, d, held); err != nil {
		return err
	}
	isStated := d.AsOf.Era().Stated() > held.Era().Stated()
	if held > 0 && isStated && !f.probeShowsEra(ctx, s, d.AsOf.Era()) {
		return errRestored
	}
	if d.AsOf.Era() <= held.Era() {
		s.laterEra = 0
	}
	return nil
}

// checkVersion compares the version of a response with the one that was held when the
// call began. Since the platform's responses are linearizable, a lower revision shows
// that it lost changes. The listing after another response that shows it begins an era
// that the platform did not announce, and is moved to that era.
func (f *Follower) checkVersion(s *sourceState, d *vanillabarrow.Delta, held vanillabarrow.Version) error {
	if s.fellIn != held.Era() {
		s.revisionFell, s.watchFell = false, false
	}
	if d.AsOf.Era() < held.Era() {
		return &outdatedError{call: callName(d), version: d.AsOf, held: held}
	}
	s.outdated = false
	switch {
	case d.AsOf.Era() > held.Era():
		if !d.Full && held > 0 {
			s.laterEra = d.AsOf.Era()
			return errRestored
		}
	case d.Full && (s.revisionFell || s.watchFell && d.AsOf < held):
		s.revisionFell, s.watchFell = false, false
		return beginUnannouncedEra(d)
	case d.AsOf >= held:
		s.watchFell = false
	case d.Full:
		f.noteRevisionFell(s, d.AsOf, held)
		return errRestored
	default:
		// Watches alone may be behind, which a listing shows.
		s.watchFell, s.fellIn = true, held.Era()
		return errRestored
	}
	return nil
}

// probeShowsEra reports whether a second response of the platform shows the later era of a
// listing, a probe unless a response showed it before. All nodes follow the first one that
// takes a later era.
func (f *Follower) probeShowsEra(ctx context.Context, s *sourceState, era vanillabarrow.Era) bool {
	if s.laterEra == era {
		return true
	}
	s.laterEra = era
	version, err := f.Source.Probe(ctx, vanillabarrow.ProbeRequest{Held: f.Table.AsOf(), Exact: true, Timeout: f.timers.probeTimeout})
	return err == nil && version.Era() == era
}

// noteOutdated counts a response of an earlier era, and logs the first of consecutive ones.
func (f *Follower) noteOutdated(s *sourceState, err error) {
	var outdated *outdatedError
	if !errors.As(err, &outdated) {
		return
	}
	f.Scope.Counter("responsesOutdated").Inc(1)
	if !s.outdated {
		f.Logger.Warn(logging.EventResponseOutdated, "call", outdated.call, "asOf", outdated.version, "held", outdated.held)
	}
	s.outdated = true
}

// noteRevisionFell notes a listing or an exact probe whose revision is lower than the one
// held when the call began.
func (f *Follower) noteRevisionFell(s *sourceState, version, held vanillabarrow.Version) {
	f.Scope.Counter("revisionsFell").Inc(1)
	if !s.revisionFell {
		f.Logger.Warn(logging.EventRevisionFell, "asOf", version, "held", held)
	}
	s.revisionFell, s.fellIn = true, held.Era()
}

// beginUnannouncedEra makes a delta one of the era after its own.
func beginUnannouncedEra(d *vanillabarrow.Delta) error {
	era, ok := d.AsOf.Era().Next()
	if !ok {
		return fmt.Errorf("%w: no more restores can be counted after %s", errOutdated, d.AsOf)
	}
	d.AsOf = vanillabarrow.NewVersion(era, d.AsOf.Revision())
	for i := range d.Items {
		item := &d.Items[i]
		item.Revision = vanillabarrow.NewVersion(era, item.Revision.Revision())
		item.Created = vanillabarrow.NewVersion(era, item.Created.Revision())
	}
	return nil
}

// callName returns the name of the call to the platform that returned a delta.
func callName(d *vanillabarrow.Delta) string {
	if d.Full {
		return "listing"
	}
	return "watch"
}

// recordResponsiveFailure notes what a failed call shows if the platform responds all the
// same, so that a listing has to follow. It returns false for other failures.
func (f *Follower) recordResponsiveFailure(s *sourceState, callStart time.Time, err error) bool {
	var fell *revisionFellError
	switch {
	case errors.As(err, &fell):
		f.noteRevisionFell(s, fell.version, fell.held)
	case errors.Is(err, errRestored):
	case errors.Is(err, errWatchBehind), errors.Is(err, errWatchUnanswered):
		s.unansweredSince = callStart
		if s.watches.isShortened() {
			// The probes beside it were exact, so that the data was confirmed until the last.
			s.unansweredSince = time.Now()
		}
		f.Scope.Counter("unansweredWatches").Inc(1)
		if s.watches.recordUnanswered(f.timers.probeInterval) {
			f.Logger.Warn(logging.EventWatchUnanswered, "after", s.after, "waited", time.Since(callStart))
		}
	default:
		return false
	}
	return true
}

func (f *Follower) logEraChange(c *EraChange, from string) {
	f.Scope.Counter("eraChanges").Inc(1)
	f.Logger.Warn(logging.EventEraChanged, "from", from, "before", c.Before, "asOf", c.After, "kept", c.Kept, "lost", c.Lost)
}

// requestRead makes loopSource call the platform once.
func (f *Follower) requestRead() {
	f.readRequested.Store(true)
	select {
	case f.readRequests <- struct{}{}:
	default:
	}
}
