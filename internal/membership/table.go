package membership

import (
	"slices"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
	"github.com/vanillabarrow/vanillabarrow/internal/random"
)

// suspicionTime is how long a VM that did not answer counts as down. A short
// time lets a VM that is back get work soon.
const suspicionTime = 2 * time.Second

// deputies is the number of nodes of a data centre that stand in for readers.
const deputies = 2

// Peer is another node.
type Peer struct {
	VM         string `json:"vm"`
	DataCentre string `json:"dataCentre"`
	Address    string `json:"address"`
}

// View is a node's place among the VMs of its data centre.
type View struct {
	// Rank is the node's own rank, -1 while it is in no list.
	Rank int `json:"rank"`
	// Size is the number of VMs in the data centre, Fleet that of all.
	Size      int `json:"size"`
	FleetSize int `json:"fleet"`
	// Reader is set for a node that watches the platform.
	Reader bool `json:"reader"`
	// StandbyReader is set for the nodes that stay with the platform for a while when
	// no reader has a word of it.
	StandbyReader bool `json:"deputy"`
	// FleetReaders is the number of readers in all data centres.
	FleetReaders int    `json:"fleetReaders"`
	Parents      []Peer `json:"parents"`
	// PrecedingPeers holds the peers of the data centre with lower ranks.
	PrecedingPeers []Peer `json:"-"`
	// RemoteReaders holds the readers of other data centres.
	RemoteReaders []Peer `json:"-"`
}

// Table holds the members as published and as seen by this node.
type Table struct {
	mu         *kernel.Mutex
	vm         string
	dataCentre string
	readers    int
	peers      map[string]Peer
	states     map[string]vanillabarrow.VMState
	listed     bool
	suspects   map[string]time.Time
	view       View
	changed    chan struct{}
}

// New returns a table for the node on the given VM. Readers is the number of
// nodes in a data centre that watch the platform.
func New(vm, dataCentre string, readers int) *Table {
	return &Table{
		mu:         kernel.NewMutex(kernel.RankMembership),
		vm:         vm,
		dataCentre: dataCentre,
		readers:    readers,
		peers:      map[string]Peer{},
		states:     map[string]vanillabarrow.VMState{},
		suspects:   map[string]time.Time{},
		view:       View{Rank: -1},
		changed:    make(chan struct{}),
	}
}

// Update computes the members from the published values. Either may be nil.
// The VM list decides which VMs exist; without one, every VM of the snapshot
// does.
func (t *Table) Update(list *vanillabarrow.VMList, snapshot *vanillabarrow.Snapshot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.peers)
	clear(t.states)
	t.listed = list != nil
	if list != nil {
		for _, vm := range list.VMs {
			t.peers[vm.Name] = Peer{VM: vm.Name, DataCentre: vm.DataCentre, Address: vm.PeerAddress}
			t.states[vm.Name] = vm.State
		}
	} else if snapshot != nil {
		for _, vm := range snapshot.VMs {
			if vm.Expired {
				continue
			}
			t.peers[vm.Name] = Peer{VM: vm.Name, DataCentre: vm.DataCentre, Address: vm.PeerAddress}
			t.states[vm.Name] = vanillabarrow.VMLive
		}
	}
	for vm := range t.suspects {
		if _, ok := t.peers[vm]; !ok {
			delete(t.suspects, vm)
		}
	}
	t.view = t.compute()
	close(t.changed)
	t.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next update.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

func (t *Table) compute() View {
	byDataCentre := map[string][]string{}
	for name, peer := range t.peers {
		if t.states[name] == vanillabarrow.VMLive {
			byDataCentre[peer.DataCentre] = append(byDataCentre[peer.DataCentre], name)
		}
	}
	own := Rank(t.dataCentre, byDataCentre[t.dataCentre])
	v := View{Rank: slices.Index(own, t.vm), Size: len(own), FleetSize: len(t.peers)}
	for dc, names := range byDataCentre {
		v.FleetReaders += min(t.readers, len(names))
		if dc != t.dataCentre {
			v.RemoteReaders = append(v.RemoteReaders, t.firstRanks(dc, names)...)
		}
	}
	slices.SortFunc(v.RemoteReaders, func(a, b Peer) int { return cmpString(a.VM, b.VM) })
	if v.Rank < 0 {
		v.PrecedingPeers = t.peersOf(own)
		return v
	}
	v.Reader = v.Rank < t.readers
	v.StandbyReader = !v.Reader && v.Rank < t.readers+deputies
	v.PrecedingPeers = t.peersOf(own[:v.Rank])
	for _, rank := range Parents(v.Rank, t.readers) {
		v.Parents = append(v.Parents, t.peers[own[rank]])
	}
	return v
}

func (t *Table) firstRanks(dc string, names []string) []Peer {
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

func cmpString(a, b string) int {
	if a < b {
		return -1
	}
	if a > b {
		return 1
	}
	return 0
}

// View returns the node's place.
func (t *Table) View() View {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.view
}

// Live implements vanillabarrow.Members.
func (t *Table) Live(vm string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.listed && t.states[vm] != vanillabarrow.VMLive {
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

// ListedLive reports whether the published list has the VM as live. It leaves out
// what only this node has seen, so that all nodes agree on it.
func (t *Table) ListedLive(vm string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.listed || t.states[vm] == vanillabarrow.VMLive
}

// Leaving reports whether the published list has the VM as leaving.
func (t *Table) Leaving(vm string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.states[vm] == vanillabarrow.VMLeaving
}

// Suspect notes that the VM refused a connection or announced its end.
func (t *Table) Suspect(vm string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.peers[vm]; ok {
		t.suspects[vm] = time.Now().Add(suspicionTime)
	}
}

// RandomPeers returns up to n other nodes in random order.
func (t *Table) RandomPeers(n int) []Peer {
	t.mu.Lock()
	peers := make([]Peer, 0, len(t.peers))
	for name, peer := range t.peers {
		if name != t.vm && t.states[name] == vanillabarrow.VMLive {
			peers = append(peers, peer)
		}
	}
	t.mu.Unlock()
	slices.SortFunc(peers, func(a, b Peer) int { return cmpString(a.VM, b.VM) })
	return Sample(peers, n)
}

// Suspects returns the VMs that count as down, for the state dump.
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
