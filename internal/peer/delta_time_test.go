package peer

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
	"github.com/vanillabarrow/vanillabarrow/internal/peer/controlv1"
)

// TestDeltaStatesWhenItWasMade guards against deltas whose time on the way can't be
// measured.
func TestDeltaStatesWhenItWasMade(t *testing.T) {
	t.Parallel()
	const pieces, delay = 4, 100 * time.Millisecond
	stop := errors.New("stop")
	tests := map[string]func(t *testing.T, c *DiscoveryClient, address string) *vanillabarrow.Delta{
		"pull": func(t *testing.T, c *DiscoveryClient, address string) *vanillabarrow.Delta {
			d, err := c.Pull(t.Context(), address, vanillabarrow.ItemRequest{})
			require.NoError(t, err)
			return d
		},
		"stream": func(t *testing.T, c *DiscoveryClient, address string) (received *vanillabarrow.Delta) {
			err := c.Follow(t.Context(), address, vanillabarrow.ItemRequest{}, func(d *vanillabarrow.Delta) error {
				received = d
				return stop
			})
			require.ErrorIs(t, err, stop)
			return received
		},
	}
	for name, receive := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			client := NewDiscoveryClient("vm", kernel.NewTraffic())
			defer client.Close()
			start := time.Now()
			d := receive(t, client, startSlowDiscovery(t, pieces, delay))
			require.False(t, d.RequestedAt.Before(start))
			require.GreaterOrEqual(t, time.Since(d.RequestedAt.Add(d.SentAfter)), (pieces-1)*delay)
		})
	}
}

// TestDeltaOfEarlierVersion guards against a time that is made up for a node that
// states none.
func TestDeltaOfEarlierVersion(t *testing.T) {
	d, err := deltaFromProto(&controlv1.Delta{AsOf: 9}, time.Now(), time.Now())
	require.NoError(t, err)
	require.Zero(t, d.RequestedAt)
}
