package limit

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/property"
)

const slots = 12

func far() vanillabarrow.Admission { return until(time.Now().Add(time.Hour)) }

func until(deadline time.Time) vanillabarrow.Admission {
	return vanillabarrow.Admission{Deadline: deadline}
}

// warm lets the limit climb to all slots.
func warm(t *testing.T, a *Adaptive) {
	t.Helper()
	for a.Load(0).Limit < slots {
		n := a.Load(0).Limit
		for range n {
			require.NoError(t, a.Acquire(t.Context(), far()))
		}
		for range n {
			a.Release(far(), vanillabarrow.SignalOK, 10*time.Millisecond)
		}
	}
}

func TestSignals(t *testing.T) {
	tests := map[string]struct {
		signal  vanillabarrow.TargetSignal
		latency time.Duration
		times   int
		low     int
		high    int
	}{
		"timely answers keep the limit":     {vanillabarrow.SignalOK, 10 * time.Millisecond, 50, slots, slots},
		"one refusal is a cold target":      {vanillabarrow.SignalRefused, time.Millisecond, 1, 2, 2},
		"one timeout halves":                {vanillabarrow.SignalTimeout, time.Second, 1, slots / 2, slots / 2},
		"a canceled request tells nothing":  {vanillabarrow.SignalNeutral, time.Second, 50, slots, slots},
		"latency far above its floor":       {vanillabarrow.SignalOK, time.Second, 30, 1, slots / 2},
		"latency a little above its floor":  {vanillabarrow.SignalOK, 20 * time.Millisecond, 50, slots, slots},
		"the limit never falls below one":   {vanillabarrow.SignalTimeout, time.Second, 100, 1, 2},
		"refusals keep it at its beginning": {vanillabarrow.SignalRefused, time.Millisecond, 100, 1, 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			a := NewAdaptive(slots)
			require.Equal(t, 2, a.Load(0).Limit)
			warm(t, a)
			for range tt.times {
				require.NoError(t, a.Acquire(t.Context(), far()))
				a.Release(far(), tt.signal, tt.latency)
			}
			require.GreaterOrEqual(t, a.Load(0).Limit, tt.low)
			require.LessOrEqual(t, a.Load(0).Limit, tt.high)
		})
	}
}

func TestQueue(t *testing.T) {
	tests := map[string]struct {
		deadline time.Duration
		cancel   time.Duration
		reason   vanillabarrow.Reason
		after    time.Duration
	}{
		"deadline passes in the queue": {50 * time.Millisecond, time.Hour, vanillabarrow.ReasonDeadline, 50 * time.Millisecond},
		"caller goes away":             {time.Hour, 30 * time.Millisecond, vanillabarrow.ReasonCanceled, 30 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := NewAdaptive(1)
				require.NoError(t, a.Acquire(t.Context(), far()))
				ctx, cancel := context.WithTimeout(t.Context(), tt.cancel)
				defer cancel()
				start := time.Now()
				refusal := vanillabarrow.AsRefusal(a.Acquire(ctx, until(time.Now().Add(tt.deadline))))
				require.Equal(t, vanillabarrow.VerdictNotRun, refusal.Verdict)
				require.Equal(t, tt.reason, refusal.Reason)
				require.Equal(t, tt.after, time.Since(start))
				require.Equal(t, vanillabarrow.Load{InFlight: 1, Limit: 1}, a.Load(0))
			})
		})
	}
}

func TestQueueRefusesWhatCanNotBeInTime(t *testing.T) {
	a := NewAdaptive(1)
	require.NoError(t, a.Acquire(t.Context(), far()))
	a.Release(far(), vanillabarrow.SignalOK, 100*time.Millisecond)
	require.NoError(t, a.Acquire(t.Context(), far()))
	refusal := vanillabarrow.AsRefusal(a.Acquire(t.Context(), until(time.Now().Add(50*time.Millisecond))))
	require.Equal(t, vanillabarrow.ReasonOverloaded, refusal.Reason)
}

// machine compares the limiter with a plain count.
type machine struct {
	limiter  *Adaptive
	inFlight int
}

// Acquire takes a slot or is refused.
func (m *machine) Acquire(t *rapid.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	before := m.limiter.Load(0)
	err := m.limiter.Acquire(ctx, far())
	require.Equal(t, before.InFlight < before.Limit, err == nil)
	if err == nil {
		m.inFlight++
	}
}

// Release gives one back with any signal.
func (m *machine) Release(t *rapid.T) {
	if m.inFlight == 0 {
		t.Skip("nothing is in flight")
	}
	m.inFlight--
	m.limiter.Release(far(),
		vanillabarrow.TargetSignal(rapid.IntRange(0, 3).Draw(t, "signal")),
		time.Duration(rapid.IntRange(1, 1000).Draw(t, "ms"))*time.Millisecond)
}

// SetSlots changes the bound.
func (m *machine) SetSlots(t *rapid.T) {
	m.limiter.SetSlots(rapid.IntRange(1, 20).Draw(t, "slots"))
}

// Check compares.
func (m *machine) Check(t *rapid.T) {
	load := m.limiter.Load(0)
	require.Equal(t, m.inFlight, load.InFlight)
	require.Zero(t, load.Queued)
	require.GreaterOrEqual(t, load.Limit, 1)
	require.LessOrEqual(t, load.Limit, m.limiter.slots)
}

func TestLimiterMachine(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		t.Repeat(rapid.StateMachineActions(&machine{limiter: NewAdaptive(slots)}))
	})
}

func BenchmarkAdmit(b *testing.B) {
	a := NewAdaptive(slots)
	ctx, deadline := context.Background(), far()
	b.ReportAllocs()
	for b.Loop() {
		if a.Acquire(ctx, deadline) == nil {
			a.Release(far(), vanillabarrow.SignalOK, time.Millisecond)
		}
	}
}

// TestGrantMeetsLeave gives a slot to a waiter that has just given up.
func TestGrantMeetsLeave(t *testing.T) {
	a := NewAdaptive(1)
	require.NoError(t, a.Acquire(t.Context(), far()))
	w, err := a.enter(far().Deadline)
	require.NoError(t, err)
	require.NotNil(t, w)
	a.Release(far(), vanillabarrow.SignalNeutral, 0)
	require.Equal(t, 1, a.Load(0).InFlight, "the waiter has the slot")
	refusal := vanillabarrow.NotRun(vanillabarrow.ReasonCanceled, "")
	require.Equal(t, refusal, a.leave(w, refusal))
	require.Zero(t, a.Load(0).InFlight)
}
