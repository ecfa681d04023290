package discovery

import (
	"cmp"
	"context"
	"sync"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/sleep"
)

// fakeSource is one node's access to a store, which can be made unavailable to
// that node.
type fakeSource struct {
	// mu is shared by all sources of a store.
	mu          *sync.Mutex
	store       *fakeStore
	unavailable bool
	// silent makes calls fail only when their client gives up.
	silent bool
	calls  int
	// calledAt holds the times of the calls that reached the store.
	calledAt []time.Time
	// historyLost makes the next watch fail with ErrHistoryLost.
	historyLost bool
	// cuts is the number of calls that are cut before one succeeds.
	cuts int
	// silences counts how often the open connections went silent for good.
	// idleSilent is set while an idle connection is silent.
	silences   int
	idleSilent bool
	// listTime is how long a listing takes to arrive.
	listTime time.Duration
	// watchesSilent is set while watches get no response.
	watchesSilent bool
	// staleRevision is the revision of reads that may be out of date, 0 for the newest.
	staleRevision vanillabarrow.Version
	// probeSilent is set while the connection of probes is silent.
	probeSilent bool
	probes      int
	// responseTime is how long the response of a watch with a change takes to arrive.
	responseTime time.Duration
}

// lateAfter is the time after the requested wait at which a client notices that its
// connection is silent.
const lateAfter = 700 * time.Millisecond

// silenceConnections makes the connections silent that are open now, also the idle
// ones. New ones work.
func (s *fakeSource) silenceConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silences++
	s.idleSilent, s.probeSilent = true, true
}

// beginCall returns the number of silences so far. A call over an idle connection
// that is silent is repeated over a new one.
func (s *fakeSource) beginCall(ctx context.Context) int {
	s.mu.Lock()
	wasSilent := s.idleSilent
	s.idleSilent = false
	s.mu.Unlock()
	if wasSilent {
		sleep.For(ctx, lateAfter)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silences
}

// wentSilent reports whether the connection of a call is silent.
func (s *fakeSource) wentSilent(silences int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silences == silences {
		return false
	}
	// The call's own connection was the open one.
	s.idleSilent = false
	return true
}

// silentCallTime is how long a client waits for a response beyond the wait that it
// requested.
const silentCallTime = 1500 * time.Millisecond

// count notes a call with the lock held.
func (s *fakeSource) count() {
	s.calls++
	s.calledAt = append(s.calledAt, time.Now())
}

// isSilent reports whether calls get no response.
func (s *fakeSource) isSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent
}

func (s *fakeSource) hasSilentWatches() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watchesSilent
}

func (s *fakeSource) List(ctx context.Context, held vanillabarrow.Version) (*vanillabarrow.Delta, error) {
	if s.isSilent() {
		sleep.For(ctx, silentCallTime)
		return nil, vanillabarrow.ErrNoResponse
	}
	d, listTime, err := s.list(held)
	sleep.For(ctx, listTime)
	return d, err
}

func (s *fakeSource) list(held vanillabarrow.Version) (*vanillabarrow.Delta, time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count()
	if s.unavailable || s.store.away {
		return nil, 0, errUnavailable
	}
	return s.store.label(s.store.delta(0, true), held), s.listTime, nil
}

func (s *fakeSource) Watch(ctx context.Context, r vanillabarrow.WatchRequest) (*vanillabarrow.Delta, error) {
	after, wait := r.After, r.Wait
	silences, start := s.beginCall(ctx), time.Now()
	for range 1 + wait/(100*time.Millisecond) {
		if s.wentSilent(silences) {
			sleep.For(ctx, time.Until(start.Add(wait+lateAfter)))
			return nil, cmp.Or(context.Cause(ctx), vanillabarrow.ErrNoResponse)
		}
		if s.isSilent() || s.hasSilentWatches() {
			sleep.For(ctx, wait+silentCallTime)
			return nil, cmp.Or(context.Cause(ctx), vanillabarrow.ErrNoResponse)
		}
		s.mu.Lock()
		if s.cuts > 0 {
			defer s.mu.Unlock()
			s.count()
			s.cuts--
			return nil, errUnavailable
		}
		if s.unavailable || s.store.away || s.historyLost {
			defer s.mu.Unlock()
			s.count()
			if s.historyLost {
				s.historyLost = false
				return nil, vanillabarrow.ErrHistoryLost
			}
			return nil, errUnavailable
		}
		if s.store.lacks(after) {
			defer s.mu.Unlock()
			s.count()
			return nil, vanillabarrow.ErrHistoryLost
		}
		if s.store.revision > rawVersion(after) {
			s.count()
			d, responseTime := s.store.label(s.store.delta(rawVersion(after), false), after), s.responseTime
			s.mu.Unlock()
			if r.OnBegin != nil {
				r.OnBegin()
			}
			if !sleep.For(ctx, responseTime) {
				return nil, context.Cause(ctx)
			}
			return d, nil
		}
		s.mu.Unlock()
		if !sleep.For(ctx, 100*time.Millisecond) {
			return nil, context.Cause(ctx)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count()
	return s.store.label(s.store.delta(rawVersion(after), false), after), nil
}

func (s *fakeSource) Probe(ctx context.Context, r vanillabarrow.ProbeRequest) (vanillabarrow.Version, error) {
	s.mu.Lock()
	silent, unavailable, probeSilent := s.silent, s.unavailable || s.store.away, s.probeSilent
	revision, era := s.store.revision, s.store.eraFor(r.Held)
	if !r.Exact && s.staleRevision > 0 {
		revision = s.staleRevision
	}
	if !r.Exact && s.store.staleFor > 0 {
		revision = s.store.revisionAt(time.Now().Add(-s.store.staleFor))
	}
	s.probes++
	s.probeSilent = false
	s.mu.Unlock()
	if silent || probeSilent {
		sleep.For(ctx, r.Timeout)
		return 0, vanillabarrow.ErrNoResponse
	}
	if unavailable {
		return 0, errUnavailable
	}
	return vanillabarrow.NewVersion(era, revision.Revision()), ctx.Err()
}

func (s *fakeSource) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}
