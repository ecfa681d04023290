package gate

import (
	"context"
	"sync/atomic"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
)

// suspension makes new requests wait after a pause of the process, until the pause
// detector has run.
type suspension struct {
	// mu protects writes. Both values change together, so that no request suspends
	// the gate because of a run of the detector that is not its last one.
	mu    *kernel.Mutex
	start time.Time
	// lastTick is the time of the pause detector's last run, in nanoseconds since
	// the start, 0 without a pause detector.
	lastTick atomic.Int64
	// resumed is set while the gate is suspended. resume closes the channel.
	resumed atomic.Pointer[chan struct{}]
}

func newSuspension(start time.Time) *suspension {
	return &suspension{mu: kernel.NewMutex(kernel.RankSuspension), start: start}
}

// isOverdue reports whether the pause detector has not run for pauseThreshold.
func (s *suspension) isOverdue() bool {
	lastTick := s.lastTick.Load()
	return lastTick != 0 && time.Since(s.start)-time.Duration(lastTick) >= pauseThreshold
}

// suspendIfPaused suspends the gate if the pause detector is overdue. It is called for
// each request, as requests may arrive after a pause before the detector runs again.
func (s *suspension) suspendIfPaused() {
	if !s.isOverdue() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isOverdue() {
		s.setSuspended()
	}
}

// tick notes a run of the pause detector after which nothing has to be updated. It
// reports false if the process was paused before it, and suspends the gate then.
func (s *suspension) tick() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isOverdue() || s.resumed.Load() != nil {
		s.setSuspended()
		return false
	}
	s.recordTick()
	return true
}

// suspend makes new requests wait until resume is called.
func (s *suspension) suspend() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setSuspended()
}

// resume notes a run of the pause detector, and lets waiting and new requests proceed.
func (s *suspension) resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordTick()
	if ch := s.resumed.Swap(nil); ch != nil {
		close(*ch)
	}
}

func (s *suspension) setSuspended() {
	ch := make(chan struct{})
	s.resumed.CompareAndSwap(nil, &ch)
}

func (s *suspension) recordTick() { s.lastTick.Store(int64(max(1, time.Since(s.start)))) }

// wait blocks while the gate is suspended.
func (s *suspension) wait(ctx context.Context) error {
	ch := s.resumed.Load()
	if ch == nil {
		return nil
	}
	select {
	case <-*ch:
		return nil
	case <-ctx.Done():
		return vanillabarrow.NotRun(vanillabarrow.ReasonStaleConfig, "the node was paused and is updating its configuration")
	}
}
