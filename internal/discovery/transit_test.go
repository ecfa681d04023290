package discovery

import (
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/membership"
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

// TestTransitOfItems guards against removed items that stay in effect for longer behind a
// slow node, and against cold targets that count as warm there.
func TestTransitOfItems(t *testing.T) {
	f := NewFollower(Config{
		Table: NewTable("a1", valueOrder{}), Members: membership.New("a1", "a", 1), Logger: slog.New(slog.DiscardHandler), Scope: tally.NoopScope,
	})
	now := time.Now()
	d := &vanillabarrow.Delta{
		RequestedAt: now.Add(-time.Second), SourceAge: time.Second,
		Items: []vanillabarrow.Item{
			{Key: "removed", Removed: true, FirstSeenAt: now, KeepUntil: now.Add(time.Second)},
			{Key: "added", FirstSeenAt: now},
		},
	}
	f.addTransit(d, &transitClock{}, "peer")
	require.GreaterOrEqual(t, d.SourceAge, 2*time.Second)
	require.False(t, d.Items[0].KeepUntil.After(now))
	require.Equal(t, now, d.Items[0].FirstSeenAt)
	require.Equal(t, now, d.Items[1].FirstSeenAt)
	require.Zero(t, d.Items[1].KeepUntil)
}
