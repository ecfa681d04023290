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

// gates answers attempts by target as the test says and keeps their order.
type gates struct {
	mu    sync.Mutex
	ends  map[string]func(a *vanillabarrow.Attempt) (*vanillabarrow.Response, error)
	tried []string
	late  []bool
}

func (g *gates) Forward(_ context.Context, a *vanillabarrow.Attempt) (*vanillabarrow.Response, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tried = append(g.tried, a.Target.Name)
	g.late = append(g.late, a.Late)
	return g.ends[a.Target.Name](a)
}

func (*gates) QueryAttempt(context.Context, *vanillabarrow.Attempt) (*vanillabarrow.AttemptReport, error) {
	return &vanillabarrow.AttemptReport{State: vanillabarrow.AttemptUnknown}, nil
}

func refusing(reason vanillabarrow.Reason) func(*vanillabarrow.Attempt) (*vanillabarrow.Response, error) {
	return func(*vanillabarrow.Attempt) (*vanillabarrow.Response, error) {
		r := vanillabarrow.NotRun(reason, "")
		r.RetryAfter = 70 * time.Millisecond
		return nil, r
	}
}

func losing(*vanillabarrow.Attempt) (*vanillabarrow.Response, error) {
	return nil, vanillabarrow.MayHaveRun(vanillabarrow.ReasonTargetFailed, "")
}

func answering(status int) func(*vanillabarrow.Attempt) (*vanillabarrow.Response, error) {
	return func(a *vanillabarrow.Attempt) (*vanillabarrow.Response, error) {
		return &vanillabarrow.Response{Status: status, Target: a.Target.Name}, nil
	}
}

// full refuses while the objective counts.
func full(a *vanillabarrow.Attempt) (*vanillabarrow.Response, error) {
	if a.Late {
		return answering(http.StatusOK)(a)
	}
	return refusing(vanillabarrow.ReasonOverloaded)(a)
}

func entry(g *gates) (*dispatch.Dispatcher, *dispatch.Throttle) {
	s := &vanillabarrow.Snapshot{
		Services:    map[string]*vanillabarrow.Service{"desk": {Name: "desk", Timeout: time.Second}},
		Targets:     map[string]*vanillabarrow.Target{},
		VMs:         map[string]*vanillabarrow.VM{},
		DataCentres: map[string]*vanillabarrow.DataCentre{"a": {Name: "a"}},
	}
	for name := range g.ends {
		s.Targets[name] = &vanillabarrow.Target{Name: name, Service: "desk", VM: name}
		s.VMs[name] = &vanillabarrow.VM{Name: name, DataCentre: "a", PeerAddress: name}
		s.Services["desk"].Targets = append(s.Services["desk"].Targets, name)
	}
	cfg := &config{}
	cfg.snapshot.Store(s)
	throttle := dispatch.NewThrottle()
	return dispatch.New(dispatch.Config{
		VM: "entry", DataCentre: "a", Configuration: cfg, Members: members{},
		Balancer: balance.New(vanillabarrow.BalancerCheapest), Retry: retry.New(retry.Config{Share: 0, Reserve: 3}),
		Forwarder: g, TargetLoads: dispatch.NewTargetLoads(), Throttle: throttle, DataCentreBreakers: dispatch.NewDataCentreBreakers(), RefusalCache: dispatch.NewRefusalCache(), ExpiredTargets: dispatch.NewExpiredTargets(),
		GateTokens: dispatch.NewGateTokens(), Scope: tally.NoopScope, Logger: slog.New(slog.DiscardHandler), NewID: func() string { return "id" }, QueryAfter: time.Second,
	}), throttle
}

