package tenant

import (
	"errors"
	"maps"
	"slices"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
	"github.com/vanillabarrow/vanillabarrow/internal/random"
)

const (
	// reportInterval is the interval of a node's reports to each owner. A lease
	// survives one lost report.
	reportInterval = 500 * time.Millisecond
	// avoidTime is the interval at which an owner that does not respond is tried again.
	avoidTime = 2 * time.Second
	// maxFailures is the number of consecutive reports without a reply after which the
	// next owner is used.
	maxFailures = 2
	// maxOwners is the number of nodes, of all and of those in a node's data centre,
	// that are tried as the owner of a group before the node itself.
	maxOwners = 3
)

func spread(d time.Duration) time.Duration { return random.Duration(d / 2) }

// Call is a report to one node. An empty Address means that the node itself is the
// owner.
type Call struct {
	VM      string
	Address string
	Report  vanillabarrow.AllowanceReport
	SentAt  time.Time
}

// OwnerChange says that a group has got another owner.
type OwnerChange struct {
	Group         int
	Owner, Before string
}

// heldGroup is a node's relation to the owner of one group.
type heldGroup struct {
	// order lists the nodes that may own the group, the preferred ones first.
	order []string
	// vm is the node that reports go to, empty for none, and owner its incarnation
	// once it has replied.
	vm, owner string
	// contact is the time of the last report that owner may have received, zero if no
	// owner counts the node.
	contact time.Time
	// validUntil is the end of the lease on the tokens of the group's tenants.
	validUntil time.Time
	lastVM     string
}

// destination is the state of the reports to one node.
type destination struct {
	inFlight bool
	sentAt   time.Time
	failures int
	// avoidUntil is set while the node is not used as an owner. It is the time of the
	// next check whether it responds.
	avoidUntil time.Time
}

// Holder keeps the tokens of a node and decides which reports it sends. It admits
// requests by these tokens alone.
type Holder struct {
	vm, incarnation string
	mu              *kernel.Mutex
	addresses       map[string]string
	tenants         map[string]*vanillabarrow.Tenant
	active          bool
	groups          [groupCount]heldGroup
	destinations    map[string]*destination
	accounts        map[string]*account
	sequence        uint64
	changes         []OwnerChange
}

// NewHolder returns the holder of a node that starts now.
func NewHolder(vm, incarnation string, now time.Time) *Holder {
	h := &Holder{
		vm: vm, incarnation: incarnation, mu: kernel.NewMutex(kernel.RankAllowances),
		destinations: map[string]*destination{}, accounts: map[string]*account{},
	}
	for i := range h.groups {
		// A previous incarnation of the node may have reported until now.
		h.groups[i].contact = now
	}
	return h
}

// Configure applies a snapshot.
func (h *Holder) Configure(s *vanillabarrow.Snapshot) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.active = false
	for _, t := range s.Tenants {
		h.active = h.active || t.RequestRate > 0
	}
	h.tenants = s.Tenants
	addresses := ownerAddresses(s)
	if maps.Equal(addresses, h.addresses) {
		return
	}
	h.addresses = addresses
	names := slices.Sorted(maps.Keys(addresses))
	for i := range h.groups {
		h.groups[i].order = h.ownersOf(s, i, names)
	}
	for vm, d := range h.destinations {
		if addresses[vm] == "" && vm != h.vm && !d.inFlight {
			delete(h.destinations, vm)
		}
	}
}

// Take takes a token for a request. If the node has none and the owner may have some,
// it returns a waiter for the owner's reply.
func (h *Holder) Take(name string, now time.Time) (*vanillabarrow.Refusal, Waiter) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a := h.accounts[name]
	if a == nil {
		a = &account{group: GroupOf(name), measuredAt: now.Add(-rateTime)}
		h.accounts[name] = a
	}
	a.arrived++
	a.lastRequest = now
	if now.After(h.groups[a.group].validUntil) {
		a.held = 0
	}
	if a.take() {
		return nil, nil
	}
	if now.Before(a.refusedUntil) {
		return a.refusal(now), nil
	}
	w := make(Waiter, 1)
	a.waiters = append(a.waiters, w)
	return nil, w
}

// Abandon ends the wait of a request. It returns the refusal, or nil if the request was
// admitted meanwhile.
func (h *Holder) Abandon(name string, w Waiter, now time.Time) *vanillabarrow.Refusal {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case refusal := <-w:
		return refusal
	default:
	}
	a := h.accounts[name]
	a.waiters = slices.DeleteFunc(a.waiters, func(other Waiter) bool { return other == w })
	a.available = now.Add(reportInterval)
	return a.refusal(now)
}

// Due returns the reports to send now. The caller has to pass the result of each to
// Done.
func (h *Holder) Due(now time.Time) []Call {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.active {
		return nil
	}
	urgent := [groupCount]bool{}
	byGroup := [groupCount][]string{}
	for name, a := range h.accounts {
		if t := h.tenants[name]; len(a.waiters) == 0 && (t == nil || t.RequestRate <= 0) {
			delete(h.accounts, name)
			continue
		}
		byGroup[a.group] = append(byGroup[a.group], name)
		urgent[a.group] = urgent[a.group] || len(a.waiters) > 0
	}
	groups := map[string][]int{}
	due := map[string]bool{}
	for i := range h.groups {
		vm := h.chooseOwner(i)
		groups[vm] = append(groups[vm], i)
		due[vm] = due[vm] || urgent[i]
	}
	var calls []Call
	for _, vm := range slices.Sorted(maps.Keys(groups)) {
		d := h.destination(vm)
		if d.inFlight || !due[vm] && now.Sub(d.sentAt) < reportInterval {
			continue
		}
		c := h.newCall(vm, d, now)
		for _, i := range groups[vm] {
			slices.Sort(byGroup[i])
			c.Report.Groups = append(c.Report.Groups, h.groupReport(i, byGroup[i], now))
		}
		calls = append(calls, c)
	}
	return append(calls, h.checks(now)...)
}

