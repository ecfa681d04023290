package membership

import (
	"slices"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
	"github.com/vanillabarrow/vanillabarrow/internal/random"
)

// suspectDuration is how long a VM that could not be reached counts as down. It
// is short so that a VM that has recovered gets requests again soon.
const suspectDuration = 2 * time.Second

// standbyReaders is the number of standby readers in a data centre.
const standbyReaders = 2

// Peer is a node as its peers see it.
type Peer struct {
	VM         string `json:"vm"`
	DataCentre string `json:"dataCentre"`
	// Address is the host:port of the node's peer listener.
	Address string `json:"address"`
}

// View is a node's position in the relay tree of its data centre.
type View struct {
	// Rank is the node's rank among the live VMs of its data centre, -1 if it is
	// not one of them.
	Rank int `json:"rank"`
	// Size is the number of live VMs in the data centre. FleetSize is the
	// number of all VMs in all data centres.
	Size      int `json:"size"`
	FleetSize int `json:"fleet"`
	// Reader is set if the node watches the platform.
	Reader bool `json:"reader"`
	// StandbyReader is set for the nodes ranked next after the readers. They
	// read the platform for some time when the readers have no current values.
	StandbyReader bool `json:"deputy"`
	// Depth is the number of hops from the platform along first parents, 0 for a
	// node without a rank.
	Depth int `json:"depth"`
	// FleetReaders and FleetStandbyReaders are the numbers of readers and of
	// standby readers in all data centres.
	FleetReaders        int    `json:"fleetReaders"`
	FleetStandbyReaders int    `json:"-"`
	Parents             []Peer `json:"parents"`
	// PrecedingPeers holds the peers of the data centre with lower ranks, or
	// all of its live ones if the node has no rank.
	PrecedingPeers []Peer `json:"-"`
	// FirstPeers holds the readers and the standby readers of the data centre in the
	// order of their ranks, this node included.
	FirstPeers []Peer `json:"-"`
	// RemoteReaders holds the readers of other data centres, sorted by VM.
	RemoteReaders []Peer `json:"-"`
}

// Table holds the VMs as published and the failures that this node has seen.
type Table struct {
	mu         *kernel.Mutex
	vm         string
	dataCentre string
	readers    int
	// peers and vmStates hold all published VMs by name, this node's included.
	peers    map[string]Peer
	vmStates map[string]vanillabarrow.VMState
	// hasList is set if the VMs come from a VM list, not from a snapshot.
	hasList bool
	// suspects maps VMs to the time until which they count as down.
	suspects map[string]time.Time
	view     View
	// changed is closed and replaced at each update.
	changed chan struct{}
}

// New returns an empty table for the node on the given VM. The argument readers
// is the number of nodes of a data centre that watch the platform.
func New(vm, dataCentre string, readers int) *Table {
	return &Table{
		mu:         kernel.NewMutex(kernel.RankMembership),
		vm:         vm,
		dataCentre: dataCentre,
		readers:    readers,
		peers:      map[string]Peer{},
		vmStates:   map[string]vanillabarrow.VMState{},
		suspects:   map[string]time.Time{},
		view:       View{Rank: -1},
		changed:    make(chan struct{}),
	}
}

// Update replaces the VMs by those of the published values, either of which may
// be nil, and computes the view. Without a VM list, the VMs of the snapshot are
// used and count as live, except expired ones.
func (t *Table) Update(list *vanillabarrow.VMList, snapshot *vanillabarrow.Snapshot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.peers)
	clear(t.vmStates)
	t.hasList = list != nil
	if list != nil {
		for _, vm := range list.VMs {
			t.peers[vm.Name] = Peer{VM: vm.Name, DataCentre: vm.DataCentre, Address: vm.PeerAddress}
			t.vmStates[vm.Name] = vm.State
		}
	} else if snapshot != nil {
		for _, vm := range snapshot.VMs {
			if vm.Expired {
				continue
			}
			t.peers[vm.Name] = Peer{VM: vm.Name, DataCentre: vm.DataCentre, Address: vm.PeerAddress}
			t.vmStates[vm.Name] = vanillabarrow.VMLive
		}
	}
	for vm := range t.suspects {
		if _, ok := t.peers[vm]; !ok {
			delete(t.suspects, vm)
		}
	}
	t.view = t.computeView()
	close(t.changed)
	t.changed = make(chan struct{})
}

