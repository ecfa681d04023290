package dispatch_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/balance"
	"github.com/vanillabarrow/vanillabarrow/internal/dispatch"
	"github.com/vanillabarrow/vanillabarrow/internal/hedge"
	"github.com/vanillabarrow/vanillabarrow/internal/limit"
	"github.com/vanillabarrow/vanillabarrow/internal/random"
	"github.com/vanillabarrow/vanillabarrow/internal/retry"
)

const hedgeDelay = 50 * time.Millisecond

// fixedHedges hedges every request after hedgeDelay.
type fixedHedges struct{ denied bool }

func (fixedHedges) Observe(string)                     {}
func (fixedHedges) Record(string, time.Duration)       {}
func (fixedHedges) Delay(string) (time.Duration, bool) { return hedgeDelay, true }
func (f fixedHedges) Allow(string) bool                { return !f.denied }

// reply is what a simulated gate does with an attempt.
type reply struct {
	after  time.Duration
	status int
	reason vanillabarrow.Reason
}

// hedgeGates answers first attempts and hedges each in one way.
type hedgeGates struct {
	mu           sync.Mutex
	first, hedge reply
	attempts     []*vanillabarrow.Attempt
	canceled     int
}

func (g *hedgeGates) Forward(ctx context.Context, a *vanillabarrow.Attempt) (*vanillabarrow.Response, error) {
	g.mu.Lock()
	g.attempts = append(g.attempts, a)
	r := g.first
	if a.Hedge {
		r = g.hedge
	}
	g.mu.Unlock()
	sleep(ctx, r.after)
	if ctx.Err() != nil {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.canceled++
		return nil, vanillabarrow.MayHaveRun(vanillabarrow.ReasonTargetFailed, "")
	}
	if r.reason != "" {
		return nil, vanillabarrow.NotRun(r.reason, "")
	}
	return &vanillabarrow.Response{Status: r.status, Target: a.Target.Name}, nil
}

func (*hedgeGates) QueryAttempt(context.Context, *vanillabarrow.Attempt) (*vanillabarrow.AttemptReport, error) {
	return nil, errors.New("no report")
}

// hedgeSetup is one dispatcher with four targets near and two far.
type hedgeSetup struct {
	cfg      dispatch.Config
	snapshot *vanillabarrow.Snapshot
	gates    *hedgeGates
	scope    tally.TestScope
	request  *vanillabarrow.Request
}

func newHedgeSetup() *hedgeSetup {
	s := &hedgeSetup{
		snapshot: twoRegions(4, 2), scope: tally.NewTestScope("", nil),
		gates: &hedgeGates{first: reply{after: 300 * time.Millisecond, status: 200}, hedge: reply{after: 30 * time.Millisecond, status: 200}},
		request: &vanillabarrow.Request{
			ID: "q", Service: "desk", Route: "r", MaxAttempts: 2, Idempotent: true, RetriesLeft: 2, Regions: []string{"near"},
		},
	}
	cfg := &config{}
	cfg.snapshot.Store(s.snapshot)
	s.cfg = dispatch.Config{
		VM: "sender", DataCentre: "nearDC", Configuration: cfg, Members: members{}, Hedge: fixedHedges{}, HedgesRunning: hedge.NewRunning(),
		Balancer: balance.New(vanillabarrow.BalancerCheapest), Retry: retry.New(retry.Config{Reserve: 30}),
		Forwarder: s.gates, TargetLoads: dispatch.NewTargetLoads(), Throttle: dispatch.NewThrottle(),
		DataCentreBreakers: dispatch.NewDataCentreBreakers(), RefusalCache: dispatch.NewRefusalCache(),
		GateAttempts: dispatch.NewGateAttempts(), ExpiredTargets: dispatch.NewExpiredTargets(), GateTokens: dispatch.NewGateTokens(),
		Scope: s.scope, Logger: slog.New(slog.DiscardHandler), NewID: func() string { return "id" }, QueryAfter: 5 * time.Second,
	}
	return s
}

func (s *hedgeSetup) counter(name string) int {
	for key, c := range s.scope.Snapshot().Counters() {
		if strings.HasPrefix(key, "dispatch."+name) {
			return int(c.Value())
		}
	}
	return 0
}

