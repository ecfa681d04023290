package dispatch

import (
	"slices"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/idempotency"
	"github.com/vanillabarrow/vanillabarrow/internal/route"
)

// choose returns the target for the next attempt, nil for none. A
// non-idempotent request with an idempotency key goes to the target that owns
// the key.
func (d *Dispatcher) choose(rs *requestState) *vanillabarrow.Target {
	snapshot := d.Configuration.Snapshot()
	service, ok := snapshot.Services[rs.request.Service]
	if !ok {
		return nil
	}
	if rs.request.Key != "" && !rs.request.Idempotent && service.KeyWindow > 0 {
		return d.chooseKeyOwner(snapshot, service, rs)
	}
	return d.pick(snapshot, rs, d.candidates(snapshot, service, rs))
}

// pick returns the target among the candidates that gets the next attempt, nil for
// none.
func (d *Dispatcher) pick(snapshot *vanillabarrow.Snapshot, rs *requestState, candidates []vanillabarrow.Candidate) *vanillabarrow.Target {
	for {
		now := time.Now()
		i := d.Balancer.Pick(candidates, now)
		if i < 0 {
			return nil
		}
		target := candidates[i].Target
		if d.beginTrials(snapshot, rs, target, now) {
			return target
		}
		candidates = slices.Delete(candidates, i, i+1)
	}
}

// beginTrials reports whether a request may be sent to the candidate now, and
// begins the trials that it is part of. It returns false if another request has
// begun one of them since the candidates were listed.
func (d *Dispatcher) beginTrials(s *vanillabarrow.Snapshot, rs *requestState, target *vanillabarrow.Target, now time.Time) bool {
	if !d.TargetLoads.beginTrial(target.Name, now) {
		return false
	}
	if target.Expired && !d.ExpiredTargets.beginTrial(target.Name, now) {
		return false
	}
	dc := s.VMs[target.VM].DataCentre
	d.watchBreaker(rs, dc)
	return dc == d.DataCentre || d.DataCentreBreakers.beginTrial(dc, now)
}

// chooseKeyOwner returns the target that owns the request's idempotency key,
// nil for none. Load, ejection and earlier refusals do not matter, because the
// gates of other targets refuse the key.
func (d *Dispatcher) chooseKeyOwner(s *vanillabarrow.Snapshot, service *vanillabarrow.Service, rs *requestState) *vanillabarrow.Target {
	order := idempotency.RankTargets(rs.request.Key, KeyOwners(s, service, d.Members.ListedLive))
	// Gates know no other owner, so the request is refused if this one is in another
	// region.
	if len(order) == 0 || !route.MayServe(s, rs.request.Regions, s.Targets[order[0]]) {
		return nil
	}
	return s.Targets[order[0]]
}

// KeyOwners returns the sorted names of the targets among which the service's
// idempotency keys are distributed: those in service whose VM the published
// list has as live.
func KeyOwners(s *vanillabarrow.Snapshot, service *vanillabarrow.Service, listed func(vm string) bool) []string {
	owners := make([]string, 0, len(service.Targets))
	for _, name := range service.Targets {
		if t := s.Targets[name]; !t.OutOfService && listed(t.VM) {
			owners = append(owners, name)
		}
	}
	return owners
}

// candidates returns the targets that may get the next attempt.
func (d *Dispatcher) candidates(s *vanillabarrow.Snapshot, service *vanillabarrow.Service, rs *requestState) []vanillabarrow.Candidate {
	now := time.Now()
	names := d.subsets.of(s, service)
	candidates := make([]vanillabarrow.Candidate, 0, len(names))
	bytes := d.TargetLoads.expectedBytes(rs.request)
	for _, name := range names {
		if c, leftOut := d.candidate(s, rs, s.Targets[name], now); leftOut == "" {
			c.Bytes = bytes
			candidates = append(candidates, c)
		}
	}
	return candidates
}

// Reasons for which a target gets no attempt of a request.
const (
	leftOutOfService  = "out of service"
	leftOutDraining   = "draining"
	leftOutTried      = "tried before"
	leftOutNotLive    = "node not live"
	leftOutRegion     = "region not allowed"
	leftOutDataCentre = "data centre unreachable"
	leftOutRefused    = "refused recently"
	leftOutEjected    = "ejected or unavailable"
	leftOutExpired    = "registration expired"
)

// candidate returns a target as a candidate for the next attempt, or the reason for
// which it gets none.
func (d *Dispatcher) candidate(s *vanillabarrow.Snapshot, rs *requestState, t *vanillabarrow.Target, now time.Time) (c vanillabarrow.Candidate, leftOut string) {
	c.Target = t
	switch {
	case t.OutOfService:
		return c, leftOutOfService
	case t.Draining:
		return c, leftOutDraining
	case rs.tried[t.Name]:
		return c, leftOutTried
	case !d.Members.Live(t.VM):
		return c, leftOutNotLive
	case !route.MayServe(s, rs.request.Regions, t):
		return c, leftOutRegion
	case d.isCutOff(s.VMs[t.VM].DataCentre, now):
		return c, leftOutDataCentre
	case d.recentlyRefused(rs, t, now):
		return c, leftOutRefused
	}
	c.Distance = route.Distance(s, d.DataCentre, t)
	switch {
	case !d.TargetLoads.fillCandidate(&c, rs.request, now):
		return c, leftOutEjected
	case !d.admitExpired(&c, now):
		return c, leftOutExpired
	default:
		return c, ""
	}
}

// isCutOff reports whether the breaker keeps requests from the data centre. Targets
// in the own data centre are candidates even while its breaker is open.
func (d *Dispatcher) isCutOff(dataCentre string, now time.Time) bool {
	return dataCentre != d.DataCentre && !d.DataCentreBreakers.Allow(dataCentre, now)
}

// admitExpired reports whether a target with an expired registration may get a
// request, and marks its trial requests. It returns true for other targets.
func (d *Dispatcher) admitExpired(c *vanillabarrow.Candidate, now time.Time) bool {
	if !c.Target.Expired {
		return true
	}
	admitted, trial := d.ExpiredTargets.Admit(c.Target.Name, now)
	c.Trial = c.Trial || trial
	return admitted
}