// TestNextTarget checks who is asked after what, for routes that bound the
// targets that a request may reach.
func TestNextTarget(t *testing.T) {
	overloaded := refusing(vanillabarrow.ReasonOverloaded)
	type ends = map[string]func(*vanillabarrow.Attempt) (*vanillabarrow.Response, error)
	tests := map[string]struct {
		ends       ends
		idempotent bool
		tries      int
		status     int
		verdict    vanillabarrow.Verdict
	}{
		"one gate has room":               {ends{"a": overloaded, "b": overloaded, "c": answering(200)}, false, 0, 200, 0},
		"no gate has room":                {ends{"a": overloaded, "b": overloaded}, false, 3, 0, vanillabarrow.VerdictNotRun},
		"room when late":                  {ends{"a": full, "b": full}, false, 3, 200, 0},
		"lost, runs once":                 {ends{"a": losing, "b": losing}, false, 1, 0, vanillabarrow.VerdictMayHaveRun},
		"lost, may run again":             {ends{"a": losing, "b": losing, "c": losing}, true, 2, 0, vanillabarrow.VerdictMayHaveRun},
		"targets shed":                    {ends{"a": refusing(vanillabarrow.ReasonShed), "b": refusing(vanillabarrow.ReasonShed), "c": overloaded}, false, 0, 0, vanillabarrow.VerdictNotRun},
		"fails, runs once":                {ends{"a": answering(500), "b": answering(500)}, false, 1, 500, 0},
		"fails everywhere":                {ends{"a": answering(500), "b": answering(500), "c": answering(500)}, true, 2, 500, 0},
		"fails, and the next has no room": {ends{"a": answering(500), "b": overloaded}, true, 0, 500, 0},
		"target's own deadline":           {ends{"a": answering(504), "b": answering(504)}, true, 1, 504, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := &gates{ends: tt.ends}
				d, _ := entry(g)
				answer, err := d.Do(t.Context(), &vanillabarrow.Request{
					Service: "desk", Route: "r", MaxAttempts: 2, Idempotent: tt.idempotent, RetriesLeft: 5,
					Objective: time.Now().Add(400 * time.Millisecond),
				})
				if tt.tries > 0 {
					require.Len(t, g.tried, tt.tries)
				}
				if tt.verdict != 0 {
					require.Equal(t, tt.verdict, vanillabarrow.AsRefusal(err).Verdict)
					return
				}
				require.NoError(t, err)
				require.Equal(t, tt.status, answer.Status)
			})
		})
	}
}

// TestRetryBudgetEnds checks that only what reached targets is charged, and
// that nothing is repeated once the budget of the service is used up.
func TestRetryBudgetEnds(t *testing.T) {
	g := &gates{ends: map[string]func(*vanillabarrow.Attempt) (*vanillabarrow.Response, error){"a": losing, "b": losing}}
	d, _ := entry(g)
	for range 10 {
		_, err := d.Do(t.Context(), &vanillabarrow.Request{Service: "desk", Route: "r", MaxAttempts: 2, Idempotent: true, RetriesLeft: 5})
		require.Error(t, err)
	}
	// After three failures in a row a target is tried with single requests.
	require.LessOrEqual(t, len(g.tried), 10+3)
}

// TestThrottle checks that a route that fails is shed at the entry, another one
// is not, and that it recovers.
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

// TestAreas checks when a data centre is set aside and when it is tried.
func TestAreas(t *testing.T) {
	tests := map[string]struct {
		failed []string
		heard  bool
		open   bool
	}{
		"one target":              {[]string{"t1"}, false, true},
		"one target, repeatedly":  {[]string{"t1", "t1", "t1"}, false, true},
		"two targets":             {[]string{"t1", "t2"}, false, false},
		"two targets, then heard": {[]string{"t1", "t2"}, true, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			areas := dispatch.NewDataCentreBreakers()
			lost := areas.Opened("b")
			for _, target := range tt.failed {
				areas.RecordFailure("b", target, now)
			}
			if tt.heard {
				areas.RecordResponse("b")
			}
			require.Equal(t, tt.open, areas.Allow("b", now))
			require.True(t, areas.Allow("c", now))
			if !tt.open {
				require.NotNil(t, lost)
				<-lost
				require.Nil(t, areas.Opened("b"))
				require.Equal(t, []string{"b"}, areas.Unavailable())
				require.True(t, areas.Allow("b", now.Add(2*time.Second)), "it is tried again")
			}
		})
	}
}

// hanging answers when the test says.
type hanging struct {
	gates
	begun  chan struct{}
	answer chan struct{}
}

func (h *hanging) Forward(ctx context.Context, a *vanillabarrow.Attempt) (*vanillabarrow.Response, error) {
	if a.Target.Name != "waits" {
		return h.gates.Forward(ctx, a)
	}
	close(h.begun)
	select {
	case <-h.answer:
		return answering(http.StatusOK)(a)
	case <-ctx.Done():
		return nil, vanillabarrow.MayHaveRun(vanillabarrow.ReasonCanceled, "")
	}
}

