package idempotency

import (
	"slices"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
	"github.com/vanillabarrow/vanillabarrow/internal/membership"
)

// maxHistory bounds the remembered sets of targets.
const maxHistory = 32

// RankTargets returns the targets in the order in which they are home to the key.
func RankTargets(key string, targets []string) []string {
	return membership.Rank(key, targets)
}

// Homes remembers which targets shared the keys of a service over time. Every
// key has one home at a time, so that resends meet the memory of the first
// use.
type Homes struct {
	mu      *kernel.Mutex
	sets    []homeSet
	version vanillabarrow.Version
}

type homeSet struct {
	targets []string
	// until is when the set was replaced, zero for the present one.
	until time.Time
}

// NewHomes returns an empty history.
func NewHomes() *Homes { return &Homes{mu: kernel.NewMutex(kernel.RankIdempotency)} }

// Set notes the present set of targets and the version that gives it. The
// slice must be sorted.
func (h *Homes) Set(targets []string, version vanillabarrow.Version, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.version = version
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

// Claim tells whether the target is home to the key, and what it does not
// know of the key by itself.
type Claim struct {
	Home bool
	// Version is the configuration version that the claim rests on.
	Version vanillabarrow.Version
	// Previous lists other targets that were home to the key within the
	// window. They have to be asked.
	Previous []string
	// Since is when the record of homes begins, if that is within the window;
	// the zero time when the record covers the window.
	Since time.Time
}

// Claim returns the target's claim on the key.
func (h *Homes) Claim(key, target string, window time.Duration, now time.Time) Claim {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := len(h.sets)
	if n == 0 || !isHome(key, target, h.sets[n-1].targets) {
		return Claim{}
	}
	c := Claim{Home: true, Version: h.version}
	for i := n - 2; i >= 0; i-- {
		if now.Sub(h.sets[i].until) >= window {
			return c
		}
		previous := homeOf(key, h.sets[i].targets)
		if previous != "" && previous != target && !slices.Contains(c.Previous, previous) {
			c.Previous = append(c.Previous, previous)
		}
	}
	if n == maxHistory {
		c.Since = h.sets[0].until
	}
	return c
}

func homeOf(key string, targets []string) string {
	if len(targets) == 0 {
		return ""
	}
	return RankTargets(key, targets)[0]
}

func isHome(key, target string, targets []string) bool {
	return homeOf(key, targets) == target
}
