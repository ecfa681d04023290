// Package membership computes from the published list of VMs which nodes read
// the platform and which nodes each node follows in the relay tree. All nodes
// compute the same result from the same list.
package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// DefaultReaders is the default number of nodes of a data centre that watch
	// the platform.
	DefaultReaders = 3
	// FanOut is the number of children of a node in the relay tree, not counting
	// those that have it as their second parent.
	FanOut = 8
)

// Rank sorts the names by their rendezvous hash (highest random weight) for the
// key, rank 0 first. Adding or removing a name does not change the order of the
// others.
func Rank(key string, names []string) []string {
	type scored struct {
		name  string
		score uint64
	}
	list := make([]scored, len(names))
	for i, name := range names {
		list[i] = scored{name, score(key, name)}
	}
	slices.SortFunc(list, func(a, b scored) int {
		if c := cmp.Compare(b.score, a.score); c != 0 {
			return c
		}
		return cmp.Compare(a.name, b.name)
	})
	ranked := make([]string, len(list))
	for i, s := range list {
		ranked[i] = s.name
	}
	return ranked
}

// score returns the rendezvous hash of a name for a key.
func score(key, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(name)
	return d.Sum64()
}

// Parents returns the ranks of the parents of a rank in the relay tree. The
// readers are the first ranks and have none. Others have two, so that they can
// do without the first one, or one if only one rank precedes theirs. Parents
// have lower ranks, so there are no cycles.
func Parents(rank, readers int) []int {
	if rank < readers {
		return nil
	}
	first := (rank - readers) / FanOut
	second := first + 1
	if second >= rank {
		second = first - 1
	}
	if second < 0 {
		return []int{first}
	}
	return []int{first, second}
}

// Depth returns the number of hops from the platform to a rank along first
// parents.
func Depth(rank, readers int) int {
	depth := 1
	for rank >= readers {
		rank = (rank - readers) / FanOut
		depth++
	}
	return depth
}
