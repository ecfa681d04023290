package dispatch_test

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/balance"
	"github.com/vanillabarrow/vanillabarrow/internal/dispatch"
	"github.com/vanillabarrow/vanillabarrow/internal/retry"
)

// handlers are the handlers of attempts by target.
type handlers = map[string]func(a *vanillabarrow.Attempt) (*vanillabarrow.Response, error)

// fakeGates responds to attempts with one handler for each target and records
// their order.
type fakeGates struct {
	mu        sync.Mutex
	handlers  handlers
	attempted []string
	late      []bool
}

func (g *fakeGates) Forward(_ context.Context, a *vanillabarrow.Attempt) (*vanillabarrow.Response, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.attempted = append(g.attempted, a.Target.Name)
	g.late = append(g.late, a.Late)
	return g.handlers[a.Target.Name](a)
}

func (*fakeGates) QueryAttempt(context.Context, *vanillabarrow.Attempt) (*vanillabarrow.AttemptReport, error) {
	return &vanillabarrow.AttemptReport{State: vanillabarrow.AttemptUnknown}, nil
}

func refuseWith(reason vanillabarrow.Reason) func(*vanillabarrow.Attempt) (*vanillabarrow.Response, error) {
	return func(*vanillabarrow.Attempt) (*vanillabarrow.Response, error) {
		r := vanillabarrow.NotRun(reason, "")
		r.RetryAfter = 70 * time.Millisecond
		return nil, r
	}
}

func loseResponse(*vanillabarrow.Attempt) (*vanillabarrow.Response, error) {
	return nil, vanillabarrow.MayHaveRun(vanillabarrow.ReasonTargetFailed, "")
}

func respondWith(status int) func(*vanillabarrow.Attempt) (*vanillabarrow.Response, error) {
	return func(a *vanillabarrow.Attempt) (*vanillabarrow.Response, error) {
		return &vanillabarrow.Response{Status: status, Target: a.Target.Name}, nil
	}
}

// refuseUnlessLate responds to late attempts and refuses others.
func refuseUnlessLate(a *vanillabarrow.Attempt) (*vanillabarrow.Response, error) {
	if a.Late {
		return respondWith(http.StatusOK)(a)
	}
	return refuseWith(vanillabarrow.ReasonOverloaded)(a)
}

func newDispatcher(g *fakeGates) (*dispatch.Dispatcher, *dispatch.Throttle) {
	s := &vanillabarrow.Snapshot{
		Services:    map[string]*vanillabarrow.Service{"desk": {Name: "desk", Timeout: time.Second}},
		Targets:     map[string]*vanillabarrow.Target{},
		VMs:         map[string]*vanillabarrow.VM{},
		DataCentres: map[string]*vanillabarrow.DataCentre{"a": {Name: "a"}},
	}
	for name := range g.handlers {
		s.Targets[name] = &vanillabarrow.Target{Name: name, Service: "desk", VM: name}
		s.VMs[name] = &vanillabarrow.VM{Name: name, DataCentre: "a", PeerAddress: name}
		s.Services["desk"].Targets = append(s.Services["desk"].Targets, name)
	}
	cfg := &config{}
	cfg.snapshot.Store(s)
	throttle := dispatch.NewThrottle()
	return dispatch.New(dispatch.Config{
		VM: "sender", DataCentre: "a", Configuration: cfg, Members: members{},
		Balancer: balance.New(vanillabarrow.BalancerCheapest), Retry: retry.New(retry.Config{Share: 0, Reserve: 3}),
		Forwarder: g, TargetLoads: dispatch.NewTargetLoads(), Throttle: throttle, DataCentreBreakers: dispatch.NewDataCentreBreakers(), RefusalCache: dispatch.NewRefusalCache(), GateAttempts: dispatch.NewGateAttempts(), ExpiredTargets: dispatch.NewExpiredTargets(),
		GateTokens: dispatch.NewGateTokens(), Scope: tally.NoopScope, Logger: slog.New(slog.DiscardHandler), NewID: func() string { return "id" }, QueryAfter: time.Second,
	}), throttle
}