// chooseOwner returns the node to which the next report about a group goes: the
// preferred one that responds. The last report to the previous owner says that it is
// the last.
func (h *Holder) chooseOwner(group int) string {
	g := &h.groups[group]
	preferred := h.preferred(g)
	if g.vm != "" && g.vm != h.vm && h.addresses[g.vm] == "" {
		// The owner's registration expired. It can't be told that this node leaves, so
		// the next owner has to wait until the node is no longer counted there.
		g.owner = ""
	}
	if g.vm != preferred && (g.vm == "" || g.owner == "" || h.avoids(g.vm)) {
		g.vm = preferred
		if g.lastVM != "" && g.lastVM != preferred {
			h.changes = append(h.changes, OwnerChange{Group: group, Owner: preferred, Before: g.lastVM})
		}
		g.lastVM = preferred
	}
	return g.vm
}

func (h *Holder) preferred(g *heldGroup) string {
	for _, vm := range g.order {
		if !h.avoids(vm) {
			return vm
		}
	}
	return h.vm
}

func (h *Holder) avoids(vm string) bool {
	d := h.destinations[vm]
	return d != nil && !d.avoidUntil.IsZero()
}

func (h *Holder) destination(vm string) *destination {
	d := h.destinations[vm]
	if d == nil {
		d = &destination{}
		h.destinations[vm] = d
	}
	return d
}

func (h *Holder) newCall(vm string, d *destination, now time.Time) Call {
	h.sequence++
	d.inFlight, d.sentAt = true, now
	c := Call{VM: vm, SentAt: now, Report: vanillabarrow.AllowanceReport{VM: h.vm, Incarnation: h.incarnation, Sequence: h.sequence}}
	if vm != h.vm {
		c.Address = h.addresses[vm]
	}
	return c
}

// groupReport returns the part of a report about a group and the accounts in it.
// Accounts that are not used any more are removed.
func (h *Holder) groupReport(group int, names []string, now time.Time) vanillabarrow.GroupReport {
	g := &h.groups[group]
	part := vanillabarrow.GroupReport{Group: group, Owner: g.owner, SinceOwner: countTime, Leaving: g.vm != h.preferred(g)}
	if !g.contact.IsZero() {
		part.SinceOwner = min(countTime, now.Sub(g.contact))
	}
	for _, name := range names {
		a := h.accounts[name]
		if now.After(g.validUntil) {
			a.held = 0
		}
		if part.Leaving {
			continue
		}
		d := a.report(name, now)
		if d.Want == 0 {
			delete(h.accounts, name)
		}
		part.Tenants = append(part.Tenants, d)
	}
	return part
}

// checks returns empty reports to the nodes that did not respond, to find out whether
// they do again.
func (h *Holder) checks(now time.Time) []Call {
	var calls []Call
	for _, vm := range slices.Sorted(maps.Keys(h.destinations)) {
		d := h.destinations[vm]
		if !h.avoids(vm) || d.inFlight || now.Before(d.avoidUntil) || h.addresses[vm] == "" || vm == h.vm {
			continue
		}
		calls = append(calls, h.newCall(vm, d, now))
	}
	return calls
}

// Done applies the result of a report.
func (h *Holder) Done(c Call, reply vanillabarrow.AllowanceReply, err error, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	d := h.destination(c.VM)
	d.inFlight = false
	if err != nil {
		h.fail(c, d, err, now)
		return
	}
	d.failures = 0
	if reply.Leaving {
		d.avoidUntil = now.Add(avoidTime)
	} else {
		d.avoidUntil = time.Time{}
	}
	for _, part := range c.Report.Groups {
		g := &h.groups[part.Group]
		if part.Leaving || reply.Leaving {
			g.vm, g.owner, g.contact = "", "", time.Time{}
			continue
		}
		g.owner, g.contact, g.validUntil = reply.Owner, c.SentAt, c.SentAt.Add(leaseTime)
	}
	for _, grant := range reply.Grants {
		if a := h.accounts[grant.Tenant]; a != nil {
			a.apply(grant, now)
		}
	}
}

// fail records a report without a reply.
func (h *Holder) fail(c Call, d *destination, err error, now time.Time) {
	delivered := !errors.Is(err, vanillabarrow.ErrNotDelivered)
	d.failures++
	if !delivered || d.failures >= maxFailures || len(c.Report.Groups) == 0 {
		d.avoidUntil = now.Add(avoidTime)
	}
	// The next report is sent at once.
	d.sentAt = time.Time{}
	for _, part := range c.Report.Groups {
		if delivered {
			h.groups[part.Group].contact = c.SentAt
		}
	}
}

// Changes returns the changes of owners since the last call.
func (h *Holder) Changes() []OwnerChange {
	h.mu.Lock()
	defer h.mu.Unlock()
	changes := h.changes
	h.changes = nil
	return changes
}
