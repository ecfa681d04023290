package membership

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/property"
)

func vmNames(n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("vm-%d", i)
	}
	return list
}

// TestRankProperties checks that the ranking does not depend on the order of
// the input and that removing a name does not change the order of the others.
func TestRankProperties(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		list := vmNames(rapid.IntRange(1, 50).Draw(t, "n"))
		ranked := Rank("dc", list)
		shuffled := rapid.Permutation(list).Draw(t, "order")
		require.Equal(t, ranked, Rank("dc", shuffled))
		left := rapid.SampledFrom(list).Draw(t, "gone")
		without := func(s []string) []string {
			return slices.DeleteFunc(slices.Clone(s), func(n string) bool { return n == left })
		}
		require.Equal(t, without(ranked), Rank("dc", without(list)))
	})
}

func TestParents(t *testing.T) {
	tests := map[string]struct {
		rank    int
		parents []int
		depth   int
	}{
		"reader":                {2, nil, 1},
		"first child":           {3, []int{0, 1}, 2},
		"last child of rank 0":  {10, []int{0, 1}, 2},
		"first child of rank 1": {11, []int{1, 2}, 2},
		"depth 3":               {27, []int{3, 4}, 3},
		"rank 219":              {219, []int{27, 28}, 4},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, tt.parents, Parents(tt.rank, DefaultReaders))
			require.Equal(t, tt.depth, Depth(tt.rank, DefaultReaders))
		})
	}
	children := map[int]int{}
	for rank := range 220 {
		for _, p := range Parents(rank, DefaultReaders) {
			require.Less(t, p, rank)
			children[p]++
		}
	}
	for rank, n := range children {
		require.LessOrEqual(t, n, 2*FanOut, "rank %d", rank)
	}
}

// vmList returns a list of six VMs in two data centres, live unless stated
// otherwise.
func vmList(states map[string]vanillabarrow.VMState) *vanillabarrow.VMList {
	l := &vanillabarrow.VMList{}
	for i, name := range vmNames(6) {
		state := vanillabarrow.VMLive
		if s, ok := states[name]; ok {
			state = s
		}
		l.VMs = append(l.VMs, vanillabarrow.VMEntry{Name: name, DataCentre: fmt.Sprintf("dc%d", i%2), PeerAddress: name + ":1", State: state})
	}
	return l
}

func TestViewFollowsVMList(t *testing.T) {
	tests := map[string]struct {
		states map[string]vanillabarrow.VMState
		rank   int
		size   int
		live   bool
	}{
		"all live":          {nil, 0, 3, true},
		"another VM leaves": {map[string]vanillabarrow.VMState{"vm-2": vanillabarrow.VMLeaving}, 0, 2, true},
		"own VM leaves":     {map[string]vanillabarrow.VMState{"vm-0": vanillabarrow.VMLeaving}, -1, 2, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			table := New("vm-0", "dc0", DefaultReaders)
			changed := table.Changed()
			table.Update(vmList(tt.states), nil)
			<-changed
			v := table.View()
			require.Equal(t, tt.size, v.Size)
			require.Equal(t, tt.rank < 0, v.Rank < 0)
			require.Equal(t, tt.live, table.Live("vm-0"))
			require.Equal(t, !tt.live, table.Leaving("vm-0"))
			require.Equal(t, 6, v.FleetSize)
			require.Len(t, v.RemoteReaders, 3)
			require.Equal(t, "vm-1:1", table.Address("vm-1"))
		})
	}
}

func TestSuspectExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := New("vm-0", "dc0", DefaultReaders)
		table.Update(vmList(nil), nil)
		table.Suspect("vm-1")
		table.Suspect("unknown")
		require.False(t, table.Live("vm-1"))
		require.True(t, table.ListedLive("vm-1"))
		require.Equal(t, []string{"vm-1"}, table.Suspects())
		time.Sleep(suspectDuration + time.Millisecond)
		require.True(t, table.Live("vm-1"))
		require.Empty(t, table.Suspects())
	})
}

func TestSnapshotReplacesMissingList(t *testing.T) {
	table := New("vm-0", "a", DefaultReaders)
	table.Update(nil, &vanillabarrow.Snapshot{VMs: map[string]*vanillabarrow.VM{"vm-0": {Name: "vm-0", DataCentre: "a"}}})
	require.Equal(t, 0, table.View().Rank)
	require.True(t, table.Live("another"), "without a list every VM counts as live")
}
