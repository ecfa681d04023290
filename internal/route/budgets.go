package route

import (
	"time"

	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
)

const (
	// usedShare is the share of a route's usual budget below which a caller has
	// used part of its time before it sent the request.
	usedShare = 0.93
	// fade is how fast the largest budget of a route is forgotten, for each
	// request, so that it follows callers that wait less than before.
	fade = 0.999
	// maxBudgets bounds the routes remembered.
	maxBudgets = 4096
)

// Budgets knows how long the callers of each route usually wait. A caller that
// comes back after a refusal has less time left than usual.
type Budgets struct {
	mu      *kernel.Mutex
	largest map[string]time.Duration
}

// NewBudgets returns a table without routes.
func NewBudgets() *Budgets {
	return &Budgets{mu: kernel.NewMutex(kernel.RankBudgets), largest: map[string]time.Duration{}}
}

// Resent notes a request's budget and reports whether part of the usual one
// was used before.
func (b *Budgets) Resent(route string, budget time.Duration) bool {
	if budget <= 0 {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.largest) > maxBudgets {
		clear(b.largest)
	}
	usual := time.Duration(fade * float64(b.largest[route]))
	b.largest[route] = max(usual, budget)
	return float64(budget) < usedShare*float64(usual)
}