// TestOthersFailWhileOneWaits lets connections to two other targets fail while
// a request waits at a third of the same data centre. Refused connections, as of
// nodes that restart, must not take it from its target; silence does when the
// data centre is another one.
func TestOthersFailWhileOneWaits(t *testing.T) {
	tests := map[string]struct {
		own    string
		reason vanillabarrow.Reason
		moved  bool
	}{
		"refused in the own data centre": {"a", vanillabarrow.ReasonConnectionFailed, false},
		"refused elsewhere":              {"b", vanillabarrow.ReasonConnectionFailed, false},
		"silent in the own data centre":  {"a", vanillabarrow.ReasonUnreachable, false},
		"silent elsewhere":               {"b", vanillabarrow.ReasonUnreachable, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := &hanging{begun: make(chan struct{}), answer: make(chan struct{})}
				h.ends = map[string]func(*vanillabarrow.Attempt) (*vanillabarrow.Response, error){
					"waits": nil, "one": refusing(tt.reason), "two": refusing(tt.reason),
				}
				d, _ := entry(&h.gates)
				d.Forwarder, d.DataCentre = h, tt.own
				snapshot := d.Configuration.Snapshot()
				ask := func(targets ...string) *caller {
					c := &caller{d: d, done: make(chan error, 1)}
					snapshot.Services["desk"].Targets = targets
					go c.run(t.Context())
					return c
				}
				c := ask("waits")
				<-h.begun
				require.Error(t, <-ask("one").done)
				require.Error(t, <-ask("two").done)
				synctest.Wait()
				if tt.moved {
					require.Equal(t, []string{"a"}, d.DataCentreBreakers.Unavailable(), "what ended with the data centre does not bring it back")
				}
				close(h.answer)
				require.Equal(t, tt.moved, <-c.done != nil)
			})
		})
	}
}

// TestSilenceIsNotHeard lets a request to a data centre that was set aside pass
// its deadline without an answer: the data centre stays set aside.
func TestSilenceIsNotHeard(t *testing.T) {
	tests := map[string]struct {
		reason vanillabarrow.Reason
		back   bool
	}{
		"deadline":    {vanillabarrow.ReasonDeadline, false},
		"canceled":    {vanillabarrow.ReasonCanceled, false},
		"unreachable": {vanillabarrow.ReasonUnreachable, false},
		"refused":     {vanillabarrow.ReasonOverloaded, true},
		"reset":       {vanillabarrow.ReasonConnectionFailed, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := &gates{ends: map[string]func(*vanillabarrow.Attempt) (*vanillabarrow.Response, error){"one": refusing(tt.reason)}}
				d, _ := entry(g)
				d.DataCentre = "b"
				d.DataCentreBreakers.RecordFailure("a", "two", time.Now())
				d.DataCentreBreakers.RecordFailure("a", "three", time.Now())
				time.Sleep(5 * time.Second)
				_, err := d.Do(t.Context(), &vanillabarrow.Request{Service: "desk", Route: "r", MaxAttempts: 2})
				require.Error(t, err)
				require.Equal(t, tt.back, len(d.DataCentreBreakers.Unavailable()) == 0)
			})
		})
	}
}

// TestSilenceBringsNoTargetBack sets a target aside and lets its next trial end
// in a way that the test says: only a reaction brings it back.
func TestSilenceBringsNoTargetBack(t *testing.T) {
	tests := map[string]struct {
		reason vanillabarrow.Reason
		back   bool
	}{
		"deadline": {vanillabarrow.ReasonDeadline, false},
		"canceled": {vanillabarrow.ReasonCanceled, false},
		"failed":   {vanillabarrow.ReasonTargetFailed, false},
		"refused":  {vanillabarrow.ReasonOverloaded, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := &gates{ends: map[string]func(*vanillabarrow.Attempt) (*vanillabarrow.Response, error){"one": losing}}
				d, _ := entry(g)
				do := func() {
					_, err := d.Do(t.Context(), &vanillabarrow.Request{Service: "desk", Route: "r", MaxAttempts: 1})
					require.Error(t, err)
				}
				for range 3 {
					do()
				}
				require.True(t, d.TargetLoads.State(time.Now())["one"].Ejected)
				g.ends["one"] = refusing(tt.reason)
				time.Sleep(3 * time.Second)
				do()
				require.Equal(t, tt.back, d.TargetLoads.State(time.Now())["one"].Failures == 0)
			})
		})
	}
}

// caller sends one request that may run more than once.
type caller struct {
	d    *dispatch.Dispatcher
	done chan error
}

func (c *caller) run(ctx context.Context) {
	_, err := c.d.Do(ctx, &vanillabarrow.Request{Service: "desk", Route: "r", MaxAttempts: 2, Idempotent: true, RetriesLeft: 5})
	c.done <- err
}
