package idempotency

import (
	"slices"
	"time"

	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
	"github.com/vanillabarrow/vanillabarrow/internal/membership"
)

// maxHistory bounds the remembered sets of targets.
const maxHistory = 32

// Order returns the targets in the order in which they are home to the key.
func Order(key string, targets []string) []string {
	return membership.Rank(key, targets)
}

// Homes remembers which targets shared the keys of a service over time. Every
// key has one home at a time, so that resends meet the memory of the first
// use.
type Homes struct {
	mu   *kernel.Mutex
	sets []homeSet
}

type homeSet struct {
	targets []string
	// until is when the set was replaced, zero for the present one.
	until time.Time
}

// NewHomes returns an empty history.
func NewHomes() *Homes { return &Homes{mu: kernel.NewMutex(kernel.RankKeys)} }

// Set notes the present set of targets. The slice must be sorted.
func (h *Homes) Set(targets []string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if n := len(h.sets); n > 0 {
		if slices.Equal(h.sets[n-1].targets, targets) {
			return
		}
		h.sets[n-1].until = now
	}
	h.sets = append(h.sets, homeSet{targets: slices.Clone(targets)})
	if len(h.sets) > maxHistory {
		h.sets = h.sets[1:]
	}
}

// Since returns when the target became the key's home for good, and whether it
// is the home at present. The zero time means that no other home is on record.
func (h *Homes) Since(key, target string) (time.Time, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := len(h.sets)
	if n == 0 || !isHome(key, target, h.sets[n-1].targets) {
		return time.Time{}, false
	}
	for i := n - 2; i >= 0; i-- {
		if !isHome(key, target, h.sets[i].targets) {
			return h.sets[i].until, true
		}
	}
	if n == maxHistory {
		return h.sets[0].until, true
	}
	return time.Time{}, true
}

func isHome(key, target string, targets []string) bool {
	order := Order(key, targets)
	return len(order) > 0 && order[0] == target
}
