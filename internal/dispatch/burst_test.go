package dispatch_test

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/balance"
	"github.com/vanillabarrow/vanillabarrow/internal/dispatch"
	"github.com/vanillabarrow/vanillabarrow/internal/limit"
	"github.com/vanillabarrow/vanillabarrow/internal/retry"
)

const (
	burstSlots = 9
	// burstNodes is the number of nodes for which the rates of burstKind hold.
	burstNodes  = 40
	burstLoad   = 1.8
	burstStart  = 3 * time.Second
	burstEnd    = 6 * time.Second
	burstLength = 12 * time.Second
	// recoveryTime is the time after the burst within which callers have to get
	// what they got before it.
	recoveryTime = 3 * time.Second
	// messageCost is the time for which sending or receiving one attempt keeps
	// the processor of a node busy that has a sixth of a core.
	messageCost = 2 * time.Millisecond
)

// burstKind is one kind of request of a day with a burst. Reads call the desk
// while they run.
type burstKind struct {
	name, service             string
	perSecond                 float64
	priority, retries         int
	work, objective, deadline time.Duration
	calls                     float64
}

var (
	burstRead   = burstKind{name: "read", service: "catalog", perSecond: 700, priority: 2, retries: 2, work: 150 * time.Millisecond, objective: 500 * time.Millisecond, deadline: 3 * time.Second, calls: 0.7}
	burstOrder  = burstKind{name: "order", service: "desk", perSecond: 350, priority: 1, retries: 2, work: 200 * time.Millisecond, objective: 800 * time.Millisecond, deadline: 5 * time.Second}
	burstLookup = burstKind{name: "lookup", service: "desk", work: 38 * time.Millisecond, objective: 150 * time.Millisecond, deadline: 500 * time.Millisecond}
)

// processor is a processor that handles one message at a time.
type processor struct {
	mu     sync.Mutex
	freeAt time.Time
}

// use waits until the processor has handled a message.
func (p *processor) use(cost time.Duration) {
	p.mu.Lock()
	if now := time.Now(); p.freeAt.Before(now) {
		p.freeAt = now
	}
	p.freeAt = p.freeAt.Add(cost)
	wait := time.Until(p.freeAt)
	p.mu.Unlock()
	time.Sleep(wait)
}

// burstNode is a node with its target. It forwards attempts to other nodes.
type burstNode struct {
	fleet      *burstFleet
	cpu        processor
	gate       *limit.Ordered
	slowdown   float64
	loads      *dispatch.TargetLoads
	dispatcher *dispatch.Dispatcher
}

// burstFleet holds the nodes and the outcomes of the requests of callers.
type burstFleet struct {
	nodes   map[string]*burstNode
	mu      sync.Mutex
	rng     *rand.Rand
	started time.Time
	// asked and onTime count the requests, and those served within their
	// objective, by the second of the first attempt.
	asked, onTime [burstLength / time.Second]float64
	// attempts counts the attempts between nodes, sent the requests and nested
	// calls of callers.
	attempts, sent int
}

func (f *burstFleet) random() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.Float64()
}

func (f *burstFleet) count(n *int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	*n++
}

// Forward implements vanillabarrow.Forwarder.
func (n *burstNode) Forward(ctx context.Context, a *vanillabarrow.Attempt) (*vanillabarrow.Response, error) {
	n.fleet.count(&n.fleet.attempts)
	n.cpu.use(messageCost)
	target := n.fleet.nodes[a.Target.Name]
	target.cpu.use(messageCost)
	defer func() { n.loads.Report(a.Target.Name, target.gate.Load(a.Request.Priority), time.Now()) }()
	return target.run(ctx, a)
}

// QueryAttempt implements vanillabarrow.Forwarder.
func (*burstNode) QueryAttempt(context.Context, *vanillabarrow.Attempt) (*vanillabarrow.AttemptReport, error) {
	return &vanillabarrow.AttemptReport{State: vanillabarrow.AttemptRunning}, nil
}

