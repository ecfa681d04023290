package dispatch

import (
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
	"github.com/vanillabarrow/vanillabarrow/internal/random"
)

const (
	// throttleDecrease is the part of a route's share that each failed answer
	// takes, and throttleGain the share that each good one gives back. Together
	// they let about one request in four fail.
	throttleDecrease = 0.1
	throttleIncrease = 0.03
	// throttleMinShare is the smallest share let through: part of the requests on a
	// route that fails need nothing further down, and recovery is noticed.
	throttleMinShare = 0.4
	// throttleRetryAfter is the delay advised to callers of a throttled route.
	throttleRetryAfter = 250 * time.Millisecond
	// throttleResolution is the resolution of the random choice.
	throttleResolution = 1 << 16
)

// Throttle sheds requests of routes whose targets fail them, mostly because a
// service further down has no room. What is shed here costs the targets nothing
// and leaves the service below to requests that can be served. It answers an
// overload of a shared service below several others.
type Throttle struct {
	mu     *kernel.Mutex
	routes map[string]*routeThrottle
}

// routeThrottle is the part of a route's requests that is let through. Told is set once
// it has been at its least.
type routeThrottle struct {
	admitShare float64
	atMinimum  bool
}

// NewThrottle returns a throttle that lets everything through.
func NewThrottle() *Throttle {
	return &Throttle{mu: kernel.NewMutex(kernel.RankThrottle), routes: map[string]*routeThrottle{}}
}

// Admit decides on a request before its first attempt.
func (t *Throttle) Admit(r *vanillabarrow.Request) error {
	if random.IntN(throttleResolution) < int(t.admitShare(r.Route)*throttleResolution) {
		return nil
	}
	refusal := vanillabarrow.NotRun(vanillabarrow.ReasonOverloaded, "requests on this route fail at a service further down")
	refusal.RetryAfter = throttleRetryAfter
	return refusal
}

func (t *Throttle) admitShare(route string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.routes[route]; ok {
		return s.admitShare
	}
	return 1
}

// Observe notes how a target answered on a route. Begins is set when the share
// of the route falls to its least, and ends when all requests are let through
// after that.
func (t *Throttle) Observe(route string, failed bool) (begins, ends bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.routes[route]
	if !ok {
		s = &routeThrottle{admitShare: 1}
	}
	if failed {
		s.admitShare = max(throttleMinShare, s.admitShare*(1-throttleDecrease))
	} else {
		s.admitShare += throttleIncrease
	}
	if s.admitShare >= 1 {
		delete(t.routes, route)
		return false, s.atMinimum
	}
	begins = s.admitShare == throttleMinShare && !s.atMinimum
	s.atMinimum = s.atMinimum || begins
	t.routes[route] = s
	return begins, false
}

// AdmitShares returns the share let through of each throttled route, for the dump.
func (t *Throttle) AdmitShares() map[string]float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	shares := make(map[string]float64, len(t.routes))
	for route, s := range t.routes {
		shares[route] = s.admitShare
	}
	return shares
}
