package route

import (
	"slices"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
)

// Splits divides the requests of each route among services by smooth weighted
// round robin: each request adds its weight to every service's credit and goes
// to the service with the most credit, whose credit is then reduced by the sum
// of the weights. So the shares are nearly exact even over a few requests.
type Splits struct {
	mu     *kernel.Mutex
	routes map[string]*split
}

// split is the state of the split of one route.
type split struct {
	shares []vanillabarrow.Share
	credit []float64
}

// Services returns the services to which the route sends requests.
func Services(r *vanillabarrow.Route) []string {
	if len(r.Split) == 0 {
		return []string{r.Service}
	}
	services := make([]string, 0, len(r.Split))
	for _, share := range r.Split {
		services = append(services, share.Service)
	}
	return services
}

// NewSplits returns a Splits without state.
func NewSplits() *Splits {
	return &Splits{mu: kernel.NewMutex(kernel.RankRouteSplits), routes: map[string]*split{}}
}

// NextService returns the service for the next request on the route. A change of
// the route's weights starts the rotation anew.
func (s *Splits) NextService(r *vanillabarrow.Route) string {
	if len(r.Split) == 0 {
		return r.Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	state, ok := s.routes[r.Name]
	if !ok || !equalShares(state.shares, r.Split) {
		state = &split{shares: r.Split, credit: make([]float64, len(r.Split))}
		s.routes[r.Name] = state
	}
	return state.next()
}

// PeekService returns what NextService would return, without counting a request.
func (s *Splits) PeekService(r *vanillabarrow.Route) string {
	if len(r.Split) == 0 {
		return r.Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	state, ok := s.routes[r.Name]
	if !ok || !equalShares(state.shares, r.Split) {
		state = &split{shares: r.Split, credit: make([]float64, len(r.Split))}
	}
	copied := split{shares: state.shares, credit: slices.Clone(state.credit)}
	return copied.next()
}

// Retain removes the state of routes that are not in a snapshot or have no split.
func (s *Splits) Retain(routes map[string][]*vanillabarrow.Route) {
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

// next returns the service with the most credit.
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

func equalShares(a, b []vanillabarrow.Share) bool {
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