// TestHedgeResults checks which response a hedged request returns and when, and that
// no request has more than two attempts or the same target twice.
func TestHedgeResults(t *testing.T) {
	tests := map[string]struct {
		first, hedge reply
		// took is the expected time until the response, canceled the number of
		// attempts that are canceled.
		took     time.Duration
		status   int
		canceled int
		event    string
	}{
		"hedge wins":                  {reply{300 * time.Millisecond, 200, ""}, reply{30 * time.Millisecond, 200, ""}, 80 * time.Millisecond, 200, 1, "won"},
		"first wins":                  {reply{70 * time.Millisecond, 200, ""}, reply{30 * time.Millisecond, 200, ""}, 70 * time.Millisecond, 200, 1, "lost"},
		"first is fast":               {reply{40 * time.Millisecond, 200, ""}, reply{30 * time.Millisecond, 200, ""}, 40 * time.Millisecond, 200, 0, ""},
		"hedge refused":               {reply{300 * time.Millisecond, 200, ""}, reply{2 * time.Millisecond, 0, vanillabarrow.ReasonOverloaded}, 300 * time.Millisecond, 200, 0, "refused"},
		"hedge fails":                 {reply{300 * time.Millisecond, 200, ""}, reply{2 * time.Millisecond, 500, ""}, 300 * time.Millisecond, 200, 0, "failed"},
		"first refused, hedge runs":   {reply{60 * time.Millisecond, 0, vanillabarrow.ReasonShed}, reply{30 * time.Millisecond, 200, ""}, 80 * time.Millisecond, 200, 0, "won"},
		"first fails, hedge runs":     {reply{60 * time.Millisecond, 500, ""}, reply{30 * time.Millisecond, 200, ""}, 80 * time.Millisecond, 200, 0, "won"},
		"both fail":                   {reply{60 * time.Millisecond, 500, ""}, reply{30 * time.Millisecond, 503, ""}, 80 * time.Millisecond, 503, 0, "failed"},
		"both are shed":               {reply{60 * time.Millisecond, 0, vanillabarrow.ReasonShed}, reply{30 * time.Millisecond, 0, vanillabarrow.ReasonShed}, 80 * time.Millisecond, 0, 0, "failed"},
		"first fails before the time": {reply{10 * time.Millisecond, 500, ""}, reply{}, 20 * time.Millisecond, 500, 0, ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newHedgeSetup()
				s.gates.first, s.gates.hedge = tt.first, tt.hedge
				start := time.Now()
				resp, err := dispatch.New(s.cfg).Do(t.Context(), s.request)
				took := time.Since(start)
				synctest.Wait()
				if tt.status == 0 {
					require.Equal(t, vanillabarrow.ReasonShed, vanillabarrow.AsRefusal(err).Reason)
				} else {
					require.NoError(t, err)
					require.Equal(t, tt.status, resp.Status)
					require.Len(t, s.gates.attempts, resp.Attempts)
				}
				require.Equal(t, tt.took, took)
				require.Equal(t, tt.canceled, s.gates.canceled)
				require.Equal(t, tt.canceled, s.counter("attemptsCanceled"))
				require.LessOrEqual(t, len(s.gates.attempts), 2)
				if tt.event != "" {
					require.NotEqual(t, s.gates.attempts[0].Target, s.gates.attempts[1].Target)
					require.True(t, s.gates.attempts[1].Hedge)
					require.Equal(t, 1, s.counter("hedges+event="+tt.event))
					require.Equal(t, 1, s.counter("retries"))
				}
				for target, state := range s.cfg.TargetLoads.State(time.Now()) {
					require.Zero(t, state.InFlight, target)
				}
			})
		})
	}
}

