package tenant

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
)

const (
	// groupCount is the number of groups that tenants are divided into. A group has
	// one owner, so that a node sends at most this number of reports at a time. More
	// groups would spread the owners' work, and cost every node more reports.
	groupCount = 8
	// leaseTime is the time from a report to the end of the tokens that its reply
	// confirmed.
	leaseTime = 1200 * time.Millisecond
	// countTime is the time for which an owner counts a node after its last report. It
	// exceeds leaseTime by more than the timeout of a report, so that the tokens of a
	// node that is no longer counted have ended.
	countTime = 1500 * time.Millisecond
	// advanceInterval is the interval at which an owner looks for silent nodes. It
	// bounds the work for a report in a large fleet.
	advanceInterval = 10 * time.Millisecond
	// lapsedTime is the time for which the part of a node whose registration expired
	// is not given to others. A data centre may be cut off for that long.
	lapsedTime = 10 * time.Minute
)

// GroupOf returns the group of a tenant.
func GroupOf(tenant string) int { return int(xxhash.Sum64String(tenant) % groupCount) }

// reporter is a node that reports to an owner.
type reporter struct {
	incarnation string
	sequence    uint64
	heardAt     time.Time
	// countFrom is the time from which on no other owner counts the node.
	countFrom time.Time
}

// ownedGroup is the state of one group at an owner. The shares are those of the nodes
// that it hears among all registered ones.
type ownedGroup struct {
	reporters                map[string]*reporter
	buckets                  map[string]*bucket
	rateShare, capacityShare float64
	// divided is the sum of the rate shares over time, in seconds, until advancedAt.
	divided    float64
	advancedAt time.Time
	// changed is set when a node began or ceased to report since then.
	changed bool
}

// Owner implements vanillabarrow.AllowanceOwner. Each registered node stands for an
// equal part of an allowance, and an owner divides the parts of the nodes that report
// to it. As a node is counted by one owner at a time, owners in separate partitions
// together divide no more than the whole.
type Owner struct {
	cfg         vanillabarrow.Configuration
	incarnation string
	mu          *kernel.Mutex
	groups      [groupCount]ownedGroup
	leaving     bool
	// lapsed maps nodes whose registration expired to when that was last seen.
	// parted is the snapshot in which they were last looked for.
	lapsed map[string]time.Time
	parted *vanillabarrow.Snapshot
}

// NewOwner returns an owner with empty buckets.
func NewOwner(cfg vanillabarrow.Configuration, incarnation string) *Owner {
	o := &Owner{cfg: cfg, incarnation: incarnation, mu: kernel.NewMutex(kernel.RankAllowances), lapsed: map[string]time.Time{}}
	for i := range o.groups {
		o.groups[i] = ownedGroup{reporters: map[string]*reporter{}, buckets: map[string]*bucket{}}
	}
	return o
}

// Leave makes the owner hand its groups to the next ones, because the node shuts down.
func (o *Owner) Leave() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.leaving = true
}

// Grant implements vanillabarrow.AllowanceOwner.
func (o *Owner) Grant(report vanillabarrow.AllowanceReport, now time.Time) (vanillabarrow.AllowanceReply, bool) {
	snapshot := o.cfg.Snapshot()
	o.mu.Lock()
	defer o.mu.Unlock()
	reply := vanillabarrow.AllowanceReply{Owner: o.incarnation, Leaving: o.leaving || snapshot == nil}
	if reply.Leaving {
		return reply, true
	}
	parts := o.parts(snapshot, now)
	for _, part := range report.Groups {
		if part.Group < 0 || part.Group >= groupCount {
			continue
		}
		g := &o.groups[part.Group]
		if !g.observe(report, part, o.incarnation, now) {
			return vanillabarrow.AllowanceReply{}, false
		}
		if g.changed || now.Sub(g.advancedAt) >= advanceInterval {
			g.advance(snapshot, parts, now)
		}
		reply.Grants = append(reply.Grants, g.grant(snapshot, report.VM, part, now)...)
	}
	return reply, true
}

// parts returns the number of nodes that have a part of each allowance. Nodes whose
// registration expired keep it for lapsedTime, as they may be cut off and still admit
// requests.
func (o *Owner) parts(s *vanillabarrow.Snapshot, now time.Time) int {
	if s != o.parted {
		o.parted = s
		for name, vm := range s.VMs {
			if vm.Expired {
				o.lapsed[name] = now
			} else {
				delete(o.lapsed, name)
			}
		}
	}
	n := len(s.VMs)
	for name, seen := range o.lapsed {
		switch {
		case now.Sub(seen) > lapsedTime:
			delete(o.lapsed, name)
		case s.VMs[name] == nil:
			n++
		}
	}
	return n
}

// observe records a node's report. It returns false for a report that arrives after a
// later one.
func (g *ownedGroup) observe(report vanillabarrow.AllowanceReport, part vanillabarrow.GroupReport, incarnation string, now time.Time) bool {
	r := g.reporters[report.VM]
	if r != nil && r.incarnation == report.Incarnation && report.Sequence <= r.sequence {
		return false
	}
	if part.Leaving {
		g.forget(report.VM)
		return true
	}
	if r == nil || part.Owner != incarnation {
		r = &reporter{countFrom: now.Add(max(0, countTime-part.SinceOwner))}
		g.reporters[report.VM] = r
		g.changed = true
	}
	r.incarnation, r.sequence, r.heardAt = report.Incarnation, report.Sequence, now
	return true
}

// forget removes a node and the tokens that it holds.
func (g *ownedGroup) forget(vm string) {
	g.changed = true
	delete(g.reporters, vm)
	for _, b := range g.buckets {
		delete(b.holdings, vm)
	}
}

