package gate

import (
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// suspender is a request that arrives after a pause.
type suspender struct{ gate *Gate }

func (s *suspender) run() { s.gate.suspension.suspendIfPaused() }

// TestGateResumesAfterAPause guards against a gate that stays suspended for good,
// because a request suspends it again by the detector's run before the last one.
func TestGateResumesAfterAPause(t *testing.T) {
	const (
		rounds   = 3000
		requests = 60
	)
	synctest.Test(t, func(t *testing.T) {
		g, _ := newGate(&fakeExecutor{status: 200})
		d := NewPauseDetector(g, &countingWaiter{}, slog.New(slog.DiscardHandler))
		for round := range rounds {
			time.Sleep(2 * pauseThreshold)
			for range requests {
				go (&suspender{gate: g}).run()
			}
			d.Tick(t.Context())
			synctest.Wait()
			require.Nil(t, g.suspension.resumed.Load(), "round %d", round)
		}
	})
}

// TestDetectorResumesWhatARequestSuspended guards against a gate that a request
// suspends at the threshold, just before a run of the detector that is not overdue.
func TestDetectorResumesWhatARequestSuspended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, _ := newGate(&fakeExecutor{status: 200})
		waiter := &countingWaiter{}
		d := NewPauseDetector(g, waiter, slog.New(slog.DiscardHandler))
		g.suspension.suspend()
		d.Tick(t.Context())
		require.Equal(t, 1, waiter.n)
		require.Nil(t, g.suspension.resumed.Load())
	})
}
