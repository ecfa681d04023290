package dispatch

import (
	"context"
	"slices"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/route"
)

// Explanation says where a request would go now and why.
type Explanation struct {
	Version vanillabarrow.Version `json:"version"`
	// ConfigKept is set if the routes are of an earlier era than the copy from which the
	// platform was restored.
	ConfigKept bool   `json:"configKept,omitempty"`
	Route      string `json:"route,omitempty"`
	// Service is the service of the route, or the part of its split that the next
	// request goes to.
	Service    string `json:"service,omitempty"`
	Idempotent bool   `json:"idempotent"`
	Priority   int    `json:"priority"`
	// Regions lists the regions in which the request may be served, nil for all.
	Regions []string `json:"regions,omitempty"`
	// Tenant is the tenant of the request with its allowance, nil for none.
	Tenant *vanillabarrow.Tenant `json:"tenant,omitempty"`
	// AdmitShare is the share of the route's requests that the throttle admits.
	AdmitShare float64 `json:"admitShare"`
	// HedgeAfter is the time after which the request would be hedged, 0 for never.
	HedgeAfter time.Duration `json:"hedgeAfter,omitempty"`
	// Late is set if no gate is expected to meet the objective, so that gates
	// consider only the deadline.
	Late bool `json:"late,omitempty"`
	// First and Next are the targets that would be asked first and after a refusal
	// of the first one, empty for none. Balancers choose at random among targets
	// that are about equal, so that another request may go elsewhere.
	First   string            `json:"first,omitempty"`
	Next    string            `json:"next,omitempty"`
	Targets []ExplainedTarget `json:"targets"`
	Refusal *ExplainedRefusal `json:"refusal,omitempty"`
}

// ExplainedRefusal is the refusal that the caller would get.
type ExplainedRefusal struct {
	Verdict string               `json:"verdict"`
	Reason  vanillabarrow.Reason `json:"reason"`
	Detail  string               `json:"detail,omitempty"`
	// RetryAfter is the minimum; callers get up to twice as much.
	RetryAfter time.Duration `json:"retryAfter,omitempty"`
}

// ExplainedTarget is one target of the service as the node sees it.
type ExplainedTarget struct {
	Name       string `json:"name"`
	VM         string `json:"vm"`
	DataCentre string `json:"dataCentre"`
	Region     string `json:"region"`
	// Distance is 0 for the node's own data centre, 1 for its region, 2 elsewhere.
	Distance int `json:"distance"`
	// InFlight is the number of this node's attempts there, Load the last report of
	// the target's gate, which has the age ReportAge.
	InFlight  int                `json:"inFlight"`
	Load      vanillabarrow.Load `json:"load"`
	ReportAge time.Duration      `json:"reportAge,omitempty"`
	Cold      bool               `json:"cold,omitempty"`
	// Kept is set if the target's registration is of an earlier era than the copy from
	// which the platform was restored.
	Kept bool `json:"kept,omitempty"`
	// Trial is set if the target is due for a single trial request.
	Trial bool `json:"trial,omitempty"`
	// LeftOut is the reason for which the target gets no attempt, empty for a
	// candidate.
	LeftOut string `json:"leftOut,omitempty"`
}

// leftOutSubset marks the targets that other nodes use.
const leftOutSubset = "not in this node's subset"

// ExplainRefusal returns the explanation of a request that is refused before its
// dispatch.
func ExplainRefusal(version vanillabarrow.Version, refusal *vanillabarrow.Refusal) *Explanation {
	e := &Explanation{Version: version, AdmitShare: 1, Targets: []ExplainedTarget{}}
	e.refuse(refusal)
	return e
}

func (e *Explanation) refuse(r *vanillabarrow.Refusal) {
	e.Refusal = &ExplainedRefusal{Verdict: r.Verdict.String(), Reason: r.Reason, Detail: r.Detail, RetryAfter: r.RetryAfter}
}

