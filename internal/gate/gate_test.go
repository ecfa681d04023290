package gate

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/limit"
)

const (
	slots   = 4
	service = "returns"
	target  = "target"
)

// staticConfig provides a snapshot that tests set.
type staticConfig struct {
	snapshot atomic.Pointer[vanillabarrow.Snapshot]
}

func (c *staticConfig) Snapshot() *vanillabarrow.Snapshot { return c.snapshot.Load() }

// snapshot returns a snapshot with one target, which may be out of service.
func snapshot(out bool) *vanillabarrow.Snapshot {
	return &vanillabarrow.Snapshot{
		Version:  1,
		VMs:      map[string]*vanillabarrow.VM{"vm": {Name: "vm"}},
		Targets:  map[string]*vanillabarrow.Target{target: {Name: target, VM: "vm", Service: service, Slots: slots, OutOfService: out}},
		Services: map[string]*vanillabarrow.Service{service: {Name: service, Targets: []string{target}, NotRunStatuses: []int{503}}},
	}
}

// fakeExecutor responds with a status or a refusal after a delay. It counts all
// runs, the concurrent ones and their maximum.
type fakeExecutor struct {
	delay   time.Duration
	status  int
	refusal *vanillabarrow.Refusal
	runs    atomic.Int64
	peak    atomic.Int64
	open    atomic.Int64
}

func (e *fakeExecutor) Execute(ctx context.Context, _ *vanillabarrow.Attempt) (*vanillabarrow.Response, error) {
	e.runs.Add(1)
	e.peak.Store(max(e.peak.Load(), e.open.Add(1)))
	defer e.open.Add(-1)
	timer := time.NewTimer(e.delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return nil, vanillabarrow.MayHaveRun(vanillabarrow.ReasonDeadline, "")
	}
	if e.refusal != nil {
		return nil, e.refusal
	}
	return &vanillabarrow.Response{Status: e.status}, nil
}

func newGate(e vanillabarrow.Executor) (*Gate, *staticConfig) {
	cfg := &staticConfig{}
	cfg.snapshot.Store(snapshot(false))
	g := New(Config{OwnTarget: vanillabarrow.TargetRef{Name: target}, Incarnation: "one", Configuration: cfg, Executor: e, Limiter: limit.NewAdaptive(1), Scope: tally.NoopScope, Logger: slog.New(slog.DiscardHandler)})
	g.Configure(cfg.Snapshot(), []string{target}, false)
	return g, cfg
}

func attempt(g *Gate, id string) *vanillabarrow.Attempt {
	return &vanillabarrow.Attempt{
		ID: id, Target: &vanillabarrow.Target{Name: target}, Token: g.Token(), Deadline: time.Now().Add(time.Second),
		Request: &vanillabarrow.Request{Service: service, Method: "POST"},
	}
}

func TestHandleRefuses(t *testing.T) {
	tests := map[string]struct {
		executor *fakeExecutor
		prepare  func(g *Gate, cfg *staticConfig, a *vanillabarrow.Attempt)
		verdict  vanillabarrow.Verdict
		reason   vanillabarrow.Reason
		runs     int64
	}{
		"closed": {
			prepare: func(g *Gate, _ *staticConfig, _ *vanillabarrow.Attempt) { g.Close() },
			verdict: vanillabarrow.VerdictNotRun, reason: vanillabarrow.ReasonDraining,
		},
		"published as leaving": {
			prepare: func(g *Gate, cfg *staticConfig, _ *vanillabarrow.Attempt) { g.Configure(cfg.Snapshot(), nil, true) },
			verdict: vanillabarrow.VerdictNotRun, reason: vanillabarrow.ReasonDraining,
		},
		"out of service": {
			prepare: func(_ *Gate, cfg *staticConfig, _ *vanillabarrow.Attempt) { cfg.snapshot.Store(snapshot(true)) },
			verdict: vanillabarrow.VerdictNotRun, reason: vanillabarrow.ReasonTargetOut,
		},
		"no configuration": {
			prepare: func(_ *Gate, cfg *staticConfig, _ *vanillabarrow.Attempt) { cfg.snapshot.Store(nil) },
			verdict: vanillabarrow.VerdictNotRun, reason: vanillabarrow.ReasonNoConfig,
		},
		"another target": {
			prepare: func(_ *Gate, _ *staticConfig, a *vanillabarrow.Attempt) { a.Target.Name = "other" },
			verdict: vanillabarrow.VerdictNotRun, reason: vanillabarrow.ReasonWrongTarget,
		},
		"no token": {
			prepare: func(_ *Gate, _ *staticConfig, a *vanillabarrow.Attempt) { a.Token = vanillabarrow.Token{} },
			verdict: vanillabarrow.VerdictNotRun, reason: vanillabarrow.ReasonStaleToken,
		},
		"deadline passed": {
			prepare: func(_ *Gate, _ *staticConfig, a *vanillabarrow.Attempt) { a.Deadline = time.Now() },
			verdict: vanillabarrow.VerdictNotRun, reason: vanillabarrow.ReasonDeadline,
		},
		"deadline passes at the target": {
			executor: &fakeExecutor{delay: time.Minute},
			prepare:  func(*Gate, *staticConfig, *vanillabarrow.Attempt) {},
			verdict:  vanillabarrow.VerdictMayHaveRun, reason: vanillabarrow.ReasonDeadline, runs: 1,
		},
		"target responds with a not-run status": {
			executor: &fakeExecutor{status: 503},
			prepare:  func(*Gate, *staticConfig, *vanillabarrow.Attempt) {},
			verdict:  vanillabarrow.VerdictNotRun, reason: vanillabarrow.ReasonShed, runs: 1,
		},
		"key with another owner": {
			prepare: func(g *Gate, cfg *staticConfig, a *vanillabarrow.Attempt) {
				s := snapshot(false)
				s.Services[service].KeyWindow = time.Minute
				cfg.snapshot.Store(s)
				g.Configure(s, []string{"other"}, false)
				a.Request.Key = "key"
			},
			verdict: vanillabarrow.VerdictNotRun, reason: vanillabarrow.ReasonWrongTarget,
		},
		"key without a time at a gate that just started": {
			prepare: func(_ *Gate, cfg *staticConfig, a *vanillabarrow.Attempt) {
				s := snapshot(false)
				s.Services[service].KeyWindow = time.Minute
				cfg.snapshot.Store(s)
				a.Request.Key = "key"
			},
			verdict: vanillabarrow.VerdictMayHaveRun, reason: vanillabarrow.ReasonKeyUnknown,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := tt.executor
				if e == nil {
					e = &fakeExecutor{status: 200}
				}
				g, cfg := newGate(e)
				a := attempt(g, "a")
				tt.prepare(g, cfg, a)
				_, err := g.Handle(t.Context(), a)
				refusal := vanillabarrow.AsRefusal(err)
				require.Equal(t, tt.verdict, refusal.Verdict)
				require.Equal(t, tt.reason, refusal.Reason)
				require.Equal(t, tt.runs, e.runs.Load())
				require.Zero(t, g.Running())
			})
		})
	}
}

