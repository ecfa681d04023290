package discovery

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
)

// TestTransit guards against a delta that counts as made when it arrived.
func TestTransit(t *testing.T) {
	const ms = time.Millisecond
	start := time.Now()
	// arrival is a delta that was made and arrived at these times after its request.
	type arrival struct{ sentAfter, arrivedAfter, want time.Duration }
	tests := map[string][]arrival{
		"in time":                   {{0, 2 * ms, 2 * ms}, {500 * ms, 502 * ms, 2 * ms}},
		"the link fills":            {{0, 2 * ms, 2 * ms}, {500 * ms, 2500 * ms, 2000 * ms}},
		"late from the first":       {{0, 1500 * ms, 1500 * ms}, {500 * ms, 2000 * ms, 1500 * ms}},
		"the receiver is suspended": {{0, 2 * ms, 2 * ms}, {900 * ms, 402 * ms, 0}, {1400 * ms, 1902 * ms, 1000 * ms}},
	}
	for name, arrivals := range tests {
		t.Run(name, func(t *testing.T) {
			clock := &transitClock{}
			for _, a := range arrivals {
				d := &vanillabarrow.Delta{RequestedAt: start, SentAfter: a.sentAfter}
				require.Equal(t, a.want, clock.transit(d, start.Add(a.arrivedAfter)))
			}
		})
	}
	t.Run("unknown", func(t *testing.T) {
		require.Zero(t, (&transitClock{}).transit(&vanillabarrow.Delta{SentAfter: time.Second}, start))
	})
}
