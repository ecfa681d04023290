//go:build race || debug

package kernel

import (
	"fmt"
	"runtime"
	"slices"
	"sync"
)

// maxStackPrefix is the number of bytes of a stack trace that are read to find
// the goroutine's number.
const maxStackPrefix = 64

// held maps goroutines to the ranks of the locks that they hold.
var held = struct {
	mu    sync.Mutex
	ranks map[string][]LockRank
}{ranks: map[string][]LockRank{}}

// goroutineID returns the first words of the stack trace, such as "goroutine
// 7". The runtime has no other access to the number.
func goroutineID() string {
	buf := make([]byte, maxStackPrefix)
	n := runtime.Stack(buf, false)
	for i := len("goroutine "); i < n; i++ {
		if buf[i] == ' ' {
			return string(buf[:i])
		}
	}
	return string(buf[:n])
}

func checkLock(rank LockRank) {
	id := goroutineID()
	held.mu.Lock()
	defer held.mu.Unlock()
	for _, h := range held.ranks[id] {
		if h >= rank {
			panic(fmt.Sprintf("kernel: lock of rank %d acquired while holding rank %d", rank, h))
		}
	}
}

func recordLock(rank LockRank) {
	id := goroutineID()
	held.mu.Lock()
	defer held.mu.Unlock()
	held.ranks[id] = append(held.ranks[id], rank)
}

func recordUnlock(rank LockRank) {
	id := goroutineID()
	held.mu.Lock()
	defer held.mu.Unlock()
	ranks := held.ranks[id]
	i := slices.Index(ranks, rank)
	if i < 0 {
		panic(fmt.Sprintf("kernel: lock of rank %d released by a goroutine that does not hold it", rank))
	}
	ranks = slices.Delete(ranks, i, i+1)
	if len(ranks) == 0 {
		delete(held.ranks, id)
		return
	}
	held.ranks[id] = ranks
}