// TestNoHedge guards against a hedge where one must not be sent.
func TestNoHedge(t *testing.T) {
	report := func(s *hedgeSetup, load vanillabarrow.Load) {
		for name := range s.snapshot.Targets {
			s.cfg.TargetLoads.Report(name, load, time.Now())
		}
	}
	tests := map[string]func(s *hedgeSetup){
		"not idempotent":      func(s *hedgeSetup) { s.request.Idempotent = false },
		"idempotency key":     func(s *hedgeSetup) { s.request.Key = "k" },
		"streamed body":       func(s *hedgeSetup) { s.request.Stream = strings.NewReader("body") },
		"large body":          func(s *hedgeSetup) { s.request.Body = make([]byte, 20<<10) },
		"one attempt":         func(s *hedgeSetup) { s.request.MaxAttempts = 1 },
		"no retries left":     func(s *hedgeSetup) { s.request.MaxAttempts, s.request.RetriesLeft = 0, 0 },
		"off":                 func(s *hedgeSetup) { s.cfg.Hedge = nil },
		"share used up":       func(s *hedgeSetup) { s.cfg.Hedge = fixedHedges{denied: true} },
		"retry budget":        func(s *hedgeSetup) { s.cfg.Retry = retry.New(retry.Config{}) },
		"little time left":    func(s *hedgeSetup) { s.request.Timeout = 90 * time.Millisecond },
		"own hedge runs":      func(s *hedgeSetup) { s.cfg.HedgesRunning.Begin() },
		"no other target":     func(s *hedgeSetup) { s.snapshot.Services["desk"].Targets = []string{"near0", "far0", "far1"} },
		"throttled":           func(s *hedgeSetup) { s.cfg.Throttle.Observe("r", true) },
		"gates report a wait": func(s *hedgeSetup) { report(s, vanillabarrow.Load{InFlight: 3, Limit: 4, Wait: time.Millisecond}) },
		"gates are full":      func(s *hedgeSetup) { report(s, vanillabarrow.Load{InFlight: 4, Limit: 4}) },
		"cold targets": func(s *hedgeSetup) {
			for _, target := range s.snapshot.Targets {
				target.ColdUntil = time.Now().Add(time.Minute)
			}
		},
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				// The throttle refuses a share of the requests at random.
				defer random.Seed(1)()
				s := newHedgeSetup()
				change(s)
				_, _ = dispatch.New(s.cfg).Do(t.Context(), s.request)
				synctest.Wait()
				require.Len(t, s.gates.attempts, 1)
				require.False(t, s.gates.attempts[0].Hedge)
			})
		})
	}
}

// TestHedgeLosersAreNotEjected guards against the ejection of targets whose attempts
// were canceled because a hedge won, also if the cancellation looks like a failure.
func TestHedgeLosersAreNotEjected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newHedgeSetup()
		d := dispatch.New(s.cfg)
		for range 30 {
			_, err := d.Do(t.Context(), s.request)
			require.NoError(t, err)
			synctest.Wait()
		}
		require.Equal(t, 30, s.counter("hedges+event=won"))
		for target, state := range s.cfg.TargetLoads.State(time.Now()) {
			require.Zero(t, state.Failures, target)
		}
	})
}

// TestRefusedHedgePauses guards against hedges that are sent on while gates refuse
// them, and against a pause without end.
func TestRefusedHedgePauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newHedgeSetup()
		s.gates.hedge = reply{reason: vanillabarrow.ReasonOverloaded}
		d := dispatch.New(s.cfg)
		for _, want := range []int{1, 1, 2} {
			_, err := d.Do(t.Context(), s.request)
			require.NoError(t, err)
			require.Equal(t, want, s.counter("hedges+event=sent"))
		}
	})
}

// queueingGates runs attempts at targets behind limiters, each of which takes work
// for a request, and five times as long for one in ten.
type queueingGates struct {
	limiters map[string]*limit.Ordered
	loads    *dispatch.TargetLoads
	counts   *attemptCounts
}

type attemptCounts struct {
	mu                            sync.Mutex
	random                        *rand.Rand
	firsts, hedges, admittedHedge int
}

