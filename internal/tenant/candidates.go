package tenant

import (
	"slices"
	"strconv"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/membership"
)

// ownerAddresses returns the addresses of the nodes that may be owners: those whose
// registration has not expired, or all if there is none.
func ownerAddresses(s *vanillabarrow.Snapshot) map[string]string {
	all, current := make(map[string]string, len(s.VMs)), make(map[string]string, len(s.VMs))
	for name, vm := range s.VMs {
		all[name] = vm.PeerAddress
		if !vm.Expired {
			current[name] = vm.PeerAddress
		}
	}
	if len(current) == 0 {
		return all
	}
	return current
}

// ownersOf returns the nodes that may own a group. The last ones are in the node's own
// data centre, for the time in which it is cut off.
func (h *Holder) ownersOf(s *vanillabarrow.Snapshot, group int, names []string) []string {
	ranked := membership.Rank("allowances-"+strconv.Itoa(group), names)
	order := slices.Clone(ranked[:min(maxOwners, len(ranked))])
	own, near := s.VMs[h.vm], 0
	for _, name := range ranked {
		if own == nil || near == maxOwners || s.VMs[name].DataCentre != own.DataCentre {
			continue
		}
		near++
		if !slices.Contains(order, name) {
			order = append(order, name)
		}
	}
	return order
}
