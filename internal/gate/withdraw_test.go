package gate

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
)

// TestWaitEnds guards against an attempt that is refused while it waits for a slot and
// runs all the same, and against one that runs and is refused.
func TestWaitEnds(t *testing.T) {
	const runs = 500 * time.Millisecond
	withdraw := func(g *Gate, a *vanillabarrow.Attempt) *vanillabarrow.AttemptReport { return g.WithdrawAttempt(a) }
	leave := func(g *Gate, _ *vanillabarrow.Attempt) *vanillabarrow.AttemptReport {
		g.Configure(g.cfg.Snapshot(), []string{target}, true)
		return nil
	}
	stop := func(g *Gate, _ *vanillabarrow.Attempt) *vanillabarrow.AttemptReport {
		g.Close()
		return nil
	}
	tests := map[string]struct {
		end func(g *Gate, a *vanillabarrow.Attempt) *vanillabarrow.AttemptReport
		// busy is set if another attempt has the only slot, late if the attempt
		// arrives after the end.
		busy, late bool
		idempotent bool
		state      vanillabarrow.AttemptState
		refused    bool
	}{
		"withdrawn while it waits":             {end: withdraw, busy: true, state: vanillabarrow.AttemptFenced, refused: true},
		"idempotent, withdrawn while it waits": {end: withdraw, busy: true, idempotent: true, state: vanillabarrow.AttemptFenced, refused: true},
		"withdrawn while it runs":              {end: withdraw, state: vanillabarrow.AttemptRunning},
		"idempotent, withdrawn while it runs":  {end: withdraw, idempotent: true, state: vanillabarrow.AttemptRunning},
		"withdrawn before it arrives":          {end: withdraw, late: true, state: vanillabarrow.AttemptFenced, refused: true},
		"gate closes while it waits":           {end: stop, busy: true, refused: true},
		"gate closes while it runs":            {end: stop},
		"VM leaves while it waits":             {end: leave, busy: true, refused: true},
		"VM leaves while it runs":              {end: leave},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := &fakeExecutor{status: 200, delay: runs}
				g, _ := newGate(e)
				before := 0
				if tt.busy {
					before = 1
					go func() { _, _ = g.Handle(t.Context(), attempt(g, "busy")) }()
					synctest.Wait()
				}
				a := attempt(g, "a")
				a.Request.Idempotent = tt.idempotent
				result := make(chan error, 1)
				handle := func() {
					_, err := g.Handle(t.Context(), a)
					result <- err
				}
				if !tt.late {
					go handle()
					synctest.Wait()
				}
				start := time.Now()
				if report := tt.end(g, a); report != nil {
					require.Equal(t, tt.state, report.State)
					require.Equal(t, tt.refused, report.NotRun)
				}
				if tt.late {
					go handle()
				}
				err := <-result
				if !tt.refused {
					require.NoError(t, err)
					return
				}
				require.Zero(t, time.Since(start), "the refusal is sent at once")
				require.Equal(t, vanillabarrow.VerdictNotRun, vanillabarrow.AsRefusal(err).Verdict)
				time.Sleep(2 * runs)
				require.EqualValues(t, before, e.runs.Load())
				require.Zero(t, g.Load(0).InFlight)
				require.Empty(t, g.waits.byID)
				require.Equal(t, vanillabarrow.AttemptFenced, g.QueryAttempt(a).State)
			})
		})
	}
}

// TestWithdrawnBeforeItsBody guards against an attempt that waits for its turn to send a
// large body when it is withdrawn, and is not refused.
func TestWithdrawnBeforeItsBody(t *testing.T) {
	for name, key := range map[string]string{"without a key": "", "with a key": "key"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := &fakeExecutor{status: 200}
				g, cfg := newGate(e)
				if key != "" {
					s := snapshot(false)
					s.Services[service].KeyWindow = time.Minute
					cfg.snapshot.Store(s)
				}
				g.transfers.active = maxTransfers
				a := attempt(g, "a")
				a.Request.Key = key
				a.Request.Stream, a.Request.Size = strings.NewReader(strings.Repeat("b", 2*largeBody)), 2*largeBody
				result := make(chan error, 1)
				go func() {
					_, err := g.Handle(t.Context(), a)
					result <- err
				}()
				synctest.Wait()
				require.True(t, g.WithdrawAttempt(a).NotRun)
				require.Equal(t, vanillabarrow.VerdictNotRun, vanillabarrow.AsRefusal(<-result).Verdict)
				require.Zero(t, e.runs.Load())
				require.Empty(t, g.transfers.waiting)
			})
		})
	}
}

// TestWithdrawnAfterTheSlot guards against an attempt that has been given a slot, and
// that runs although it was refused before it began: the gate is suspended in between.
func TestWithdrawnAfterTheSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &fakeExecutor{status: 200, delay: 100 * time.Millisecond}
		g, _ := newGate(e)
		go func() { _, _ = g.Handle(t.Context(), attempt(g, "busy")) }()
		synctest.Wait()
		a := attempt(g, "a")
		result := make(chan error, 1)
		go func() {
			_, err := g.Handle(t.Context(), a)
			result <- err
		}()
		synctest.Wait()
		g.suspension.suspend()
		time.Sleep(2 * e.delay)
		require.Equal(t, 1, g.Load(0).InFlight, "the attempt has the slot")
		require.True(t, g.WithdrawAttempt(a).NotRun)
		g.suspension.resume()
		require.Equal(t, vanillabarrow.VerdictNotRun, vanillabarrow.AsRefusal(<-result).Verdict)
		require.EqualValues(t, 1, e.runs.Load())
		require.Zero(t, g.Load(0).InFlight)
	})
}
