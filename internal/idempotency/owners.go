package idempotency

import (
	"slices"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
	"github.com/vanillabarrow/vanillabarrow/internal/membership"
)

// maxTargetSets is the maximum number of sets in an OwnerHistory.
const maxTargetSets = 32

// RankTargets orders the targets by rendezvous hash for the key. The first one
// owns the key.
func RankTargets(key string, targets []string) []string {
	return membership.Rank(key, targets)
}

// OwnerHistory records over time among which targets the idempotency keys of a
// service were divided. Each key is owned by one target at a time, so that all
// requests with the key reach the gate that recorded the first one.
type OwnerHistory struct {
	mu      *kernel.Mutex
	sets    []targetSet
	version vanillabarrow.Version
}

// targetSet is the set of targets during a period.
type targetSet struct {
	targets []string
	// replacedAt is the end of the period, zero for the current set.
	replacedAt time.Time
}

// NewOwnerHistory returns an empty history.
func NewOwnerHistory() *OwnerHistory {
	return &OwnerHistory{mu: kernel.NewMutex(kernel.RankIdempotency)}
}

// Update records the current set of targets and the configuration version that it
// was derived from. The slice must be sorted.
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

// Ownership describes the relation of a target to a key: whether it owns the key,
// and which earlier uses it can't know from its own records.
type Ownership struct {
	IsOwner bool
	// Version is the configuration version by which the target owns the key.
	Version vanillabarrow.Version
	// PreviousOwners lists the other targets that owned the key within the
	// window. They have to release the key first.
	PreviousOwners []string
	// HistoryStart is the start of the recorded history if it does not cover the
	// window, and zero otherwise.
	HistoryStart time.Time
}

// Lookup returns the ownership of the key by the target, which is zero if the
// target does not own the key. The window is the retention time of keys.
func (h *OwnerHistory) Lookup(key, target string, window time.Duration, now time.Time) Ownership {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := len(h.sets)
	if n == 0 || !isOwner(key, target, h.sets[n-1].targets) {
		return Ownership{}
	}
	ownership := Ownership{IsOwner: true, Version: h.version}
	for i := n - 2; i >= 0; i-- {
		if now.Sub(h.sets[i].replacedAt) >= window {
			return ownership
		}
		previous := ownerOf(key, h.sets[i].targets)
		if previous != "" && previous != target && !slices.Contains(ownership.PreviousOwners, previous) {
			ownership.PreviousOwners = append(ownership.PreviousOwners, previous)
		}
	}
	if n == maxTargetSets {
		ownership.HistoryStart = h.sets[0].replacedAt
	}
	return ownership
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
