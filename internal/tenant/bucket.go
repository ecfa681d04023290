package tenant

import (
	"math"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
)

// The bound on the requests of a tenant in any window.
const (
	boundWindow    = 5.0 // seconds
	boundTolerance = 0.25
	boundExtra     = 20.0
	// usedTolerance is the part of the tolerance by which a bucket exceeds the burst.
	// Nodes hold tokens that they may not need, and the tolerance pays for them. The
	// rest covers the moments in which nodes know different lists of nodes.
	usedTolerance = 0.8
	// urgentShare is the part of a bucket that only nodes with waiting requests get
	// tokens from, so that a node whose demand begins finds some.
	urgentShare = 0.1
	// minRetryAfter and maxRetryAfter bound the estimate of when there are tokens.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// capacity returns the number of tokens of a tenant that exist at most at any time, at
// all nodes together.
func capacity(t *vanillabarrow.Tenant) float64 {
	tolerance := boundTolerance*(boundWindow*t.RequestRate+t.Burst) + boundExtra
	return t.Burst + usedTolerance*tolerance
}

// holding is what one node has of a bucket.
type holding struct {
	tokens int
	// unmet is the number of tokens that the node wanted and did not get.
	unmet          int
	demand, served float64
}

// bucket is a token bucket whose tokens are handed out to nodes. Tokens that a node
// holds count as part of it, so that level and held tokens are at most the capacity.
type bucket struct {
	rate, capacity float64
	level          float64
	refilledAt     time.Time
	holdings       map[string]holding
}

// newBucket returns the bucket of a tenant that was not used while its owner divided
// the given seconds' worth of allowances. It was empty before, because a previous owner
// may have handed out all tokens.
func newBucket(t *vanillabarrow.Tenant, seconds float64, now time.Time) *bucket {
	return &bucket{
		rate: t.RequestRate, capacity: capacity(t), level: t.RequestRate * seconds,
		refilledAt: now, holdings: map[string]holding{},
	}
}

// held returns the tokens that nodes hold.
func (b *bucket) held() int {
	n := 0
	for _, h := range b.holdings {
		n += h.tokens
	}
	return n
}

// refill adds the tokens since the last refill, of a share of the rate, up to a share
// of the capacity.
func (b *bucket) refill(rateShare, capacityShare float64, now time.Time) {
	elapsed := max(0, now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
	b.level += b.rate * rateShare * elapsed
	b.level = min(b.level, max(0, b.capacity*capacityShare-float64(b.held())))
}

// grant updates the holding of a node by its demand and returns the change of its
// tokens. The bucket has to be refilled before.
func (b *bucket) grant(vm string, d vanillabarrow.TenantDemand, rateShare, capacityShare float64) vanillabarrow.TokenGrant {
	// A node returns tokens that it was granted before.
	returned := max(0, min(d.Returned, b.holdings[vm].tokens-d.Held))
	h := holding{tokens: max(0, d.Held), demand: d.DemandRate, served: d.ServedRate}
	b.holdings[vm] = h
	limit := b.capacity * capacityShare
	held := b.held()
	b.level = min(b.level+float64(returned), max(0, limit-float64(held)))
	g := vanillabarrow.TokenGrant{Tenant: d.Tenant}
	if excess := float64(held) - limit; excess > 0 && h.tokens > 0 {
		g.Tokens = -min(h.tokens, int(math.Ceil(excess*float64(h.tokens)/float64(held))))
	} else {
		g.Tokens = b.available(d, urgentShare*limit)
	}
	b.level -= float64(max(0, g.Tokens))
	h.tokens += g.Tokens
	h.unmet = max(0, d.Want-h.tokens)
	b.holdings[vm] = h
	if h.unmet > 0 && b.level < 1 {
		g.RetryAfter = b.retryAfter(rateShare)
	}
	return g
}

// available returns the number of tokens that a node gets for its demand: all that its
// waiting requests need, and for its stock at most half of what is left above the
// reserved tokens, so that the nodes that report next get some too.
func (b *bucket) available(d vanillabarrow.TenantDemand, reserved float64) int {
	missing := max(0, d.Want-d.Held)
	waiting := min(missing, d.Waiting, int(b.level))
	left := (b.level - float64(waiting) - reserved) / 2
	return waiting + max(0, min(missing-waiting, int(math.Ceil(left))))
}

// retryAfter returns the time until the tokens that nodes want now will have been
// refilled.
func (b *bucket) retryAfter(rateShare float64) time.Duration {
	if rateShare == 0 {
		return countTime
	}
	unmet := 0
	for _, h := range b.holdings {
		unmet += h.unmet
	}
	seconds := (float64(unmet) - b.level) / (b.rate * rateShare)
	if !(seconds < maxRetryAfter.Seconds()) {
		return maxRetryAfter
	}
	return max(minRetryAfter, time.Duration(seconds*float64(time.Second)))
}
