// Package follow provides what the followers of all profiles share: the parents
// in use, hints, the backoff between attempts, and the wiring as a plug-in. What
// is followed, and when, is decided by each follower.
package follow

import (
	"slices"
	"sync/atomic"
)

// ParentCount is the number of nodes that a node follows: one in its own data
// centre and one in another, so that no single network partition separates it
// from updates.
const ParentCount = 2

// Parents holds the addresses of the nodes that a node follows, by slot. The
// zero value holds none.
type Parents struct {
	slots [ParentCount]atomic.Pointer[string]
}

// Set notes that the node at the address is followed in a slot.
func (p *Parents) Set(slot int, address string) { p.slots[slot].Store(&address) }

// Clear notes that no node is followed in a slot.
func (p *Parents) Clear(slot int) { p.slots[slot].Store(nil) }

// Addresses returns the addresses of the followed nodes in the order of their
// slots.
func (p *Parents) Addresses() []string {
	var addresses []string
	for i := range p.slots {
		if address := p.slots[i].Load(); address != nil {
			addresses = append(addresses, *address)
		}
	}
	return addresses
}

// Others returns the addresses other than the node's own, as a new list.
func Others(addresses []string, self string) []string {
	return slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return a == self })
}