// Explain says where the request would go now, by the decisions that Do makes for
// its first attempts. It sends nothing, charges no budget and begins no trial.
func (d *Dispatcher) Explain(request *vanillabarrow.Request) *Explanation {
	e := &Explanation{
		Route: request.Route, Service: request.Service, Idempotent: request.Idempotent, Priority: request.Priority,
		Regions: request.Regions, AdmitShare: 1, Targets: []ExplainedTarget{},
	}
	rs, err := d.newRequestState(context.Background(), request)
	snapshot := d.Configuration.Snapshot()
	if snapshot != nil {
		e.Version, e.ConfigKept = snapshot.Version, snapshot.ConfigKept
	}
	if err != nil || snapshot.Services[request.Service] == nil {
		e.refuse(vanillabarrow.AsRefusal(err))
		return e
	}
	if request.MaxAttempts > 0 {
		e.AdmitShare = d.Throttle.admitShare(request.Route)
	}
	if d.mayHedge(rs) {
		if delay, ok := d.Hedge.Delay(request.Route); ok {
			e.HedgeAfter = delay
		}
	}
	for {
		first, next := d.explainChoice(e, snapshot, rs)
		if first == nil && rs.skippedRefusal != nil && rs.switchToLate(rs.skippedRefusal) {
			e.Late = true
			continue
		}
		if first == nil {
			var last *vanillabarrow.Refusal
			if last = rs.skippedRefusal; last == nil {
				last = vanillabarrow.AsRefusal(noTargetError(nil))
			}
			e.refuse(last)
			return e
		}
		e.First = first.Name
		if next != nil {
			e.Next = next.Name
		}
		return e
	}
}

// explainChoice lists the targets of the service and returns those that would be
// asked first and next, nil for none.
func (d *Dispatcher) explainChoice(e *Explanation, s *vanillabarrow.Snapshot, rs *requestState) (first, next *vanillabarrow.Target) {
	service, now := s.Services[rs.request.Service], time.Now()
	bytes := d.TargetLoads.expectedBytes(rs.request)
	subset := d.subsets.of(s, service)
	candidates := []vanillabarrow.Candidate{}
	e.Targets = e.Targets[:0]
	for _, name := range slices.Concat(service.Targets, service.ExpiredTargets) {
		t := s.Targets[name]
		if !slices.Contains(subset, name) {
			e.Targets = append(e.Targets, d.explainTarget(s, &vanillabarrow.Candidate{Target: t}, leftOutSubset, now))
			continue
		}
		c, leftOut := d.candidate(s, rs, t, now)
		c.Bytes = bytes
		e.Targets = append(e.Targets, d.explainTarget(s, &c, leftOut, now))
		if leftOut == "" {
			candidates = append(candidates, c)
		}
	}
	if rs.request.Key != "" && !rs.request.Idempotent && service.KeyWindow > 0 {
		return d.chooseKeyOwner(s, service, rs), nil
	}
	i := d.peek(candidates, now)
	if i < 0 {
		return nil, nil
	}
	first = candidates[i].Target
	candidates = slices.Delete(candidates, i, i+1)
	if i = d.peek(candidates, now); i >= 0 {
		next = candidates[i].Target
	}
	return first, next
}

// peek returns the candidate that the balancer picks. A balancer that counts its
// picks has a method for it.
func (d *Dispatcher) peek(candidates []vanillabarrow.Candidate, now time.Time) int {
	type peeker interface {
		Peek(candidates []vanillabarrow.Candidate, now time.Time) int
	}
	if p, ok := d.Balancer.(peeker); ok {
		return p.Peek(candidates, now)
	}
	return d.Balancer.Pick(candidates, now)
}

func (d *Dispatcher) explainTarget(s *vanillabarrow.Snapshot, c *vanillabarrow.Candidate, leftOut string, now time.Time) ExplainedTarget {
	t := ExplainedTarget{
		Name: c.Target.Name, VM: c.Target.VM,
		InFlight: c.InFlight, Load: c.Load, Cold: now.Before(c.Target.ColdUntil), Trial: c.Trial, LeftOut: leftOut, Kept: c.Target.Kept,
	}
	if vm := s.VMs[c.Target.VM]; vm != nil {
		t.DataCentre, t.Region, t.Distance = vm.DataCentre, route.RegionOf(s, c.Target), route.Distance(s, d.DataCentre, c.Target)
	}
	if !c.ReportedAt.IsZero() {
		t.ReportAge = now.Sub(c.ReportedAt)
	}
	return t
}