// TestNextTarget checks when another target is tried, for requests with
// MaxAttempts set.
func TestNextTarget(t *testing.T) {
	overloaded := refuseWith(vanillabarrow.ReasonOverloaded)
	tests := map[string]struct {
		handlers   handlers
		idempotent bool
		// attempts is the expected number of attempts, 0 for any.
		attempts int
		status   int
		// verdict is that of the expected refusal, 0 for a response.
		verdict vanillabarrow.Verdict
	}{
		"one gate has a free slot":                 {handlers{"a": overloaded, "b": overloaded, "c": respondWith(200)}, false, 0, 200, 0},
		"no gate has a free slot":                  {handlers{"a": overloaded, "b": overloaded}, false, 3, 0, vanillabarrow.VerdictNotRun},
		"free slot for late requests":              {handlers{"a": refuseUnlessLate, "b": refuseUnlessLate}, false, 3, 200, 0},
		"response lost, not idempotent":            {handlers{"a": loseResponse, "b": loseResponse}, false, 1, 0, vanillabarrow.VerdictMayHaveRun},
		"response lost, idempotent":                {handlers{"a": loseResponse, "b": loseResponse, "c": loseResponse}, true, 2, 0, vanillabarrow.VerdictMayHaveRun},
		"targets shed":                             {handlers{"a": refuseWith(vanillabarrow.ReasonShed), "b": refuseWith(vanillabarrow.ReasonShed), "c": overloaded}, false, 0, 0, vanillabarrow.VerdictNotRun},
		"failure, not idempotent":                  {handlers{"a": respondWith(500), "b": respondWith(500)}, false, 1, 500, 0},
		"failure of all targets":                   {handlers{"a": respondWith(500), "b": respondWith(500), "c": respondWith(500)}, true, 2, 500, 0},
		"failure, and the next gate is overloaded": {handlers{"a": respondWith(500), "b": overloaded}, true, 0, 500, 0},
		"gateway timeout of the target":            {handlers{"a": respondWith(504), "b": respondWith(504)}, true, 1, 504, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := &fakeGates{handlers: tt.handlers}
				d, _ := newDispatcher(g)
				resp, err := d.Do(t.Context(), &vanillabarrow.Request{
					Service: "desk", Route: "r", MaxAttempts: 2, Idempotent: tt.idempotent, RetriesLeft: 5,
					Objective: time.Now().Add(400 * time.Millisecond),
				})
				if tt.attempts > 0 {
					require.Len(t, g.attempted, tt.attempts)
				}
				if tt.verdict != 0 {
					require.Equal(t, tt.verdict, vanillabarrow.AsRefusal(err).Verdict)
					return
				}
				require.NoError(t, err)
				require.Equal(t, tt.status, resp.Status)
			})
		})
	}
}

// TestRetryBudgetEnds checks that attempts that reached targets are charged to
// the retry budget of the service, and that none is retried once it is
// exhausted.
func TestRetryBudgetEnds(t *testing.T) {
	g := &fakeGates{handlers: map[string]func(*vanillabarrow.Attempt) (*vanillabarrow.Response, error){"a": loseResponse, "b": loseResponse}}
	d, _ := newDispatcher(g)
	for range 10 {
		_, err := d.Do(t.Context(), &vanillabarrow.Request{Service: "desk", Route: "r", MaxAttempts: 2, Idempotent: true, RetriesLeft: 5})
		require.Error(t, err)
	}
	// The budget starts with three retries. There are fewer attempts if targets
	// are ejected, which happens after three consecutive failures.
	require.LessOrEqual(t, len(g.attempted), 10+3)
}

