// Package balance chooses targets. It does no I/O.
package balance

import (
	"sync/atomic"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/random"
)

// unknownLimit is assumed for a target that has not reported its limit. It is
// low, because such a target may have just started.
const unknownLimit = 2

// staleAfter is the age at which a reported load counts half.
const staleAfter = time.Second

// New returns the balancer with the given name, nil for an unknown name.
func New(name string) vanillabarrow.Balancer {
	switch name {
	case vanillabarrow.BalancerTwoChoices:
		return twoChoices{}
	case vanillabarrow.BalancerCheapest:
		return cheapest{}
	case vanillabarrow.BalancerLeastInFlight:
		return leastInFlight{}
	case vanillabarrow.BalancerRoundRobin:
		return &roundRobin{}
	case vanillabarrow.BalancerRandom:
		return randomChoice{}
	}
	return nil
}

// occupancy estimates how full a target is, 1 at its limit.
func occupancy(c *vanillabarrow.Candidate, now time.Time) float64 {
	limit := c.Load.Limit
	if limit < 1 {
		limit = unknownLimit
	}
	reported := float64(c.Load.InFlight + c.Load.Queued)
	if age := now.Sub(c.ReportedAt); age > staleAfter {
		reported *= float64(staleAfter) / float64(age)
	}
	inFlight := max(float64(c.InFlight), reported)
	return (inFlight + 1) / float64(limit)
}

// twoChoices takes the less occupied of two random targets of the nearest
// group that has room.
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

// pickTwo draws two targets at the distance and returns the less occupied. A
// target due for a trial is taken first, since it gets one request at most.
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
	first := nth(candidates, distance, random.IntN(n))
	if n == 1 {
		return first
	}
	second := first
	for second == first {
		second = nth(candidates, distance, random.IntN(n))
	}
	if occupancy(&candidates[second], now) < occupancy(&candidates[first], now) {
		return second
	}
	return first
}

func nth(candidates []vanillabarrow.Candidate, distance, n int) int {
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

// leastInFlight takes the target with the fewest of this node's own attempts.
type leastInFlight struct{}

// Pick implements vanillabarrow.Balancer.
func (leastInFlight) Pick(candidates []vanillabarrow.Candidate, _ time.Time) int {
	best, ties := -1, 0
	for i := range candidates {
		switch {
		case best < 0 || candidates[i].InFlight < candidates[best].InFlight:
			best, ties = i, 1
		case candidates[i].InFlight == candidates[best].InFlight:
			// Reservoir sampling spreads ties evenly.
			ties++
			if random.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

// roundRobin takes each target in turn.
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

// randomChoice takes any target.
type randomChoice struct{}

// Pick implements vanillabarrow.Balancer.
func (randomChoice) Pick(candidates []vanillabarrow.Candidate, _ time.Time) int {
	if len(candidates) == 0 {
		return -1
	}
	return random.IntN(len(candidates))
}
