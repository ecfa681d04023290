package kernel

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// LatencyBuckets returns the upper bounds of the buckets of all latency
// histograms, from 0.1 ms to 10 s.
func LatencyBuckets() tally.DurationBuckets {
	const ms = time.Millisecond
	return tally.DurationBuckets{
		ms / 10, ms / 5, ms / 2,
		ms, 2 * ms, 5 * ms,
		10 * ms, 20 * ms, 50 * ms,
		100 * ms, 200 * ms, 500 * ms,
		time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second,
	}
}
