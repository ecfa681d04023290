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
	// dialDelay and hopDelay are the fake network's times.
	dialDelay = time.Second
	hopDelay  = time.Millisecond
)

// fault is what the network does to one attempt.
type fault int

const (
	faultNone fault = iota
	faultDropRequest
	faultLateRequest
	faultDropAnswer
	faultLateAnswer
	faultTwice
	faultCrossed
	faultResetAnswer
	faultRefused
	faults
)

// job is one request of the plan.
type job struct {
	at         time.Duration
	entry      int
	idempotent bool
	key        string
	service    time.Duration
	budget     time.Duration
	faults     []fault
	late       time.Duration
}

// config is the configuration that one node has in force.
type config struct {
	snapshot atomic.Pointer[vanillabarrow.Snapshot]
}

func (c *config) Snapshot() *vanillabarrow.Snapshot { return c.snapshot.Load() }

// members takes every VM for live.
type members struct{}

func (members) Live(string) bool       { return true }
func (members) ListedLive(string) bool { return true }
func (members) Suspect(string)         {}

// backend is a target that keeps account of what it ran.
type backend struct {
	mu       sync.Mutex
	inFlight int
	peak     int
	down     bool
	runs     []run
}

// run is one run at a target.
type run struct {
	request string
	key     string
	at      time.Time
	once    bool
}

// host is one node with its gate; a restart replaces the gate.
type host struct {
	name    string
	world   *world
	cfg     *config
	backend *backend

	mu     sync.Mutex
	gate   *gate.Gate
	cancel context.CancelFunc
	life   context.Context
	awake  chan struct{}
	births int
}

// world is a service with its targets, gates, entries and network.
type world struct {
	start   time.Time
	hosts   []*host
	entries []*dispatch.Dispatcher
	cfgs    []*config
	jobs    map[string]*job
	ids     atomic.Uint64
	version vanillabarrow.Version
	// cut holds the targets that entries can't reach.
	mu  sync.Mutex
	cut map[string]bool
	// mute makes every question to a gate fail.
	mute bool
}

func newWorld(entries, targets int) *world {
	w := &world{start: time.Now(), jobs: map[string]*job{}, cut: map[string]bool{}}
	for i := range targets {
		h := &host{name: fmt.Sprintf("target-%d", i), world: w, cfg: &config{}, backend: &backend{}}
		w.hosts = append(w.hosts, h)
		w.cfgs = append(w.cfgs, h.cfg)
	}
	snapshot := w.snapshot(nil)
	for _, h := range w.hosts {
		h.cfg.snapshot.Store(snapshot)
		h.restart()
	}
	for range entries {
		cfg := &config{}
		cfg.snapshot.Store(snapshot)
		w.cfgs = append(w.cfgs, cfg)
		w.entries = append(w.entries, w.newEntry(cfg))
	}
	return w
}

func (w *world) newEntry(cfg *config) *dispatch.Dispatcher {
	link := &link{world: w, tokens: dispatch.NewGateTokens(), loads: dispatch.NewTargetLoads()}
	return dispatch.New(dispatch.Config{
		VM:                 "entry",
		DataCentre:         "a",
		Configuration:      cfg,
		Members:            members{},
		Balancer:           balance.New(vanillabarrow.BalancerTwoChoices),
		QueryAfter:         300 * time.Millisecond,
		Throttle:           dispatch.NewThrottle(),
		DataCentreBreakers: dispatch.NewDataCentreBreakers(),
		RefusalCache:       dispatch.NewRefusalCache(),
		ExpiredTargets:     dispatch.NewExpiredTargets(),
		Retry:              retry.New(retry.DefaultConfig()),
		Forwarder:          link,
		TargetLoads:        link.loads,
		GateTokens:         link.tokens,
		Scope:              tally.NoopScope,
		Logger:             slog.New(slog.DiscardHandler),
		NewID:              func() string { return fmt.Sprintf("attempt-%d", w.ids.Add(1)) },
	})
}

