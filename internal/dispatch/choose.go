package dispatch

import (
	"slices"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/idempotency"
	"github.com/vanillabarrow/vanillabarrow/internal/route"
)

// subsetSize bounds the targets of one service that a node sends to.
const subsetSize = 24

// choose picks the next target, nil for none.
func (d *Dispatcher) choose(f *flight) *vanillabarrow.Target {
	snapshot := d.Configuration.Snapshot()
	service, ok := snapshot.Services[f.request.Service]
	if !ok {
		return nil
	}
	if f.request.Key != "" && !f.request.Idempotent && service.KeyWindow > 0 {
		return d.chooseHome(snapshot, service, f)
	}
	candidates := d.candidates(snapshot, service, f)
	i := d.Balancer.Pick(candidates, time.Now())
	if i < 0 {
		return nil
	}
	return candidates[i].Target
}

// chooseHome returns the one target that remembers the request's key.
func (d *Dispatcher) chooseHome(s *vanillabarrow.Snapshot, service *vanillabarrow.Service, f *flight) *vanillabarrow.Target {
	order := idempotency.RankTargets(f.request.Key, KeyOwners(s, service, d.Members.ListedLive))
	if len(order) == 0 {
		return nil
	}
	return s.Targets[order[0]]
}

// KeyOwners returns the sorted targets that share the service's idempotency
// keys: those that are not out and whose VM is published as live.
func KeyOwners(s *vanillabarrow.Snapshot, service *vanillabarrow.Service, listed func(vm string) bool) []string {
	homes := make([]string, 0, len(service.Targets))
	for _, name := range service.Targets {
		if t := s.Targets[name]; !t.OutOfService && listed(t.VM) {
			homes = append(homes, name)
		}
	}
	return homes
}

func (d *Dispatcher) candidates(s *vanillabarrow.Snapshot, service *vanillabarrow.Service, f *flight) []vanillabarrow.Candidate {
	now := time.Now()
	names := subset(d.VM, service.Targets)
	if len(service.ExpiredTargets) > 0 {
		names = slices.Concat(names, subset(d.VM, service.ExpiredTargets))
	}
	candidates := make([]vanillabarrow.Candidate, 0, len(names))
	bytes := d.TargetLoads.size(f.request)
	for _, name := range names {
		t := s.Targets[name]
		if t.OutOfService || t.Draining || f.tried[name] || !d.Members.Live(t.VM) {
			continue
		}
		if dc := s.VMs[t.VM].DataCentre; dc != d.DataCentre && !d.DataCentreBreakers.Allow(dc, now) {
			continue
		}
		if d.isFull(f, t, now) {
			continue
		}
		c := vanillabarrow.Candidate{Target: t, Distance: route.Distance(s, d.DataCentre, t), Bytes: bytes}
		if d.TargetLoads.fill(&c, f.request.Priority, now) && d.admitLapsed(&c, now) {
			candidates = append(candidates, c)
		}
	}
	return candidates
}

// admitLapsed reports whether a candidate may be asked as far as it depends on
// its entry, and marks the trial of one that lapsed.
func (d *Dispatcher) admitLapsed(c *vanillabarrow.Candidate, now time.Time) bool {
	if !c.Target.Expired {
		return true
	}
	admitted, trial := d.ExpiredTargets.Admit(c.Target.Name, now)
	c.Trial = c.Trial || trial
	return admitted
}

// subset keeps the connections of a node to a large service few. Rendezvous
// hashing spreads the subsets of all nodes evenly over the targets.
func subset(vm string, targets []string) []string {
	if len(targets) <= subsetSize {
		return targets
	}
	return idempotency.RankTargets(vm, targets)[:subsetSize]
}