// advance forgets silent nodes and updates the shares. The buckets are refilled by the
// previous shares first. Parts is the number of nodes that have a part.
func (g *ownedGroup) advance(s *vanillabarrow.Snapshot, parts int, now time.Time) {
	nodes := float64(max(1, parts))
	g.changed = false
	g.divided += g.rateShare * max(0, now.Sub(g.advancedAt).Seconds())
	g.advancedAt = now
	heard, counted := 0, 0
	for vm, r := range g.reporters {
		if now.Sub(r.heardAt) > countTime {
			g.forget(vm)
			continue
		}
		if s.VMs[vm] == nil {
			continue
		}
		heard++
		if !now.Before(r.countFrom) {
			counted++
		}
	}
	rateShare, capacityShare := float64(counted)/nodes, float64(heard)/nodes
	if rateShare == g.rateShare && capacityShare == g.capacityShare {
		return
	}
	if capacityShare > g.capacityShare {
		// A node that was counted by another owner meanwhile may have used up a tenant
		// of which this one has no bucket yet.
		g.divided = 0
	}
	for _, b := range g.buckets {
		b.refill(min(rateShare, g.rateShare), capacityShare, now)
	}
	g.rateShare, g.capacityShare = rateShare, capacityShare
}

// grant updates the buckets by a node's part of a report.
func (g *ownedGroup) grant(s *vanillabarrow.Snapshot, vm string, part vanillabarrow.GroupReport, now time.Time) []vanillabarrow.TokenGrant {
	if part.Leaving {
		return nil
	}
	grants := make([]vanillabarrow.TokenGrant, 0, len(part.Tenants))
	listed := make(map[string]bool, len(part.Tenants))
	for _, d := range part.Tenants {
		listed[d.Tenant] = true
		t := s.Tenants[d.Tenant]
		if t == nil || t.RequestRate <= 0 {
			// The versions of the nodes differ. The tenant may be new or have no limit.
			delete(g.buckets, d.Tenant)
			grants = append(grants, grantWithoutLimit(t, d))
			continue
		}
		b := g.buckets[d.Tenant]
		if b == nil {
			b = newBucket(t, g.divided, now)
			g.buckets[d.Tenant] = b
		}
		b.refill(g.rateShare, g.capacityShare, now)
		b.rate, b.capacity = t.RequestRate, capacity(t)
		grants = append(grants, b.grant(vm, d, g.rateShare, g.capacityShare))
	}
	for name, b := range g.buckets {
		if !listed[name] {
			delete(b.holdings, vm)
		}
		if t := s.Tenants[name]; t == nil || t.RequestRate <= 0 {
			delete(g.buckets, name)
		}
	}
	return grants
}

// grantWithoutLimit returns the grant for a tenant that the owner does not limit: what
// the node wants, or nothing yet if the owner doesn't know the tenant.
func grantWithoutLimit(t *vanillabarrow.Tenant, d vanillabarrow.TenantDemand) vanillabarrow.TokenGrant {
	if t == nil {
		return vanillabarrow.TokenGrant{Tenant: d.Tenant, RetryAfter: minRetryAfter}
	}
	return vanillabarrow.TokenGrant{Tenant: d.Tenant, Tokens: max(0, d.Want-d.Held)}
}

// NodeUse is what one node spends of an allowance.
type NodeUse struct {
	VM         string  `json:"vm"`
	ServedRate float64 `json:"servedRate"`
	Tokens     int     `json:"tokens"`
}

// Use is the state of an allowance at its owner, with rates per second.
type Use struct {
	Tenant     string  `json:"tenant"`
	Limit      float64 `json:"limit"`
	Burst      float64 `json:"burst"`
	Share      float64 `json:"share"`
	DemandRate float64 `json:"demandRate"`
	ServedRate float64 `json:"servedRate"`
	// Tokens is the number of tokens that no node holds, Held that of the others.
	Tokens float64 `json:"tokens"`
	Held   int     `json:"held"`
	// Nodes holds the nodes that spend most.
	Nodes []NodeUse `json:"nodes"`
}

// maxNodes is the number of nodes in a Use.
const maxNodes = 5

// Uses returns the allowances that the node divides, those with the highest demand
// first, at most n.
func (o *Owner) Uses(n int) []Use {
	snapshot := o.cfg.Snapshot()
	uses := []Use{}
	if snapshot == nil {
		return uses
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for i := range o.groups {
		for name, b := range o.groups[i].buckets {
			if t := snapshot.Tenants[name]; t != nil && len(b.holdings) > 0 {
				uses = append(uses, b.use(t, o.groups[i].rateShare))
			}
		}
	}
	slices.SortFunc(uses, func(a, b Use) int {
		return cmp.Or(cmp.Compare(b.DemandRate, a.DemandRate), cmp.Compare(a.Tenant, b.Tenant))
	})
	return uses[:min(n, len(uses))]
}

func (b *bucket) use(t *vanillabarrow.Tenant, share float64) Use {
	u := Use{Tenant: t.Name, Limit: t.RequestRate, Burst: t.Burst, Share: share, Tokens: b.level, Held: b.held()}
	for vm, h := range b.holdings {
		u.DemandRate += h.demand
		u.ServedRate += h.served
		u.Nodes = append(u.Nodes, NodeUse{VM: vm, ServedRate: h.served, Tokens: h.tokens})
	}
	slices.SortFunc(u.Nodes, func(a, b NodeUse) int {
		return cmp.Or(cmp.Compare(b.ServedRate, a.ServedRate), cmp.Compare(a.VM, b.VM))
	})
	u.Nodes = u.Nodes[:min(maxNodes, len(u.Nodes))]
	return u
}
