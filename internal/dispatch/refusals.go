package dispatch

import (
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
)

const (
	// minRefusalTTL and maxRefusalTTL bound the time for which a refusal
	// because of overload is cached. A gate refuses when the wait in its queue
	// exceeds the objective. Objectives are hundreds of milliseconds, so the
	// slots stay in use for longer than maxRefusalTTL.
	minRefusalTTL = 10 * time.Millisecond
	maxRefusalTTL = 60 * time.Millisecond
	// refusalTTLDivisor is the ratio of the Retry-After delay to the time for
	// which a refusal is cached.
	refusalTTLDivisor = 4
	// unavailableTTL is the time for which the refusal of a gate that accepts
	// no requests for its target is cached. It is about the time that a target
	// or its node needs to recover.
	unavailableTTL = 200 * time.Millisecond
	// maxCachedRefusals is the maximum number of cached refusals. The next one
	// empties the cache first.
	maxCachedRefusals = 4096
)

// refusalKey identifies the requests that a refusal applies to: those of a
// route whose objective can still be met, or late ones, since a gate orders the
// two differently. With an empty route it applies to all requests.
type refusalKey struct {
	target string
	route  string
	late   bool
}

// CachedRefusal is the reason for which a gate refused and the Retry-After delay
// that it sent.
type CachedRefusal struct {
	Reason     vanillabarrow.Reason
	RetryAfter time.Duration
	// expiresAt is the time until which the gate is skipped.
	expiresAt time.Time
}

// RefusalCache stores recent refusals for a short time. During an overload of
// all targets of a service, every request would otherwise try one gate after
// the other, and nodes would spend on refusals the CPU time that they need for
// responses.
type RefusalCache struct {
	mu      *kernel.Mutex
	entries map[refusalKey]CachedRefusal
}

// NewRefusalCache returns an empty cache.
func NewRefusalCache() *RefusalCache {
	return &RefusalCache{mu: kernel.NewMutex(kernel.RankRefusalCache), entries: map[refusalKey]CachedRefusal{}}
}

// RecordOverload stores a refusal because of overload with its Retry-After
// delay. It applies to late requests of the route if late is set, else to the
// others.
func (c *RefusalCache) RecordOverload(target, route string, late bool, retryAfter time.Duration, now time.Time) {
	ttl := min(max(retryAfter/refusalTTLDivisor, minRefusalTTL), maxRefusalTTL)
	c.put(refusalKey{target, route, late}, CachedRefusal{
		Reason: vanillabarrow.ReasonOverloaded, RetryAfter: retryAfter, expiresAt: now.Add(ttl),
	})
}

// RecordUnavailable stores that a gate accepts no requests for its target for
// the reason, on any route, late or not.
func (c *RefusalCache) RecordUnavailable(target string, reason vanillabarrow.Reason, now time.Time) {
	c.put(refusalKey{target: target}, CachedRefusal{
		Reason: reason, RetryAfter: unavailableTTL, expiresAt: now.Add(unavailableTTL),
	})
}

func (c *RefusalCache) put(key refusalKey, refusal CachedRefusal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.entries) >= maxCachedRefusals {
		clear(c.entries)
	}
	c.entries[key] = refusal
}

// Lookup returns the cached refusal that applies to a request, and whether there
// is one.
func (c *RefusalCache) Lookup(target, route string, late bool, now time.Time) (refusal CachedRefusal, found bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, key := range []refusalKey{{target: target}, {target, route, late}} {
		if refusal, ok := c.entries[key]; ok && now.Before(refusal.expiresAt) {
			return refusal, true
		}
	}
	return CachedRefusal{}, false
}

// Sweep removes expired refusals.
func (c *RefusalCache) Sweep(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, refusal := range c.entries {
		if !now.Before(refusal.expiresAt) {
			delete(c.entries, key)
		}
	}
}

// Len returns the number of cached refusals.
func (c *RefusalCache) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.entries)
}
