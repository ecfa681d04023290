package dispatch

import (
	"time"

	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
)

const (
	// minRefusalTTL and refusalMost bound the time for which a gate's refusal for
	// want of room is taken to hold for others of the same route. A gate refuses
	// when more waits before it than fits into an objective, which are hundreds
	// of milliseconds, so its slots stay in use meanwhile.
	minRefusalTTL = 10 * time.Millisecond
	maxRefusalTTL = 60 * time.Millisecond
	// refusalTTLDivisor is the part of the advised delay for which a refusal holds.
	refusalTTLDivisor = 4
	// unavailableTTL is how long a gate's word holds that its target takes no work at
	// all. It is about the time in which a target or its node comes back.
	unavailableTTL = 200 * time.Millisecond
	// maxCachedRefusals bounds the refusals remembered.
	maxCachedRefusals = 4096
)

// refusalKey names what a gate had no room for: a route's requests while their
// objective counts, or late ones. The gate orders them differently. An empty
// route stands for all requests.
type refusalKey struct {
	target string
	route  string
	late   bool
}

// cachedRefusal is when a gate may be asked again, and the delay that it advised.
type cachedRefusal struct {
	expiresAt  time.Time
	retryAfter time.Duration
}

// RefusalCache remembers for a moment which gates had no room. It answers an
// overload of a whole service: without it every request asks gate after gate,
// and nodes spend on refusals the processor time that answers need.
type RefusalCache struct {
	mu      *kernel.Mutex
	entries map[refusalKey]cachedRefusal
}

// NewRefusalCache returns an empty table.
func NewRefusalCache() *RefusalCache {
	return &RefusalCache{mu: kernel.NewMutex(kernel.RankRefusals), entries: map[refusalKey]cachedRefusal{}}
}

// RecordOverload remembers that a gate had no room and advised a delay.
func (r *RefusalCache) RecordOverload(target, route string, late bool, retryAfter time.Duration, now time.Time) {
	hold := min(max(retryAfter/refusalTTLDivisor, minRefusalTTL), maxRefusalTTL)
	r.put(refusalKey{target, route, late}, cachedRefusal{expiresAt: now.Add(hold), retryAfter: retryAfter})
}

// RecordUnavailable remembers that a gate takes no work for its target.
func (r *RefusalCache) RecordUnavailable(target string, now time.Time) {
	r.put(refusalKey{target: target}, cachedRefusal{expiresAt: now.Add(unavailableTTL), retryAfter: unavailableTTL})
}

func (r *RefusalCache) put(q refusalKey, held cachedRefusal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.entries) >= maxCachedRefusals {
		clear(r.entries)
	}
	r.entries[q] = held
}

// Lookup reports whether the gate had no room or took no work a moment ago, and
// the delay after which that may have changed.
func (r *RefusalCache) Lookup(target, route string, late bool, now time.Time) (retryAfter time.Duration, full bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, q := range []refusalKey{{target: target}, {target, route, late}} {
		if held, ok := r.entries[q]; ok && now.Before(held.expiresAt) {
			return held.retryAfter, true
		}
	}
	return 0, false
}

// Sweep forgets refusals that no longer hold.
func (r *RefusalCache) Sweep(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, held := range r.entries {
		if !now.Before(held.expiresAt) {
			delete(r.entries, name)
		}
	}
}

// Len returns the number of refusals remembered.
func (r *RefusalCache) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.entries)
}
