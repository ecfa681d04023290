// Package retry bounds the attempts beyond the first. It does no I/O.
package retry

import (
	"math/rand/v2"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
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
	// cost is what a retry takes, and shedCost what one takes after the target
	// shed the request. A target may shed because a service below it did, and
	// each hop of a chain would then multiply the attempts: with 10% a hop, 22
	// hops make 8 out of one, with 2% they make 1.5.
	cost     = 1.0
	shedCost = 5.0
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
func (b *Budget) Allow(reason vanillabarrow.Reason) bool {
	price := cost
	if reason == vanillabarrow.ReasonShed {
		price = shedCost
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < price {
		return false
	}
	b.tokens -= price
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
