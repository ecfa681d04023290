// Package retry implements the retry budget and the backoff between retries. It
// does no I/O.
package retry

import (
	"maps"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
	"github.com/vanillabarrow/vanillabarrow/internal/random"
)

// Config holds the parameters of a budget.
type Config struct {
	// Share is the number of retries that each first attempt adds to the budget.
	Share float64
	// Reserve is the maximum number of retries in the budget of a service, and
	// the number that it starts with.
	Reserve float64
	// ShedCost is what a retry takes from the budget after the target shed the
	// request, 0 for DefaultShedCost.
	ShedCost float64
}

// DefaultConfig returns parameters for a fleet of unknown size.
func DefaultConfig() Config { return Config{Share: 0.1, Reserve: 10} }

const (
	// retryCost is what any other retry takes from the budget.
	retryCost = 1.0
	// DefaultShedCost is for long call chains. A target may shed a request because a
	// service that it calls did, so each hop of a chain may multiply the attempts.
	// With a share of 10%, retries that cost 5 are limited to 2% of the first
	// attempts: over 22 hops, 2% of retries per hop turn one attempt into 1.5, while
	// 10% would turn it into 8. Two hops at 10% turn it into 1.2.
	DefaultShedCost = 5.0
)

// Budget limits the retries at each service to a share of its first attempts. A
// small reserve lets a node with few requests retry too.
type Budget struct {
	cfg Config
	mu  *kernel.Mutex
	// tokens holds the remaining retries by service.
	tokens map[string]float64
}

// New returns a budget with the full reserve for every service.
func New(cfg Config) *Budget {
	if cfg.ShedCost == 0 {
		cfg.ShedCost = DefaultShedCost
	}
	return &Budget{cfg: cfg, mu: kernel.NewMutex(kernel.RankRetryBudget), tokens: map[string]float64{}}
}

// remaining returns the remaining retries for a service. The caller holds the lock.
func (b *Budget) remaining(service string) float64 {
	if tokens, ok := b.tokens[service]; ok {
		return tokens
	}
	return b.cfg.Reserve
}

// Observe implements vanillabarrow.RetryPolicy.
func (b *Budget) Observe(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens[service] = min(b.cfg.Reserve, b.remaining(service)+b.cfg.Share)
}

// Allow implements vanillabarrow.RetryPolicy.
func (b *Budget) Allow(service string, reason vanillabarrow.Reason) bool {
	cost := retryCost
	if reason == vanillabarrow.ReasonShed {
		// A full budget must allow at least one such retry.
		cost = min(b.cfg.ShedCost, b.cfg.Reserve)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	remaining := b.remaining(service)
	if remaining < cost {
		return false
	}
	b.tokens[service] = remaining - cost
	return true
}

// Trim resets all budgets if there are more than n, so that the table does not
// grow with names that are no longer used.
func (b *Budget) Trim(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.tokens) > n {
		clear(b.tokens)
	}
}

// Tokens returns the remaining retries by service, for the state dump.
func (b *Budget) Tokens() map[string]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.tokens)
}

// Backoff returns an exponential backoff delay with full jitter: a random
// duration between 0 and base*2^n, or maximum if that is less.
func Backoff(base, maximum time.Duration, n int) time.Duration {
	high := maximum
	if n < 20 {
		high = min(maximum, base<<n)
	}
	if high <= 0 {
		return 0
	}
	return random.Duration(high)
}