// snapshot returns the next version with the given targets out.
func (w *world) snapshot(out []string) *vanillabarrow.Snapshot {
	w.version++
	s := &vanillabarrow.Snapshot{
		Version:     w.version,
		DataCentres: map[string]*vanillabarrow.DataCentre{"a": {Name: "a", Region: "r"}},
		VMs:         map[string]*vanillabarrow.VM{},
		Targets:     map[string]*vanillabarrow.Target{},
		Services: map[string]*vanillabarrow.Service{serviceName: {
			Name: serviceName, Timeout: 10 * time.Second, Retries: 2, KeyWindow: 2 * time.Minute,
		}},
	}
	for _, h := range w.hosts {
		s.VMs[h.name] = &vanillabarrow.VM{Name: h.name, DataCentre: "a", PeerAddress: h.name}
		s.Targets[h.name] = &vanillabarrow.Target{
			Name: h.name, Service: serviceName, VM: h.name, Slots: targetSlots, Connections: 10,
			OutOfService: slices.Contains(out, h.name),
		}
		s.Services[serviceName].Targets = append(s.Services[serviceName].Targets, h.name)
	}
	return s
}

// apply brings a snapshot in force at one node.
func (w *world) apply(node int, s *vanillabarrow.Snapshot) {
	cfg := w.cfgs[node]
	if cfg.Snapshot().Version >= s.Version {
		return
	}
	cfg.snapshot.Store(s)
	if node < len(w.hosts) {
		w.hosts[node].configure()
	}
}

func (h *host) configure() {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.cfg.Snapshot()
	homes := dispatch.KeyOwners(s, s.Services[serviceName], func(string) bool { return true })
	h.gate.Configure(s, homes, false)
}

// restart replaces the gate by one that knows nothing. What ran for the old
// one at the target is canceled.
func (h *host) restart() {
	h.mu.Lock()
	if h.cancel != nil {
		h.cancel()
	}
	h.births++
	h.life, h.cancel = context.WithCancel(context.Background())
	h.gate = gate.New(gate.Config{
		OwnTarget:     vanillabarrow.TargetRef{Name: h.name},
		Incarnation:   fmt.Sprintf("%s-%d", h.name, h.births),
		Configuration: h.cfg,
		Executor:      &executor{host: h, life: h.life},
		KeyReleaser:   &link{world: h.world},
		Limiter:       limit.NewAdaptive(1),
		Scope:         tally.NoopScope,
		Logger:        slog.New(slog.DiscardHandler),
	})
	h.mu.Unlock()
	h.configure()
}

// current returns the gate and a context that ends with its process.
func (h *host) current(ctx context.Context) (*gate.Gate, context.Context, context.CancelFunc) {
	h.mu.Lock()
	awake := h.awake
	h.mu.Unlock()
	if awake != nil {
		select {
		case <-awake:
		case <-ctx.Done():
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	context.AfterFunc(h.life, cancel)
	return h.gate, ctx, cancel
}

// process numbers the processes that the host has had.
func (h *host) process() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.births
}

func (h *host) pause() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.awake == nil {
		h.awake = make(chan struct{})
	}
}

func (h *host) resume() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.awake != nil {
		close(h.awake)
		h.awake = nil
	}
}

// executor runs requests at the backend of a host.
type executor struct {
	host *host
	life context.Context
}

func (e *executor) Execute(ctx context.Context, a *vanillabarrow.Attempt) (*vanillabarrow.Response, error) {
	b := e.host.backend
	b.mu.Lock()
	if b.down {
		b.mu.Unlock()
		return nil, vanillabarrow.NotRun(vanillabarrow.ReasonTargetDown, "")
	}
	b.inFlight++
	b.peak = max(b.peak, b.inFlight)
	b.runs = append(b.runs, run{a.Request.ID, a.Request.Key, time.Now(), !a.Request.Idempotent})
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.inFlight--
	}()
	ctx, cancel := context.WithDeadline(ctx, a.Deadline)
	defer cancel()
	timer := time.NewTimer(e.host.world.jobs[a.Request.ID].service)
	defer timer.Stop()
	select {
	case <-timer.C:
		return &vanillabarrow.Response{Status: 200, Body: []byte(a.Request.ID), Target: e.host.name}, nil
	case <-e.life.Done():
		return nil, vanillabarrow.MayHaveRun(vanillabarrow.ReasonTargetFailed, "")
	case <-ctx.Done():
		return nil, vanillabarrow.MayHaveRun(vanillabarrow.ReasonDeadline, "")
	}
}

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