func (g *queueingGates) Forward(ctx context.Context, a *vanillabarrow.Attempt) (*vanillabarrow.Response, error) {
	l, c := g.limiters[a.Target.Name], g.counts
	defer func() { g.loads.Report(a.Target.Name, l.Load(0), time.Now()) }()
	c.mu.Lock()
	c.firsts++
	slow := c.random.IntN(10) == 0
	if a.Hedge {
		c.hedges, c.firsts = c.hedges+1, c.firsts-1
	}
	c.mu.Unlock()
	admission := vanillabarrow.Admission{Class: "r", Deadline: a.Deadline, Hedge: a.Hedge}
	if err := l.Acquire(ctx, admission); err != nil {
		return nil, err
	}
	work := 100 * time.Millisecond
	if a.Hedge {
		c.mu.Lock()
		c.admittedHedge++
		c.mu.Unlock()
	} else if slow {
		work *= 5
	}
	start := time.Now()
	sleep(ctx, work)
	if ctx.Err() != nil {
		l.Release(admission, vanillabarrow.SignalNeutral, time.Since(start))
		return nil, vanillabarrow.MayHaveRun(vanillabarrow.ReasonCanceled, "")
	}
	l.Release(admission, vanillabarrow.SignalOK, work)
	return &vanillabarrow.Response{Status: 200, Target: a.Target.Name}, nil
}

func (*queueingGates) QueryAttempt(context.Context, *vanillabarrow.Attempt) (*vanillabarrow.AttemptReport, error) {
	return nil, errors.New("no report")
}

// TestHedgesOfManyNodes runs 195 entry nodes against eight targets, whose capacity is
// about 570 requests a second. It guards against more hedges than the share, and
// against hedges that run while the targets are full.
func TestHedgesOfManyNodes(t *testing.T) {
	tests := map[string]struct {
		// interval is the time between the requests of one node, and requests their
		// number.
		interval time.Duration
		requests int
		// minimum and maximum bound the share of hedges that targets run.
		minimum, maximum float64
	}{
		"normal load": {time.Second, 60, 0.01, 0.05},
		"overload":    {150 * time.Millisecond, 45, 0, 0.002},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newHedgeSetup()
				*s.snapshot = *twoRegions(8, 0)
				limiters := map[string]*limit.Ordered{}
				for name := range s.snapshot.Targets {
					limiters[name] = limit.NewOrdered(10)
					limiters[name].Configure(&vanillabarrow.Target{Name: name, Slots: 10}, nil, time.Now())
					limiters[name].UpdateHealth(vanillabarrow.Health{OK: true}, time.Now())
				}
				counts := &attemptCounts{random: rand.New(rand.NewPCG(1, 1))}
				var wg sync.WaitGroup
				for i := range 195 {
					cfg := s.cfg
					cfg.VM, cfg.Scope = fmt.Sprint("sender", i), tally.NoopScope
					cfg.TargetLoads = dispatch.NewTargetLoads()
					cfg.Forwarder = &queueingGates{limiters, cfg.TargetLoads, counts}
					cfg.Retry = retry.New(retry.DefaultConfig())
					cfg.Hedge = hedge.New(hedge.Config{Share: 0.05, Quantile: 0.85, MinDelay: 10 * time.Millisecond})
					node := &entryNode{dispatch.New(cfg), tt.interval, tt.interval * time.Duration(i) / 195, tt.requests, &wg}
					wg.Add(1)
					go node.run(t.Context())
				}
				wg.Wait()
				share := float64(counts.admittedHedge) / float64(counts.firsts)
				t.Logf("%d first attempts, %d hedges, %d of them admitted", counts.firsts, counts.hedges, counts.admittedHedge)
				require.GreaterOrEqual(t, share, tt.minimum)
				require.LessOrEqual(t, share, tt.maximum)
				require.LessOrEqual(t, float64(counts.hedges), 0.05*float64(counts.firsts))
			})
		})
	}
}

// entryNode sends requests at an interval.
type entryNode struct {
	dispatcher *dispatch.Dispatcher
	interval   time.Duration
	offset     time.Duration
	requests   int
	wg         *sync.WaitGroup
}

func (n *entryNode) run(ctx context.Context) {
	defer n.wg.Done()
	time.Sleep(n.offset)
	for range n.requests {
		n.wg.Go(func() {
			_, _ = n.dispatcher.Do(ctx, &vanillabarrow.Request{Service: "desk", Route: "r", MaxAttempts: 2, Idempotent: true, Timeout: 2 * time.Second})
		})
		time.Sleep(n.interval)
	}
}
