package route

import (
	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
)

// Splits divides the requests of routes among services by weight. Each choice
// adds every weight to its service's credit and takes the service with the
// most, so that the shares are kept over any short run of requests.
type Splits struct {
	mu     *kernel.Mutex
	routes map[string]*split
}

// split is the state of one route.
type split struct {
	shares []vanillabarrow.Share
	credit []float64
}

// NewSplits returns a table without routes.
func NewSplits() *Splits {
	return &Splits{mu: kernel.NewMutex(kernel.RankRouteSplits), routes: map[string]*split{}}
}

// NextService returns the service for the next request on the route.
func (s *Splits) NextService(r *vanillabarrow.Route) string {
	if len(r.Split) == 0 {
		return r.Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	state, ok := s.routes[r.Name]
	if !ok || !sameShares(state.shares, r.Split) {
		state = &split{shares: r.Split, credit: make([]float64, len(r.Split))}
		s.routes[r.Name] = state
	}
	return state.next()
}

// Prune forgets the routes that a snapshot no longer has.
func (s *Splits) Prune(routes map[string][]*vanillabarrow.Route) {
	names := map[string]bool{}
	for _, list := range routes {
		for _, r := range list {
			names[r.Name] = len(r.Split) > 0
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for name := range s.routes {
		if !names[name] {
			delete(s.routes, name)
		}
	}
}

func (s *split) next() string {
	best, total := 0, 0.0
	for i, share := range s.shares {
		s.credit[i] += share.Weight
		total += share.Weight
		if s.credit[i] > s.credit[best] {
			best = i
		}
	}
	s.credit[best] -= total
	return s.shares[best].Service
}

func sameShares(a, b []vanillabarrow.Share) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}
