// Package hedge decides when a second attempt of a request is sent while the first
// one is still running. It does no I/O.
package hedge

import (
	"sync/atomic"
	"time"

	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
)

const (
	// reserve is the maximum number of hedges that a service's limit saves up. The
	// limit starts at 0, so that all nodes together never send more than the share,
	// and in any window at most this number for each node above it.
	reserve = 2
	// maxEntries is the number of routes or services above which the table is reset,
	// so that it doesn't grow with names that are no longer used.
	maxEntries = 1024
)

// Config holds the parameters of a policy.
type Config struct {
	// Share is the number of hedges that each first attempt at a service adds to
	// its limit. With 0 there are none.
	Share float64
	// Quantile is the quantile of a route's latencies after which a request is
	// hedged, and MinDelay the minimum of this time.
	Quantile float64
	MinDelay time.Duration
}

// Policy implements vanillabarrow.HedgePolicy.
type Policy struct {
	cfg Config
	mu  *kernel.Mutex
	// routes holds the recent latencies by route.
	routes map[string]*histogram
	// tokens holds the remaining hedges by service.
	tokens map[string]float64
}

// New returns a policy without any samples.
func New(cfg Config) *Policy {
	return &Policy{cfg: cfg, mu: kernel.NewMutex(kernel.RankHedging), routes: map[string]*histogram{}, tokens: map[string]float64{}}
}

// Observe implements vanillabarrow.HedgePolicy.
func (p *Policy) Observe(service string) {
	if p.cfg.Share <= 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.tokens) > maxEntries {
		clear(p.tokens)
	}
	p.tokens[service] = min(reserve, p.tokens[service]+p.cfg.Share)
}

// Record implements vanillabarrow.HedgePolicy.
func (p *Policy) Record(route string, latency time.Duration) {
	if p.cfg.Share <= 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	h, ok := p.routes[route]
	if !ok {
		if len(p.routes) >= maxEntries {
			clear(p.routes)
		}
		h = &histogram{}
		p.routes[route] = h
	}
	h.record(latency)
}

// Delay implements vanillabarrow.HedgePolicy.
func (p *Policy) Delay(route string) (time.Duration, bool) {
	if p.cfg.Share <= 0 {
		return 0, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	h, ok := p.routes[route]
	if !ok {
		return 0, false
	}
	delay, ok := h.quantile(p.cfg.Quantile)
	return max(p.cfg.MinDelay, delay), ok
}

// Allow implements vanillabarrow.HedgePolicy.
func (p *Policy) Allow(service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.tokens[service] < 1 {
		return false
	}
	p.tokens[service]--
	return true
}

// State is the state of a policy for the state dump.
type State struct {
	// Delays holds the time in seconds after which requests are hedged, by route.
	Delays map[string]float64 `json:"delays"`
	// Tokens holds the remaining hedges by service.
	Tokens map[string]float64 `json:"tokens"`
}

// State returns the state of the policy.
func (p *Policy) State() State {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := State{Delays: map[string]float64{}, Tokens: map[string]float64{}}
	for route, h := range p.routes {
		if delay, ok := h.quantile(p.cfg.Quantile); ok {
			s.Delays[route] = max(p.cfg.MinDelay, delay).Seconds()
		}
	}
	for service, tokens := range p.tokens {
		s.Tokens[service] = tokens
	}
	return s
}

// Running counts the hedges that the node's own gate runs. The target's own calls
// to other services pass through the same node, and nothing on the users' platform
// tells which request causes a call. So no request that arrives while a hedge runs
// is hedged, because a hedge would otherwise cause further ones at each hop.
type Running struct {
	n atomic.Int64
}

// NewRunning returns a counter at 0.
func NewRunning() *Running { return &Running{} }

// Begin counts a hedge until the returned function is called. It does nothing if r
// is nil.
func (r *Running) Begin() (end func()) {
	if r == nil {
		return func() {}
	}
	r.n.Add(1)
	return func() { r.n.Add(-1) }
}

// Any reports whether a hedge is running. It returns false if r is nil.
func (r *Running) Any() bool { return r != nil && r.n.Load() > 0 }
