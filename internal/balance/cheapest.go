package balance

import (
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/random"
)

const (
	// distanceCost is the cost of each step of Candidate.Distance: a target one
	// step further away is picked if its occupancy is lower by more than this.
	distanceCost = 0.1
	// bytesPerCostUnit is the number of bytes of a request and its response that
	// add a cost of 1 for each step of distance, as much as a full target.
	bytesPerCostUnit = 48 << 10
	// failureCost is the cost of a target that fails all requests.
	failureCost = 4.0
	// waitPerCostUnit is the reported wait for a slot that adds a cost of 1.
	waitPerCostUnit = 200 * time.Millisecond
	// jitterThousandths bounds the random cost added to each target, in
	// thousandths. It keeps nodes that see the same loads from picking the same
	// target.
	jitterThousandths = 150
)

// otherRegion is the Candidate.Distance of targets outside the node's own region.
const otherRegion = 2

// cheapest picks the target with the lowest cost. The cost is the sum of the
// target's occupancy and of costs for its distance and the bytes to transfer, its
// failures and its queue. A target in another region is picked only while the
// cheapest one of the own region has no free slot, because the link between two
// regions is shared by all their nodes and adds its delay to every request.
type cheapest struct{}

// Pick implements vanillabarrow.Balancer.
func (cheapest) Pick(candidates []vanillabarrow.Candidate, now time.Time) int {
	best, bestCost := -1, 0.0
	near, nearCost := -1, 0.0
	for i := range candidates {
		c := &candidates[i]
		if c.Trial {
			return i
		}
		cost := costOf(c, now)
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
		if c.Distance < otherRegion && (near < 0 || cost < nearCost) {
			near, nearCost = i, cost
		}
	}
	if near >= 0 && hasFreeSlot(&candidates[near], now) {
		return near
	}
	return best
}

// hasFreeSlot reports whether the target is expected to begin another request at
// once.
func hasFreeSlot(c *vanillabarrow.Candidate, now time.Time) bool {
	return occupancy(c, now) <= 1 && (c.Load.Wait == 0 || now.Sub(c.ReportedAt) >= loadStaleAfter)
}

// costOf returns the cost of a candidate, where 1 is the occupancy of a full
// target.
func costOf(c *vanillabarrow.Candidate, now time.Time) float64 {
	cost := occupancy(c, now)
	cost += float64(c.Distance) * (distanceCost + float64(c.Bytes)/bytesPerCostUnit)
	cost += failureCost * float64(c.Load.FailurePercent) / 100
	if age := now.Sub(c.ReportedAt); c.Load.Wait > 0 && age < loadStaleAfter {
		cost += float64(c.Load.Wait) / float64(waitPerCostUnit)
	}
	return cost + float64(random.IntN(jitterThousandths))/1000
}
