// Package retry bounds the attempts beyond the first. It does no I/O.
package retry

import (
	"math/rand/v2"
	"time"

	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
)

// Budget limits retries to a share of first attempts, with a small reserve so
// that a quiet node can retry at all.
type Budget struct {
	mu     *kernel.Mutex
	tokens float64
}

const (
	// share is the number of retries earned by one first attempt.
	share = 0.1
	// reserve is the largest number of retries that can be saved up.
	reserve = 10.0
)

// New returns a full budget.
func New() *Budget {
	return &Budget{mu: kernel.NewMutex(kernel.RankRetry), tokens: reserve}
}

// Observe implements vanillabarrow.RetryPolicy.
func (b *Budget) Observe() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(reserve, b.tokens+share)
}

// Allow implements vanillabarrow.RetryPolicy.
func (b *Budget) Allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Tokens returns the retries left, for the state dump.
func (b *Budget) Tokens() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens
}

// Backoff returns a delay with full jitter: uniform from 0 to the base doubled
// n times, at most limit.
func Backoff(base, limit time.Duration, n int) time.Duration {
	high := limit
	if n < 20 {
		high = min(limit, base<<n)
	}
	if high <= 0 {
		return 0
	}
	return rand.N(high)
}
