// Package random provides the random numbers of a node. Tests can seed it to
// make them reproducible.
package random

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// seeded is a seeded source that is safe for concurrent use.
type seeded struct {
	mu sync.Mutex
	r  *rand.Rand
}

// current is nil unless a test has seeded the package.
var current atomic.Pointer[seeded]

// Seed derives all random numbers from the seed until the returned function is
// called. It is for tests only.
func Seed(seed uint64) (restore func()) {
	old := current.Swap(&seeded{r: rand.New(rand.NewPCG(seed, seed))})
	return func() { current.Store(old) }
}

// IntN returns a random integer in [0, n). It panics if n is less than 1.
func IntN(n int) int {
	s := current.Load()
	if s == nil {
		return rand.IntN(n)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.r.IntN(n)
}

// Duration returns a random duration in [0, d). It panics if d is not positive.
func Duration(d time.Duration) time.Duration {
	s := current.Load()
	if s == nil {
		return rand.N(d)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.r.Int64N(int64(d)))
}

// Shuffle randomizes the order of n elements, as rand.Shuffle does.
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
