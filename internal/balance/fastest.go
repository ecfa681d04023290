package balance

import (
	"math"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/random"
)

const (
	// fastestChoices is the number of random targets at each distance that are
	// compared. docs/design/placement.md compares it with others.
	fastestChoices = 3
	// assumedExecTime is the execution time assumed while no target has reported
	// one.
	assumedExecTime = 100 * time.Millisecond
	// distanceTime is the time that each step of Candidate.Distance adds.
	distanceTime = 5 * time.Millisecond
	// maxSmoothOccupancy is the occupancy up to which the wait is estimated as in a
	// queue with random arrivals. The estimate goes to infinity at 1, so it is
	// continued by the length of the queue above.
	maxSmoothOccupancy = 0.95
)

// fastest picks the target that is expected to respond first. It compares only a
// few random targets at each distance, because many nodes that act on old loads
// would otherwise send their requests to the same target. A target in another
// region is picked only while none of the own region has a free slot, because the
// link between two regions is shared by all their nodes.
type fastest struct {
	choices int
}

// NewFastest returns the balancer fastest with the given number of targets that
// are compared at each distance.
func NewFastest(choices int) vanillabarrow.Balancer { return fastest{choices: choices} }

// Pick implements vanillabarrow.Balancer.
func (f fastest) Pick(candidates []vanillabarrow.Candidate, now time.Time) int {
	best, bestTime := -1, 0.0
	for distance := range otherRegion + 1 {
		if distance == otherRegion && best >= 0 {
			if hasFreeSlot(&candidates[best], now) {
				return best
			}
			if free := f.pickFree(candidates, now); free >= 0 {
				return free
			}
		}
		n := countAtDistance(candidates, distance)
		for k := range min(f.choices, n) {
			i := nthAtDistance(candidates, distance, f.index(k, n))
			c := &candidates[i]
			if c.Trial {
				return i
			}
			if t := expectedTime(c, now); best < 0 || t < bestTime {
				best, bestTime = i, t
			}
		}
	}
	return best
}

// pickFree returns the index of the target that is expected to respond first, of
// a few in the own region with a free slot, or -1 if none has one.
func (f fastest) pickFree(candidates []vanillabarrow.Candidate, now time.Time) int {
	best, bestTime, found := -1, 0.0, 0
	offset := random.IntN(len(candidates))
	for k := range candidates {
		i := (offset + k) % len(candidates)
		c := &candidates[i]
		if c.Distance >= otherRegion || !hasFreeSlot(c, now) {
			continue
		}
		if t := expectedTime(c, now); best < 0 || t < bestTime {
			best, bestTime = i, t
		}
		if found++; found >= f.choices {
			break
		}
	}
	return best
}

// index returns the index of the choice k among n targets: a random one, or each
// in turn if all are compared.
func (f fastest) index(k, n int) int {
	if n <= f.choices {
		return k
	}
	return random.IntN(n)
}

func countAtDistance(candidates []vanillabarrow.Candidate, distance int) int {
	n := 0
	for i := range candidates {
		if candidates[i].Distance == distance {
			n++
		}
	}
	return n
}

// expectedTime returns the expected time in seconds until the target has
// responded to one more request. Failures and bytes add to it as to the cost of
// cheapest.
func expectedTime(c *vanillabarrow.Candidate, now time.Time) float64 {
	execTime := c.ExecTime
	if execTime <= 0 {
		execTime = assumedExecTime
	}
	t := execTime.Seconds() + expectedWait(c, execTime, now)
	t += float64(c.Distance) * (distanceTime.Seconds() + waitPerCostUnit.Seconds()*float64(c.Bytes)/bytesPerCostUnit)
	return t + waitPerCostUnit.Seconds()*failureCost*float64(c.Load.FailurePercent)/100
}

// expectedWait returns the expected time in seconds until the target has a free
// slot for one more request.
func expectedWait(c *vanillabarrow.Candidate, execTime time.Duration, now time.Time) float64 {
	limit := float64(max(1, c.Load.Limit))
	if c.Load.Limit < 1 {
		limit = defaultLimit
	}
	occupied := occupancy(c, now)
	perSlot := execTime.Seconds() / limit
	smooth := min(occupied, maxSmoothOccupancy)
	// The mean wait in a queue with this number of servers, by Sakasegawa.
	wait := perSlot * math.Pow(smooth, math.Sqrt(2*(limit+1))-1) / (1 - smooth)
	wait += perSlot * limit * max(0, occupied-maxSmoothOccupancy)
	if now.Sub(c.ReportedAt) < loadStaleAfter {
		wait = max(wait, c.Load.Wait.Seconds())
	}
	return wait
}
