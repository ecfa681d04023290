//go:build race || debug

package kernel

import (
	"fmt"
	"runtime"
	"slices"
	"sync"
)

// maxStackPrefix bounds the bytes read to find a goroutine's number.
const maxStackPrefix = 64

var held = struct {
	mu    sync.Mutex
	ranks map[string][]LockRank
}{ranks: map[string][]LockRank{}}

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
			panic(fmt.Sprintf("kernel: lock of rank %d taken while holding rank %d", rank, h))
		}
	}
}

func noteLock(rank LockRank) {
	id := goroutineID()
	held.mu.Lock()
	defer held.mu.Unlock()
	held.ranks[id] = append(held.ranks[id], rank)
}

func noteUnlock(rank LockRank) {
	id := goroutineID()
	held.mu.Lock()
	defer held.mu.Unlock()
	ranks := held.ranks[id]
	i := slices.Index(ranks, rank)
	if i < 0 {
		panic(fmt.Sprintf("kernel: lock of rank %d released by another goroutine", rank))
	}
	ranks = slices.Delete(ranks, i, i+1)
	if len(ranks) == 0 {
		delete(held.ranks, id)
		return
	}
	held.ranks[id] = ranks
}
