package dispatch_test

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/balance"
	"github.com/vanillabarrow/vanillabarrow/internal/dispatch"
	"github.com/vanillabarrow/vanillabarrow/internal/gate"
	"github.com/vanillabarrow/vanillabarrow/internal/limit"
	"github.com/vanillabarrow/vanillabarrow/internal/retry"
)

const (
	serviceName = "returns"
	targetSlots = 3
	// dialDelay is the time until the simulated network refuses a connection,
	// and hopDelay its transmission time in one direction.
	dialDelay = time.Second
	hopDelay  = time.Millisecond
)

// fault is what the simulated network does to one attempt.
type fault int

const (
	faultNone fault = iota
	faultDropRequest
	faultDelayRequest
	faultDropResponse
	faultDelayResponse
	faultDuplicateRequest
	faultMismatchedResponse
	faultResetConnection
	faultRefuseConnection
	faultCount
)

// plannedRequest is one request of a plan.
type plannedRequest struct {
	at          time.Duration
	sender      int
	idempotent  bool
	key         string
	serviceTime time.Duration
	timeout     time.Duration
	faults      []fault
	faultDelay  time.Duration
}

// config is the configuration in force at one node.
type config struct {
	snapshot atomic.Pointer[vanillabarrow.Snapshot]
}

func (c *config) Snapshot() *vanillabarrow.Snapshot { return c.snapshot.Load() }

// members reports every VM as live.
type members struct{}

func (members) Live(string) bool       { return true }
func (members) ListedLive(string) bool { return true }
func (members) Suspect(string)         {}

// backend is a target that records the requests that it runs.
type backend struct {
	mu       sync.Mutex
	inFlight int
	// peak is the maximum of inFlight so far.
	peak       int
	down       bool
	executions []execution
}

// execution is one run of a request at a target.
type execution struct {
	request       string
	key           string
	at            time.Time
	nonIdempotent bool
}

// node is one node with its gate. A restart replaces the gate.
type node struct {
	name    string
	cluster *cluster
	cfg     *config
	backend *backend

	mu         sync.Mutex
	gate       *gate.Gate
	cancel     context.CancelFunc
	processCtx context.Context
	resumed    chan struct{}
	starts     int
}

// cluster is a simulated service with its targets, gates, sending nodes and
// network.
type cluster struct {
	start   time.Time
	nodes   []*node
	senders []*dispatch.Dispatcher
	// configs holds the configurations of the targets' nodes, then those of the
	// sending nodes.
	configs    []*config
	requests   map[string]*plannedRequest
	attemptIDs atomic.Uint64
	version    vanillabarrow.Version
	// mu guards unreachable, which holds the targets that the sending nodes
	// can't reach.
	mu          sync.Mutex
	unreachable map[string]bool
	// failQueries makes every query to a gate fail.
	failQueries bool
}

func newCluster(senders, targets int) *cluster {
	c := &cluster{start: time.Now(), requests: map[string]*plannedRequest{}, unreachable: map[string]bool{}}
	for i := range targets {
		n := &node{name: fmt.Sprintf("target-%d", i), cluster: c, cfg: &config{}, backend: &backend{}}
		c.nodes = append(c.nodes, n)
		c.configs = append(c.configs, n.cfg)
	}
	snapshot := c.snapshot(nil)
	for _, n := range c.nodes {
		n.cfg.snapshot.Store(snapshot)
		n.restart()
	}
	for range senders {
		cfg := &config{}
		cfg.snapshot.Store(snapshot)
		c.configs = append(c.configs, cfg)
		c.senders = append(c.senders, c.newSender(cfg))
	}
	return c
}

func (c *cluster) newSender(cfg *config) *dispatch.Dispatcher {
	transport := &transport{cluster: c, tokens: dispatch.NewGateTokens(), loads: dispatch.NewTargetLoads()}
	return dispatch.New(dispatch.Config{
		VM:                 "sender",
		DataCentre:         "a",
		Configuration:      cfg,
		Members:            members{},
		Balancer:           balance.New(vanillabarrow.BalancerTwoChoices),
		QueryAfter:         300 * time.Millisecond,
		Throttle:           dispatch.NewThrottle(),
		DataCentreBreakers: dispatch.NewDataCentreBreakers(),
		RefusalCache:       dispatch.NewRefusalCache(), GateAttempts: dispatch.NewGateAttempts(),
		ExpiredTargets: dispatch.NewExpiredTargets(),
		Retry:          retry.New(retry.DefaultConfig()),
		Forwarder:      transport,
		TargetLoads:    transport.loads,
		GateTokens:     transport.tokens,
		Scope:          tally.NoopScope,
		Logger:         slog.New(slog.DiscardHandler),
		NewID:          func() string { return fmt.Sprintf("attempt-%d", c.attemptIDs.Add(1)) },
	})
}

