package hedge

import (
	"math"
	"time"
)

const (
	// bucketBase is the upper bound of the first bucket and bucketRatio the ratio of
	// the bounds of two neighbours, so that an estimate is at most 10% too high. The
	// last of bucketCount buckets begins above one minute.
	bucketBase  = time.Millisecond
	bucketRatio = 1.1
	bucketCount = 120
	// maxWeight is the number of samples at which all weights are halved. The
	// estimate then follows a change of the latency within about as many requests.
	maxWeight = 512
	// minSamples is the number of samples before which there is no estimate.
	minSamples = 32
)

// histogram holds the recent latencies of one route, in buckets of geometrically
// increasing width. Old samples decay. It takes about half a kilobyte.
type histogram struct {
	weights [bucketCount]float32
	total   float32
}

func bucketOf(d time.Duration) int {
	if d <= bucketBase {
		return 0
	}
	i := int(math.Ceil(math.Log(float64(d)/float64(bucketBase)) / math.Log(bucketRatio)))
	return min(i, bucketCount-1)
}

// upperBound returns the upper bound of a bucket.
func upperBound(bucket int) time.Duration {
	return time.Duration(float64(bucketBase) * math.Pow(bucketRatio, float64(bucket)))
}

func (h *histogram) record(d time.Duration) {
	if h.total >= maxWeight {
		h.total = 0
		for i := range h.weights {
			h.weights[i] /= 2
			h.total += h.weights[i]
		}
	}
	h.weights[bucketOf(d)]++
	h.total++
}

// quantile returns an upper bound of the quantile, and false while there are fewer
// than minSamples samples.
func (h *histogram) quantile(q float64) (time.Duration, bool) {
	if h.total < minSamples {
		return 0, false
	}
	sum := float32(0)
	for i, weight := range h.weights {
		if sum += weight; sum >= float32(q)*h.total {
			return upperBound(i), true
		}
	}
	return upperBound(bucketCount - 1), true
}
