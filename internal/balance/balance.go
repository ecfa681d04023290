// Package balance implements the load balancing algorithms. It does no I/O.
package balance

import (
	"sync/atomic"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/random"
)

// defaultLimit is the concurrency limit assumed for a target that has not reported
// one. It is low because such a target may have just started.
const defaultLimit = 2

// loadStaleAfter is the age above which a reported load is discounted: its weight
// is loadStaleAfter divided by its age.
const loadStaleAfter = time.Second

// New returns the balancer with the given name, or nil if there is none.
func New(name string) vanillabarrow.Balancer {
	switch name {
	case vanillabarrow.BalancerTwoChoices:
		return twoChoices{}
	case vanillabarrow.BalancerCheapest:
		return cheapest{}
	case vanillabarrow.BalancerFastest:
		return NewFastest(fastestChoices)
	case vanillabarrow.BalancerLeastInFlight:
		return leastInFlight{}
	case vanillabarrow.BalancerRoundRobin:
		return &roundRobin{}
	case vanillabarrow.BalancerRandom:
		return randomChoice{}
	}
	return nil
}

// occupancy estimates the load of a target with one more request, as a fraction of
// its concurrency limit.
func occupancy(c *vanillabarrow.Candidate, now time.Time) float64 {
	limit := c.Load.Limit
	if limit < 1 {
		limit = defaultLimit
	}
	reported := float64(c.Load.InFlight + c.Load.Queued)
	if age := now.Sub(c.ReportedAt); age > loadStaleAfter {
		reported *= float64(loadStaleAfter) / float64(age)
	}
	inFlight := max(float64(c.InFlight), reported)
	return (inFlight + 1) / float64(limit)
}

// twoChoices picks the less occupied of two random targets. It starts with the
// targets at the smallest distance and goes to the next distance when the picked
// target would exceed its limit. If this holds at all distances, it picks the least
// occupied of these targets.
type twoChoices struct{}

// Pick implements vanillabarrow.Balancer.
func (twoChoices) Pick(candidates []vanillabarrow.Candidate, now time.Time) int {
	best, bestScore := -1, 0.0
	for distance := range 3 {
		i := pickTwo(candidates, distance, now)
		if i < 0 {
			continue
		}
		score := occupancy(&candidates[i], now)
		if score <= 1 {
			return i
		}
		if best < 0 || score < bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// pickTwo picks two random targets at the distance and returns the index of the
// less occupied one, or -1 if there is no target. A target that is due for a trial
// request goes first, as it gets only this one request.
func pickTwo(candidates []vanillabarrow.Candidate, distance int, now time.Time) int {
	n := 0
	for i := range candidates {
		if candidates[i].Distance != distance {
			continue
		}
		if candidates[i].Trial {
			return i
		}
		n++
	}
	if n == 0 {
		return -1
	}
	first := nthAtDistance(candidates, distance, random.IntN(n))
	if n == 1 {
		return first
	}
	second := first
	for second == first {
		second = nthAtDistance(candidates, distance, random.IntN(n))
	}
	if occupancy(&candidates[second], now) < occupancy(&candidates[first], now) {
		return second
	}
	return first
}

// nthAtDistance returns the index of the nth candidate at the distance.
func nthAtDistance(candidates []vanillabarrow.Candidate, distance, n int) int {
	for i := range candidates {
		if candidates[i].Distance != distance {
			continue
		}
		if n == 0 {
			return i
		}
		n--
	}
	return -1
}

// leastInFlight picks the target with the fewest of this node's attempts in
// flight.
type leastInFlight struct{}

// Pick implements vanillabarrow.Balancer.
func (leastInFlight) Pick(candidates []vanillabarrow.Candidate, _ time.Time) int {
	best, ties := -1, 0
	for i := range candidates {
		switch {
		case best < 0 || candidates[i].InFlight < candidates[best].InFlight:
			best, ties = i, 1
		case candidates[i].InFlight == candidates[best].InFlight:
			// Reservoir sampling picks each of the tied targets with the same
			// probability.
			ties++
			if random.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

// roundRobin picks the targets in turn.
type roundRobin struct {
	n atomic.Uint64
}

// Pick implements vanillabarrow.Balancer.
func (b *roundRobin) Pick(candidates []vanillabarrow.Candidate, _ time.Time) int {
	if len(candidates) == 0 {
		return -1
	}
	return int(b.n.Add(1) % uint64(len(candidates)))
}

// Peek returns what Pick would return, without counting a request.
func (b *roundRobin) Peek(candidates []vanillabarrow.Candidate, _ time.Time) int {
	if len(candidates) == 0 {
		return -1
	}
	return int((b.n.Load() + 1) % uint64(len(candidates)))
}

// randomChoice picks a random target.
type randomChoice struct{}

// Pick implements vanillabarrow.Balancer.
func (randomChoice) Pick(candidates []vanillabarrow.Candidate, _ time.Time) int {
	if len(candidates) == 0 {
		return -1
	}
	return random.IntN(len(candidates))
}