// snapshot returns the next version, with the given targets out of service.
func (c *cluster) snapshot(out []string) *vanillabarrow.Snapshot {
	c.version++
	s := &vanillabarrow.Snapshot{
		Version:     c.version,
		DataCentres: map[string]*vanillabarrow.DataCentre{"a": {Name: "a", Region: "r"}},
		VMs:         map[string]*vanillabarrow.VM{},
		Targets:     map[string]*vanillabarrow.Target{},
		Services: map[string]*vanillabarrow.Service{serviceName: {
			Name: serviceName, Timeout: 10 * time.Second, Retries: 2, KeyWindow: 2 * time.Minute,
		}},
	}
	for _, n := range c.nodes {
		s.VMs[n.name] = &vanillabarrow.VM{Name: n.name, DataCentre: "a", PeerAddress: n.name}
		s.Targets[n.name] = &vanillabarrow.Target{
			Name: n.name, Service: serviceName, VM: n.name, Slots: targetSlots, Connections: 10,
			OutOfService: slices.Contains(out, n.name),
		}
		s.Services[serviceName].Targets = append(s.Services[serviceName].Targets, n.name)
	}
	return s
}

// apply puts a snapshot in force at one node, given by its index in configs,
// unless a newer one is in force.
func (c *cluster) apply(node int, s *vanillabarrow.Snapshot) {
	cfg := c.configs[node]
	if cfg.Snapshot().Version >= s.Version {
		return
	}
	cfg.snapshot.Store(s)
	if node < len(c.nodes) {
		c.nodes[node].configure()
	}
}

func (n *node) configure() {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.cfg.Snapshot()
	owners := dispatch.KeyOwners(s, s.Services[serviceName], func(string) bool { return true })
	n.gate.Configure(s, owners, false)
}

// restart replaces the gate by one without any state. Requests that the old one
// runs at the target are canceled.
func (n *node) restart() {
	n.mu.Lock()
	if n.cancel != nil {
		n.cancel()
	}
	n.starts++
	n.processCtx, n.cancel = context.WithCancel(context.Background())
	n.gate = gate.New(gate.Config{
		OwnTarget:     vanillabarrow.TargetRef{Name: n.name},
		Incarnation:   fmt.Sprintf("%s-%d", n.name, n.starts),
		Configuration: n.cfg,
		Executor:      &executor{node: n, processCtx: n.processCtx},
		KeyReleaser:   &transport{cluster: n.cluster},
		Limiter:       limit.NewAdaptive(1),
		Scope:         tally.NoopScope,
		Logger:        slog.New(slog.DiscardHandler),
	})
	n.mu.Unlock()
	n.configure()
}

// current returns the gate, after the end of any pause, and a context that is
// canceled when the gate's process ends.
func (n *node) current(ctx context.Context) (*gate.Gate, context.Context, context.CancelFunc) {
	n.mu.Lock()
	resumed := n.resumed
	n.mu.Unlock()
	if resumed != nil {
		select {
		case <-resumed:
		case <-ctx.Done():
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	context.AfterFunc(n.processCtx, cancel)
	return n.gate, ctx, cancel
}

// processNumber returns the number of times that the node has been started.
func (n *node) processNumber() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.starts
}

func (n *node) pause() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.resumed == nil {
		n.resumed = make(chan struct{})
	}
}

func (n *node) resume() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.resumed != nil {
		close(n.resumed)
		n.resumed = nil
	}
}

// executor runs requests at the backend of a node.
type executor struct {
	node       *node
	processCtx context.Context
}

func (e *executor) Execute(ctx context.Context, a *vanillabarrow.Attempt) (*vanillabarrow.Response, error) {
	b := e.node.backend
	b.mu.Lock()
	if b.down {
		b.mu.Unlock()
		return nil, vanillabarrow.NotRun(vanillabarrow.ReasonTargetDown, "")
	}
	b.inFlight++
	b.peak = max(b.peak, b.inFlight)
	b.executions = append(b.executions, execution{a.Request.ID, a.Request.Key, time.Now(), !a.Request.Idempotent})
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.inFlight--
	}()
	ctx, cancel := context.WithDeadline(ctx, a.Deadline)
	defer cancel()
	timer := time.NewTimer(e.node.cluster.requests[a.Request.ID].serviceTime)
	defer timer.Stop()
	select {
	case <-timer.C:
		return &vanillabarrow.Response{Status: 200, Body: []byte(a.Request.ID), Target: e.node.name}, nil
	case <-e.processCtx.Done():
		return nil, vanillabarrow.MayHaveRun(vanillabarrow.ReasonTargetFailed, "")
	case <-ctx.Done():
		return nil, vanillabarrow.MayHaveRun(vanillabarrow.ReasonDeadline, "")
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
