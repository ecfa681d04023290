// Package membership computes who reads the platform and who relays to whom.
// Every node computes the same from the same published lists.
package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// DefaultReaders is the usual number of nodes in a data centre that watch the
	// platform.
	DefaultReaders = 3
	// FanOut is the number of children of a node in the relay tree.
	FanOut = 8
)

// Rank orders the names by rendezvous hash for the key, first rank first. A
// join or a leave moves no other name relative to the rest.
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

func score(key, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(name)
	return d.Sum64()
}

// Parents returns the ranks of the parents of a rank: none for one of the
// readers, which are the first ranks, and two where there are two before it.
// Parents have lower ranks, so the tree has no cycle.
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

// Depth returns the number of hops from the platform to the rank.
func Depth(rank, readers int) int {
	depth := 1
	for rank >= readers {
		rank = (rank - readers) / FanOut
		depth++
	}
	return depth
}
