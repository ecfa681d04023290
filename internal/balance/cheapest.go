package balance

import (
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/random"
)

const (
	// distanceCost is the occupancy that a request accepts in the own data
	// centre before it goes to the next distance.
	distanceCost = 0.1
	// bytesForWhole is the number of bytes at which a request accepts a whole
	// target's occupancy more rather than leave its data centre.
	bytesForWhole = 48 << 10
	// failureCost is the occupancy that stands for a target that fails every
	// request.
	failureCost = 4.0
	// waitUnit is the reported wait that counts as a whole occupancy.
	waitUnit = 200 * time.Millisecond
	// jitter spreads the choices of nodes that see the same loads, in
	// thousandths of an occupancy.
	jitter = 150
)

// cheapest takes the target with the lowest cost: how full it is, how far, by
// the bytes to be moved, and how often it fails.
type cheapest struct{}

// Pick implements vanillabarrow.Balancer.
func (cheapest) Pick(candidates []vanillabarrow.Candidate, now time.Time) int {
	best, bestCost := -1, 0.0
	for i := range candidates {
		if candidates[i].Trial {
			return i
		}
		cost := costOf(&candidates[i], now)
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

func costOf(c *vanillabarrow.Candidate, now time.Time) float64 {
	cost := occupancy(c, now)
	cost += float64(c.Distance) * (distanceCost + float64(c.Bytes)/bytesForWhole)
	cost += failureCost * float64(c.Load.FailurePercent) / 100
	if age := now.Sub(c.ReportedAt); c.Load.Wait > 0 && age < staleAfter {
		cost += float64(c.Load.Wait) / float64(waitUnit)
	}
	return cost + float64(random.IntN(jitter))/1000
}