// TestThrottle checks that requests of a failing route are shed, that other
// routes are not affected, and that the route recovers.
func TestThrottle(t *testing.T) {
	throttle := dispatch.NewThrottle()
	admitted := func(route string) int {
		n := 0
		for range 1000 {
			if throttle.Admit(&vanillabarrow.Request{Route: route}) == nil {
				n++
			}
		}
		return n
	}
	for range 20 {
		throttle.Observe("fails", true)
		throttle.Observe("works", false)
	}
	require.InDelta(t, 400, admitted("fails"), 80)
	require.Equal(t, 1000, admitted("works"))
	refusal := vanillabarrow.AsRefusal(func() error {
		for {
			if err := throttle.Admit(&vanillabarrow.Request{Route: "fails"}); err != nil {
				return err
			}
		}
	}())
	require.Equal(t, vanillabarrow.VerdictNotRun, refusal.Verdict)
	require.Positive(t, refusal.RetryAfter)
	for range 100 {
		throttle.Observe("fails", false)
	}
	require.Equal(t, 1000, admitted("fails"))
	require.Empty(t, throttle.AdmitShares())
}

// TestDataCentreBreakers checks when the circuit breaker of a data centre opens
// and when a trial request is allowed.
func TestDataCentreBreakers(t *testing.T) {
	tests := map[string]struct {
		failed   []string
		responds bool
		allowed  bool
	}{
		"one target":                   {[]string{"t1"}, false, true},
		"one target, repeatedly":       {[]string{"t1", "t1", "t1"}, false, true},
		"two targets":                  {[]string{"t1", "t2"}, false, false},
		"two targets, then a response": {[]string{"t1", "t2"}, true, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			breakers := dispatch.NewDataCentreBreakers()
			opened := breakers.Opened("b")
			for _, target := range tt.failed {
				breakers.RecordFailure("b", target, now)
			}
			if tt.responds {
				breakers.RecordResponse("b")
			}
			require.Equal(t, tt.allowed, breakers.Allow("b", now))
			require.True(t, breakers.Allow("c", now))
			if !tt.allowed {
				require.NotNil(t, opened)
				<-opened
				require.Nil(t, breakers.Opened("b"))
				require.Equal(t, []string{"b"}, breakers.OpenBreakers())
				require.True(t, breakers.Allow("b", now.Add(2*time.Second)), "a trial request is allowed")
			}
		})
	}
}

// hangingForwarder responds for the target "waits" once respond is closed.
type hangingForwarder struct {
	fakeGates
	started chan struct{}
	respond chan struct{}
}

func (h *hangingForwarder) Forward(ctx context.Context, a *vanillabarrow.Attempt) (*vanillabarrow.Response, error) {
	if a.Target.Name != "waits" {
		return h.fakeGates.Forward(ctx, a)
	}
	close(h.started)
	select {
	case <-h.respond:
		return respondWith(http.StatusOK)(a)
	case <-ctx.Done():
		return nil, vanillabarrow.MayHaveRun(vanillabarrow.ReasonCanceled, "")
	}
}

// TestFailuresDuringRequest checks the effect of failing connections to two
// targets on a request that waits for a third one in the same data centre.
// Refused connections, as from nodes that restart, must not abort it.
// Unreachable nodes abort it if the data centre is a remote one and the node goes on:
// a stopping node must not break off a request at which its target is at work.
func TestFailuresDuringRequest(t *testing.T) {
	tests := map[string]struct {
		own     string
		reason  vanillabarrow.Reason
		aborted bool
		// stopping is set if the node shuts down.
		stopping bool
	}{
		"refused in the own data centre":      {"a", vanillabarrow.ReasonConnectionFailed, false, false},
		"refused in a remote data centre":     {"b", vanillabarrow.ReasonConnectionFailed, false, false},
		"unreachable in the own data centre":  {"a", vanillabarrow.ReasonUnreachable, false, false},
		"unreachable in a remote data centre": {"b", vanillabarrow.ReasonUnreachable, true, false},
		"not reached by a delayed node":       {"b", vanillabarrow.ReasonNodeDelayed, false, false},
		"unreachable while the node stops":    {"b", vanillabarrow.ReasonUnreachable, false, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := &hangingForwarder{started: make(chan struct{}), respond: make(chan struct{})}
				h.handlers = map[string]func(*vanillabarrow.Attempt) (*vanillabarrow.Response, error){
					"waits": nil, "one": refuseWith(tt.reason), "two": refuseWith(tt.reason),
				}
				d, _ := newDispatcher(&h.fakeGates)
				d.Forwarder, d.DataCentre = h, tt.own
				snapshot := d.Configuration.Snapshot()
				start := func(targets ...string) *caller {
					c := &caller{d: d, done: make(chan error, 1)}
					snapshot.Services["desk"].Targets = targets
					go c.run(t.Context())
					return c
				}
				c := start("waits")
				<-h.started
				if tt.stopping {
					d.Drain()
				}
				require.Error(t, <-start("one").done)
				require.Error(t, <-start("two").done)
				synctest.Wait()
				if tt.aborted {
					require.Equal(t, []string{"a"}, d.DataCentreBreakers.OpenBreakers(), "the request that the breaker aborted does not close it")
				}
				close(h.respond)
				require.Equal(t, tt.aborted, <-c.done != nil)
			})
		})
	}
}

