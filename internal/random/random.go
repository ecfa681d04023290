// Package random gives the random choices of the node. Tests seed it, so that
// a seed replays the choices.
package random

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// seeded is a source that several goroutines share.
type seeded struct {
	mu sync.Mutex
	r  *rand.Rand
}

// current is nil unless a test seeded the package.
var current atomic.Pointer[seeded]

// Seed makes all choices follow from the seed until the returned function is
// called. It is for tests.
func Seed(seed uint64) (restore func()) {
	old := current.Swap(&seeded{r: rand.New(rand.NewPCG(seed, seed))})
	return func() { current.Store(old) }
}

// IntN returns a number from 0 to n-1. It panics if n is below 1.
func IntN(n int) int {
	s := current.Load()
	if s == nil {
		return rand.IntN(n)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.r.IntN(n)
}

// Duration returns a duration of at least 0 and below d. It panics if d is not
// above 0.
func Duration(d time.Duration) time.Duration {
	s := current.Load()
	if s == nil {
		return rand.N(d)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.r.Int64N(int64(d)))
}

// Shuffle puts n elements in random order.
func Shuffle(n int, swap func(i, j int)) {
	s := current.Load()
	if s == nil {
		rand.Shuffle(n, swap)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.r.Shuffle(n, swap)
}
