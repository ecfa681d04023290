package dispatch

import (
	"slices"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/idempotency"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
)

// subsetSize is the maximum number of registered targets of a service that a
// node sends requests to, and the same of its expired targets. It limits the
// number of connections. A request with an idempotency key may go to any target
// of the service.
const subsetSize = 24

// subsets caches the node's targets of each service, because the cost of ranking
// all targets for every attempt grows with the service.
type subsets struct {
	vm      string
	mu      *kernel.Mutex
	entries map[string]subsetEntry
}

// subsetEntry is the subset of a service, which belongs to one snapshot.
type subsetEntry struct {
	service *vanillabarrow.Service
	targets []string
}

func newSubsets(vm string) *subsets {
	return &subsets{vm: vm, mu: kernel.NewMutex(kernel.RankSubsets), entries: map[string]subsetEntry{}}
}

// of returns the node's targets of a service, the expired ones last. The caller
// must not modify them.
func (s *subsets) of(service *vanillabarrow.Service) []string {
	if len(service.Targets) <= subsetSize && len(service.ExpiredTargets) == 0 {
		return service.Targets
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, ok := s.entries[service.Name]
	if !ok || entry.service != service {
		entry = subsetEntry{service, slices.Concat(subset(s.vm, service.Targets), subset(s.vm, service.ExpiredTargets))}
		s.entries[service.Name] = entry
	}
	return entry.targets
}

// subset returns the targets that rank highest for the VM, at most subsetSize.
// Rendezvous hashing distributes the subsets of all nodes evenly over the
// targets.
func subset(vm string, targets []string) []string {
	if len(targets) <= subsetSize {
		return targets
	}
	return idempotency.RankTargets(vm, targets)[:subsetSize]
}