// client sends attempts sequentially.
type client struct {
	gate *Gate
	done chan int
}

func (c *client) run(ctx context.Context, n int) {
	finished := 0
	for range n {
		if _, err := c.gate.Handle(ctx, attempt(c.gate, uuid.NewString())); err == nil {
			finished++
		}
	}
	c.done <- finished
}

func TestTokenExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &fakeExecutor{status: 200}
		g, _ := newGate(e)
		a := attempt(g, "a")
		time.Sleep(3 * time.Minute)
		a.Deadline = time.Now().Add(time.Second)
		_, err := g.Handle(t.Context(), a)
		require.Equal(t, vanillabarrow.ReasonStaleToken, vanillabarrow.AsRefusal(err).Reason)
		require.Equal(t, vanillabarrow.AttemptUnknown, g.QueryAttempt(a).State)
	})
}

// TestNonIdempotentOutlivesConnection cancels the sender's context while the
// attempt runs at the target.
func TestNonIdempotentOutlivesConnection(t *testing.T) {
	tests := map[string]struct {
		idempotent bool
		want       vanillabarrow.AttemptState
	}{
		"non-idempotent": {false, vanillabarrow.AttemptFinished},
		"idempotent":     {true, vanillabarrow.AttemptFenced},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g, _ := newGate(&fakeExecutor{status: 200, delay: 500 * time.Millisecond})
				a := attempt(g, "a")
				a.Request.Idempotent = tt.idempotent
				ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
				defer cancel()
				_, _ = g.Handle(ctx, a)
				require.Equal(t, tt.want, g.QueryAttempt(a).State)
			})
		})
	}
}

// countingWaiter counts the waits for the newest configuration.
type countingWaiter struct{ n int }

func (w *countingWaiter) WaitForNewest(context.Context, time.Duration) { w.n++ }

func TestPauseSuspendsNewRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &fakeExecutor{status: 200}
		g, _ := newGate(e)
		waiter := &countingWaiter{}
		d := NewPauseDetector(g, waiter, slog.New(slog.DiscardHandler))
		for range 20 {
			time.Sleep(detectorInterval)
			d.Tick(t.Context())
		}
		require.Zero(t, waiter.n)
		// The detector does not run for longer than the threshold, as when the
		// process is paused.
		time.Sleep(2 * pauseThreshold)
		c := &client{gate: g, done: make(chan int, 1)}
		go c.run(t.Context(), 1)
		synctest.Wait()
		require.Zero(t, e.runs.Load())
		d.Tick(t.Context())
		require.Equal(t, 1, waiter.n)
		require.Equal(t, 1, <-c.done)
	})
}

func TestAdaptiveLimitAtStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &fakeExecutor{status: 200, delay: 10 * time.Millisecond}
		g, _ := newGate(e)
		clients := make([]*client, 50)
		for i := range clients {
			clients[i] = &client{gate: g, done: make(chan int, 1)}
			go clients[i].run(t.Context(), 1)
		}
		finished := 0
		for _, c := range clients {
			finished += <-c.done
		}
		require.LessOrEqual(t, e.peak.Load(), int64(2), "the limit starts at 2 at most and three responses add less than one")
		require.Equal(t, int64(finished), e.runs.Load())
	})
}
