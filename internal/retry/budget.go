// Package retry bounds the attempts beyond the first. It does no I/O.
package retry

import (
	"maps"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
	"github.com/vanillabarrow/vanillabarrow/internal/random"
)

// Config shapes a budget.
type Config struct {
	// Share is the number of retries earned by one first attempt.
	Share float64
	// Reserve is the largest number of retries that a service can save up.
	Reserve float64
}

// DefaultConfig fits a fleet whose size is not known.
func DefaultConfig() Config { return Config{Share: 0.1, Reserve: 10} }

const (
	// cost is what a retry takes, and shedCost what one takes after the target
	// shed the request. A target may shed because a service below it did, and
	// each hop of a chain would then multiply the attempts: with 10% a hop, 22
	// hops make 8 out of one, with 2% they make 1.5.
	cost     = 1.0
	shedCost = 5.0
)

// Budget limits the retries at each service to a share of first attempts, with
// a small reserve so that a quiet node can retry at all.
type Budget struct {
	cfg Config
	mu  *kernel.Mutex
	// tokens holds the retries left by service.
	tokens map[string]float64
}

// New returns a full budget.
func New(cfg Config) *Budget {
	return &Budget{cfg: cfg, mu: kernel.NewMutex(kernel.RankRetryBudget), tokens: map[string]float64{}}
}

// left returns the retries left at a service. The caller holds the lock.
func (b *Budget) left(service string) float64 {
	if tokens, ok := b.tokens[service]; ok {
		return tokens
	}
	return b.cfg.Reserve
}

// Observe implements vanillabarrow.RetryPolicy.
func (b *Budget) Observe(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens[service] = min(b.cfg.Reserve, b.left(service)+b.cfg.Share)
}

// Allow implements vanillabarrow.RetryPolicy.
func (b *Budget) Allow(service string, reason vanillabarrow.Reason) bool {
	price := cost
	if reason == vanillabarrow.ReasonShed {
		price = min(shedCost, b.cfg.Reserve)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	left := b.left(service)
	if left < price {
		return false
	}
	b.tokens[service] = left - price
	return true
}

// Tokens returns the retries left by service, for the state dump.
func (b *Budget) Tokens() map[string]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.tokens)
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
	return random.Duration(high)
}