// run admits an attempt and runs it at the node's target.
func (n *burstNode) run(ctx context.Context, a *vanillabarrow.Attempt) (*vanillabarrow.Response, error) {
	admission := vanillabarrow.Admission{
		Class: a.Request.Route, Priority: a.Request.Priority, Objective: a.Request.Objective, Deadline: a.Deadline, Late: a.Late,
	}
	ctx, cancel := context.WithDeadline(ctx, a.Deadline)
	defer cancel()
	if err := n.gate.Acquire(ctx, admission); err != nil {
		return nil, err
	}
	began := time.Now()
	response := &vanillabarrow.Response{Status: 200, Target: a.Target.Name}
	signal := vanillabarrow.SignalOK
	if a.Request.Route == burstRead.name && n.fleet.random() < burstRead.calls {
		if _, err := n.send(ctx, burstLookup); err != nil {
			response.Status, signal = 500, vanillabarrow.SignalFailed
		}
	}
	// The caller passes the work in nanoseconds as the size of the request.
	work := time.Duration(float64(a.Request.Size) * n.slowdown)
	if response.Status == 500 {
		work = 0
	}
	select {
	case <-time.After(work):
		n.gate.Release(admission, signal, time.Since(began))
		return response, nil
	case <-ctx.Done():
		n.gate.Release(admission, vanillabarrow.SignalTimeout, time.Since(began))
		return nil, vanillabarrow.MayHaveRun(vanillabarrow.ReasonDeadline, "")
	}
}

// send sends a request of the kind by this node.
func (n *burstNode) send(ctx context.Context, kind burstKind) (*vanillabarrow.Response, error) {
	n.fleet.count(&n.fleet.sent)
	n.cpu.use(messageCost)
	work := time.Duration(float64(kind.work) * (0.5 + n.fleet.random()))
	ctx, cancel := context.WithTimeout(ctx, kind.deadline)
	defer cancel()
	return n.dispatcher.Do(ctx, &vanillabarrow.Request{
		Service: kind.service, Route: kind.name, MaxAttempts: 2, Idempotent: kind.name != burstOrder.name, Priority: kind.priority,
		Objective: time.Now().Add(kind.objective), Timeout: kind.deadline, Size: int64(work),
	})
}

// burstCaller sends one request and repeats it after a refusal or failure.
type burstCaller struct {
	node *burstNode
	kind burstKind
}

func (c *burstCaller) run(ctx context.Context) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, c.kind.deadline)
	defer cancel()
	served := false
	for try := 0; try <= c.kind.retries && ctx.Err() == nil && !served; try++ {
		response, err := c.node.send(ctx, c.kind)
		served = err == nil && response.Status == 200
		if err == nil || try == c.kind.retries {
			continue
		}
		r := vanillabarrow.AsRefusal(err)
		if r.Verdict != vanillabarrow.VerdictNotRun && c.kind.name == burstOrder.name {
			break
		}
		deadline, _ := ctx.Deadline()
		time.Sleep(min(r.RetryAfter, time.Until(deadline)/3))
	}
	f := c.node.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	second := int(began.Sub(f.started) / time.Second)
	f.asked[second]++
	if served && time.Since(began) <= c.kind.objective {
		f.onTime[second]++
	}
}

