package idempotency

import (
	"slices"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
	"github.com/vanillabarrow/vanillabarrow/internal/membership"
)

// maxTargetSets bounds the remembered sets of targets.
const maxTargetSets = 32

// RankTargets returns the targets in the order in which they are home to the key.
func RankTargets(key string, targets []string) []string {
	return membership.Rank(key, targets)
}

// OwnerHistory remembers which targets shared the keys of a service over time. Every
// key has one home at a time, so that resends meet the memory of the first
// use.
type OwnerHistory struct {
	mu      *kernel.Mutex
	sets    []targetSet
	version vanillabarrow.Version
}

type targetSet struct {
	targets []string
	// replacedAt is when the set was replaced, zero for the present one.
	replacedAt time.Time
}

// NewOwnerHistory returns an empty history.
func NewOwnerHistory() *OwnerHistory {
	return &OwnerHistory{mu: kernel.NewMutex(kernel.RankIdempotency)}
}

// Update notes the present set of targets and the version that gives it. The
// slice must be sorted.
func (h *OwnerHistory) Update(targets []string, version vanillabarrow.Version, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.version = version
	if n := len(h.sets); n > 0 {
		if slices.Equal(h.sets[n-1].targets, targets) {
			return
		}
		h.sets[n-1].replacedAt = now
	}
	h.sets = append(h.sets, targetSet{targets: slices.Clone(targets)})
	if len(h.sets) > maxTargetSets {
		h.sets = h.sets[1:]
	}
}

// Ownership tells whether the target is home to the key, and what it does not
// know of the key by itself.
type Ownership struct {
	IsOwner bool
	// Version is the configuration version that the claim rests on.
	Version vanillabarrow.Version
	// PreviousOwners lists other targets that were home to the key within the
	// window. They have to be asked.
	PreviousOwners []string
	// HistoryStart is when the record of homes begins, if that is within the window;
	// the zero time when the record covers the window.
	HistoryStart time.Time
}

// Lookup returns the target's claim on the key.
func (h *OwnerHistory) Lookup(key, target string, window time.Duration, now time.Time) Ownership {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := len(h.sets)
	if n == 0 || !isOwner(key, target, h.sets[n-1].targets) {
		return Ownership{}
	}
	c := Ownership{IsOwner: true, Version: h.version}
	for i := n - 2; i >= 0; i-- {
		if now.Sub(h.sets[i].replacedAt) >= window {
			return c
		}
		previous := ownerOf(key, h.sets[i].targets)
		if previous != "" && previous != target && !slices.Contains(c.PreviousOwners, previous) {
			c.PreviousOwners = append(c.PreviousOwners, previous)
		}
	}
	if n == maxTargetSets {
		c.HistoryStart = h.sets[0].replacedAt
	}
	return c
}

func ownerOf(key string, targets []string) string {
	if len(targets) == 0 {
		return ""
	}
	return RankTargets(key, targets)[0]
}

func isOwner(key, target string, targets []string) bool {
	return ownerOf(key, targets) == target
}
