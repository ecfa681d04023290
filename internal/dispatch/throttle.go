package dispatch

import (
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
	"github.com/vanillabarrow/vanillabarrow/internal/random"
)

const (
	// throttleDecrease is the fraction by which a failure response reduces the
	// admitted share of a route, and throttleIncrease the amount by which any
	// other response raises it. In equilibrium, about one request in four
	// fails.
	throttleDecrease = 0.1
	throttleIncrease = 0.03
	// throttleMinShare is the minimum admitted share. Some requests on a
	// failing route do not depend on the overloaded service, and the others are
	// needed to detect its recovery.
	throttleMinShare = 0.4
	// throttleRetryAfter is the Retry-After delay for callers of a throttled
	// route.
	throttleRetryAfter = 250 * time.Millisecond
	// throttleResolution is the number of steps of the random choice.
	throttleResolution = 1 << 16
)

// Throttle sheds requests of routes whose targets respond with failures,
// usually because a service that several others depend on is overloaded.
// Shedding here costs the targets nothing and leaves the capacity of the
// overloaded service to requests that can succeed.
type Throttle struct {
	mu     *kernel.Mutex
	routes map[string]*routeThrottle
}

// routeThrottle is the admitted share of one route's requests. The field
// atMinimum stays set once the share has fallen to throttleMinShare.
type routeThrottle struct {
	admitShare float64
	atMinimum  bool
}

// NewThrottle returns a throttle that admits all requests.
func NewThrottle() *Throttle {
	return &Throttle{mu: kernel.NewMutex(kernel.RankThrottle), routes: map[string]*routeThrottle{}}
}

// Admit returns nil or a refusal for a request before its first attempt.
func (t *Throttle) Admit(r *vanillabarrow.Request) error {
	if random.IntN(throttleResolution) < int(t.admitShare(r.Route)*throttleResolution) {
		return nil
	}
	refusal := vanillabarrow.NotRun(vanillabarrow.ReasonOverloaded, "requests on this route are failing downstream")
	refusal.RetryAfter = throttleRetryAfter
	return refusal
}

// admitShare returns the admitted share of the route's requests.
func (t *Throttle) admitShare(route string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.routes[route]; ok {
		return s.admitShare
	}
	return 1
}

// Observe adjusts the admitted share of a route after a response. Begins is set
// when the share falls to its minimum, and ends when all requests are admitted
// again after that.
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

// AdmitShares returns the admitted share of each throttled route, for the state
// dump.
func (t *Throttle) AdmitShares() map[string]float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	shares := make(map[string]float64, len(t.routes))
	for route, s := range t.routes {
		shares[route] = s.admitShare
	}
	return shares
}