// newBurstFleet returns nodes for the targets of both services. One target in
// seven is slow.
func newBurstFleet(catalog, desk int) *burstFleet {
	f := &burstFleet{nodes: map[string]*burstNode{}, rng: rand.New(rand.NewPCG(1, 2)), started: time.Now()}
	s := &vanillabarrow.Snapshot{
		Services: map[string]*vanillabarrow.Service{
			"catalog": {Name: "catalog", Timeout: 3 * time.Second}, "desk": {Name: "desk", Timeout: 5 * time.Second},
		},
		Targets: map[string]*vanillabarrow.Target{}, VMs: map[string]*vanillabarrow.VM{},
		DataCentres: map[string]*vanillabarrow.DataCentre{"a": {Name: "a"}},
	}
	cfg := &config{}
	for i := range catalog + desk {
		name, service := fmt.Sprint("t", i), "catalog"
		if i >= catalog {
			service = "desk"
		}
		s.Targets[name] = &vanillabarrow.Target{Name: name, Service: service, VM: name, Slots: burstSlots}
		s.VMs[name] = &vanillabarrow.VM{Name: name, DataCentre: "a", PeerAddress: name}
		s.Services[service].Targets = append(s.Services[service].Targets, name)
		n := &burstNode{fleet: f, gate: limit.NewOrdered(burstSlots), slowdown: 1, loads: dispatch.NewTargetLoads()}
		n.gate.UpdateHealth(vanillabarrow.Health{OK: true}, time.Now())
		if i%7 == 3 {
			n.slowdown = 2
		}
		n.dispatcher = dispatch.New(dispatch.Config{
			VM: name, DataCentre: "a", Configuration: cfg, Members: members{},
			Balancer: balance.New(vanillabarrow.BalancerCheapest), Retry: retry.New(retry.DefaultConfig()), Forwarder: n,
			TargetLoads: n.loads, Throttle: dispatch.NewThrottle(), DataCentreBreakers: dispatch.NewDataCentreBreakers(), RefusalCache: dispatch.NewRefusalCache(), GateAttempts: dispatch.NewGateAttempts(),
			ExpiredTargets: dispatch.NewExpiredTargets(), GateTokens: dispatch.NewGateTokens(), Scope: tally.NoopScope, Logger: slog.New(slog.DiscardHandler),
			NewID: func() string { return "id" }, QueryAfter: time.Minute,
		})
		f.nodes[name] = n
	}
	cfg.snapshot.Store(s)
	return f
}

// play sends the load, with the burst, and waits for the outcomes.
func (f *burstFleet) play(ctx context.Context) {
	var wg sync.WaitGroup
	for _, kind := range []burstKind{burstRead, burstOrder} {
		wg.Go(func() {
			for time.Since(f.started) < burstLength {
				rate := kind.perSecond * float64(len(f.nodes)) / burstNodes
				if at := time.Since(f.started); at >= burstStart && at < burstEnd {
					rate *= burstLoad
				}
				f.mu.Lock()
				gap, node := f.rng.ExpFloat64()/rate, fmt.Sprint("t", f.rng.IntN(len(f.nodes)))
				f.mu.Unlock()
				time.Sleep(time.Duration(gap * float64(time.Second)))
				if time.Since(f.started) >= burstLength {
					return
				}
				c := &burstCaller{node: f.nodes[node], kind: kind}
				wg.Go(func() { c.run(ctx) })
			}
		})
	}
	wg.Wait()
}

// share returns the share of requests served within their objective among
// those first sent in the given time.
func (f *burstFleet) share(from, to time.Duration) float64 {
	asked, onTime := 0.0, 0.0
	for second := from / time.Second; second < to/time.Second; second++ {
		asked += f.asked[second]
		onTime += f.onTime[second]
	}
	return onTime / asked
}

// burstFleetSize is the size of a further fleet for TestBurstEnds. Large ones
// take minutes with the race detector.
var burstFleetSize = flag.Int("burst.nodes", 0, "play TestBurstEnds on this number of nodes too")

// TestBurstEnds plays a burst beyond the capacity of the targets, on nodes whose
// processors can be overloaded by refusals, and checks that callers get what
// they got before soon after it.
func TestBurstEnds(t *testing.T) {
	tests := map[string]struct{ catalog, desk int }{
		"13 nodes": {8, 5},
		"26 nodes": {16, 10},
	}
	if n := *burstFleetSize; n > 0 {
		tests[fmt.Sprint(n, " nodes")] = struct{ catalog, desk int }{n * 3 / 5, n - n*3/5}
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newBurstFleet(tt.catalog, tt.desk)
				f.play(t.Context())
				before, after := f.share(time.Second, burstStart), f.share(burstEnd+recoveryTime, burstLength)
				t.Logf("served on time before the burst %.3f, within it %.3f, 1 s after it %.3f, %s after it %.3f; %.2f attempts a request",
					before, f.share(burstStart, burstEnd), f.share(burstEnd, burstEnd+time.Second), recoveryTime, after, float64(f.attempts)/float64(f.sent))
				require.Greater(t, before, 0.9)
				require.GreaterOrEqual(t, after, before-0.02)
				require.LessOrEqual(t, float64(f.attempts), 2*float64(f.sent), "attempts")
			})
		})
	}
}
