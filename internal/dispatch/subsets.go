package dispatch

import (
	"maps"
	"slices"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/idempotency"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
	"github.com/vanillabarrow/vanillabarrow/internal/route"
)

const (
	// subsetSize is the maximum number of registered targets of a service in its
	// own region that a node sends requests to, and the same of its expired targets
	// in all regions. It limits the number of connections. A request with an
	// idempotency key may go to any target of the service.
	subsetSize = 24
	// remoteSubsetSize is the maximum number in each other region. These get only
	// requests that may not be served in the node's own region, or that would be
	// late or refused there.
	remoteSubsetSize = subsetSize / 2
)

// subsets caches the node's targets of each service, because the cost of ranking
// all targets for every attempt grows with the service.
type subsets struct {
	vm         string
	dataCentre string
	mu         *kernel.Mutex
	entries    map[string]subsetEntry
}

// subsetEntry is the subset of a service, which belongs to one snapshot.
type subsetEntry struct {
	service *vanillabarrow.Service
	targets []string
}

func newSubsets(vm, dataCentre string) *subsets {
	return &subsets{vm: vm, dataCentre: dataCentre, mu: kernel.NewMutex(kernel.RankSubsets), entries: map[string]subsetEntry{}}
}

// of returns the node's targets of a service, the expired ones last. The caller
// must not modify them.
func (s *subsets) of(snapshot *vanillabarrow.Snapshot, service *vanillabarrow.Service) []string {
	if len(service.Targets) <= remoteSubsetSize && len(service.ExpiredTargets) == 0 {
		return service.Targets
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, ok := s.entries[service.Name]
	if !ok || entry.service != service {
		entry = subsetEntry{service, slices.Concat(s.registered(snapshot, service), subset(s.vm, service.ExpiredTargets, subsetSize))}
		s.entries[service.Name] = entry
	}
	return entry.targets
}

// registered returns the node's registered targets of a service: a subset of those
// in its own region, and a smaller one of those in each other region.
func (s *subsets) registered(snapshot *vanillabarrow.Snapshot, service *vanillabarrow.Service) []string {
	regions := map[string][]string{}
	for _, name := range service.Targets {
		region := route.RegionOf(snapshot, snapshot.Targets[name])
		regions[region] = append(regions[region], name)
	}
	own, ok := snapshot.DataCentres[s.dataCentre]
	var targets []string
	for _, region := range slices.Sorted(maps.Keys(regions)) {
		size := remoteSubsetSize
		if !ok || region == own.Region {
			size = subsetSize
		}
		targets = append(targets, subset(s.vm, regions[region], size)...)
	}
	return targets
}

// subset returns the targets that rank highest for the VM, at most size.
// Rendezvous hashing distributes the subsets of all nodes evenly over the
// targets.
func subset(vm string, targets []string, size int) []string {
	if len(targets) <= size {
		return targets
	}
	return idempotency.RankTargets(vm, targets)[:size]
}