// TestBreakerStaysOpenWithoutResponse checks that a trial request that ends
// without any reaction of the node does not close the breaker of a data centre.
func TestBreakerStaysOpenWithoutResponse(t *testing.T) {
	tests := map[string]struct {
		reason vanillabarrow.Reason
		closed bool
	}{
		"deadline":    {vanillabarrow.ReasonDeadline, false},
		"canceled":    {vanillabarrow.ReasonCanceled, false},
		"unreachable": {vanillabarrow.ReasonUnreachable, false},
		"delayed":     {vanillabarrow.ReasonNodeDelayed, false},
		"refused":     {vanillabarrow.ReasonOverloaded, true},
		"reset":       {vanillabarrow.ReasonConnectionFailed, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := &fakeGates{handlers: map[string]func(*vanillabarrow.Attempt) (*vanillabarrow.Response, error){"one": refuseWith(tt.reason)}}
				d, _ := newDispatcher(g)
				d.DataCentre = "b"
				d.DataCentreBreakers.RecordFailure("a", "two", time.Now())
				d.DataCentreBreakers.RecordFailure("a", "three", time.Now())
				time.Sleep(5 * time.Second)
				_, err := d.Do(t.Context(), &vanillabarrow.Request{Service: "desk", Route: "r", MaxAttempts: 2})
				require.Error(t, err)
				require.Equal(t, tt.closed, len(d.DataCentreBreakers.OpenBreakers()) == 0)
			})
		})
	}
}

// TestEjectionEndsOnResponse checks that an ejected target is reinstated only
// if its trial request shows that it works: by a response or a refusal of its
// gate.
func TestEjectionEndsOnResponse(t *testing.T) {
	tests := map[string]struct {
		reason     vanillabarrow.Reason
		reinstated bool
	}{
		"deadline": {vanillabarrow.ReasonDeadline, false},
		"canceled": {vanillabarrow.ReasonCanceled, false},
		"failed":   {vanillabarrow.ReasonTargetFailed, false},
		"refused":  {vanillabarrow.ReasonOverloaded, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := &fakeGates{handlers: map[string]func(*vanillabarrow.Attempt) (*vanillabarrow.Response, error){"one": loseResponse}}
				d, _ := newDispatcher(g)
				do := func() {
					_, err := d.Do(t.Context(), &vanillabarrow.Request{Service: "desk", Route: "r", MaxAttempts: 1})
					require.Error(t, err)
				}
				for range 3 {
					do()
				}
				require.True(t, d.TargetLoads.State(time.Now())["one"].Ejected)
				g.handlers["one"] = refuseWith(tt.reason)
				time.Sleep(3 * time.Second)
				do()
				require.Equal(t, tt.reinstated, d.TargetLoads.State(time.Now())["one"].Failures == 0)
			})
		})
	}
}

// caller sends one idempotent request.
type caller struct {
	d    *dispatch.Dispatcher
	done chan error
}

func (c *caller) run(ctx context.Context) {
	_, err := c.d.Do(ctx, &vanillabarrow.Request{Service: "desk", Route: "r", MaxAttempts: 2, Idempotent: true, RetriesLeft: 5})
	c.done <- err
}