// Changed returns a channel that is closed on the next update.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// computeView computes the view with the lock held.
func (t *Table) computeView() View {
	byDataCentre := map[string][]string{}
	for name, peer := range t.peers {
		if t.vmStates[name] == vanillabarrow.VMLive {
			byDataCentre[peer.DataCentre] = append(byDataCentre[peer.DataCentre], name)
		}
	}
	own := Rank(t.dataCentre, byDataCentre[t.dataCentre])
	v := View{Rank: slices.Index(own, t.vm), Size: len(own), FleetSize: len(t.peers)}
	for dc, names := range byDataCentre {
		readers := min(t.readers, len(names))
		v.FleetReaders += readers
		v.FleetStandbyReaders += min(standbyReaders, len(names)-readers)
		if dc != t.dataCentre {
			v.RemoteReaders = append(v.RemoteReaders, t.readersOf(dc, names)...)
		}
	}
	slices.SortFunc(v.RemoteReaders, func(a, b Peer) int { return compareStrings(a.VM, b.VM) })
	v.FirstPeers = t.peersOf(own[:min(len(own), t.readers+standbyReaders)])
	if v.Rank < 0 {
		v.PrecedingPeers = t.peersOf(own)
		return v
	}
	v.Depth = Depth(v.Rank, t.readers)
	v.Reader = v.Rank < t.readers
	v.StandbyReader = !v.Reader && v.Rank < t.readers+standbyReaders
	v.PrecedingPeers = t.peersOf(own[:v.Rank])
	for _, rank := range Parents(v.Rank, t.readers) {
		v.Parents = append(v.Parents, t.peers[own[rank]])
	}
	return v
}

// readersOf returns the readers among the live VMs of a data centre.
func (t *Table) readersOf(dc string, names []string) []Peer {
	ranked := Rank(dc, names)
	return t.peersOf(ranked[:min(t.readers, len(ranked))])
}

func (t *Table) peersOf(names []string) []Peer {
	peers := make([]Peer, len(names))
	for i, name := range names {
		peers[i] = t.peers[name]
	}
	return peers
}

func compareStrings(a, b string) int {
	if a < b {
		return -1
	}
	if a > b {
		return 1
	}
	return 0
}

// View returns the node's current view.
func (t *Table) View() View {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.view
}

// Live implements vanillabarrow.Members. A VM accepts new requests if it is
// listed as live, or there is no list, and it is not suspected to be down.
func (t *Table) Live(vm string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.hasList && t.vmStates[vm] != vanillabarrow.VMLive {
		return false
	}
	until, suspected := t.suspects[vm]
	return !suspected || time.Now().After(until)
}

// Address returns the peer address of a VM, empty for an unknown one.
func (t *Table) Address(vm string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.peers[vm].Address
}

// ListedLive reports whether the published list has the VM as live, or there is
// no list. It ignores suspects, which only this node knows, so that all
// nodes with the same list agree.
func (t *Table) ListedLive(vm string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.hasList || t.vmStates[vm] == vanillabarrow.VMLive
}

// Leaving reports whether the published list has the VM as leaving.
func (t *Table) Leaving(vm string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.vmStates[vm] == vanillabarrow.VMLeaving
}

// Suspect makes a VM that could not be reached count as down for
// suspectDuration. VMs that are not listed are ignored.
func (t *Table) Suspect(vm string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.peers[vm]; ok {
		t.suspects[vm] = time.Now().Add(suspectDuration)
	}
}

// RandomPeers returns up to n live nodes other than this one, in random order.
func (t *Table) RandomPeers(n int) []Peer {
	t.mu.Lock()
	peers := make([]Peer, 0, len(t.peers))
	for name, peer := range t.peers {
		if name != t.vm && t.vmStates[name] == vanillabarrow.VMLive {
			peers = append(peers, peer)
		}
	}
	t.mu.Unlock()
	slices.SortFunc(peers, func(a, b Peer) int { return compareStrings(a.VM, b.VM) })
	return Sample(peers, n)
}

// Suspects returns the VMs that currently count as down, sorted, for the state
// dump.
func (t *Table) Suspects() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	names := make([]string, 0, len(t.suspects))
	for vm, until := range t.suspects {
		if time.Now().Before(until) {
			names = append(names, vm)
		}
	}
	slices.Sort(names)
	return names
}

// Sample returns up to n of the peers in random order.
func Sample(peers []Peer, n int) []Peer {
	shuffled := slices.Clone(peers)
	random.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	return shuffled[:min(n, len(shuffled))]
}

// Addresses returns the addresses of the peers, in their order.
func Addresses(peers []Peer) []string {
	addresses := make([]string, len(peers))
	for i, p := range peers {
		addresses[i] = p.Address
	}
	return addresses
}
