package dispatch

import (
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
	"github.com/vanillabarrow/vanillabarrow/internal/random"
)

const (
	// throttleCut is the part of a route's share that each failed answer
	// takes, and throttleGain the share that each good one gives back. Together
	// they let about one request in four fail.
	throttleCut  = 0.1
	throttleGain = 0.03
	// throttleFloor is the smallest share let through: part of the requests on a
	// route that fails need nothing further down, and recovery is noticed.
	throttleFloor = 0.4
	// throttleRetryAfter is the delay advised to callers of a throttled route.
	throttleRetryAfter = 250 * time.Millisecond
	// throttleScale is the resolution of the random choice.
	throttleScale = 1 << 16
)

// Throttle sheds requests of routes whose targets fail them, mostly because a
// service further down has no room. What is shed here costs the targets nothing
// and leaves the service below to requests that can be served. It answers an
// overload of a shared service below several others.
type Throttle struct {
	mu     *kernel.Mutex
	shares map[string]float64
}

// NewThrottle returns a throttle that lets everything through.
func NewThrottle() *Throttle {
	return &Throttle{mu: kernel.NewMutex(kernel.RankThrottle), shares: map[string]float64{}}
}

// Admit decides on a request before its first attempt.
func (t *Throttle) Admit(r *vanillabarrow.Request) error {
	t.mu.Lock()
	share, ok := t.shares[r.Route]
	t.mu.Unlock()
	if !ok || random.IntN(throttleScale) < int(share*throttleScale) {
		return nil
	}
	refusal := vanillabarrow.NotRun(vanillabarrow.ReasonOverloaded, "requests on this route fail at a service further down")
	refusal.RetryAfter = throttleRetryAfter
	return refusal
}

// Observe notes how a target answered on a route.
func (t *Throttle) Observe(route string, failed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	share, ok := t.shares[route]
	if !ok {
		share = 1
	}
	if failed {
		share = max(throttleFloor, share*(1-throttleCut))
	} else {
		share += throttleGain
	}
	if share >= 1 {
		delete(t.shares, route)
		return
	}
	t.shares[route] = share
}

// Shares returns the share let through of each throttled route, for the dump.
func (t *Throttle) Shares() map[string]float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	shares := make(map[string]float64, len(t.shares))
	for route, share := range t.shares {
		shares[route] = share
	}
	return shares
}
