package discovery

import (
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
)

// TestPatchAgainstTombstoneIsRestored guards against a follower that can't restore
// a patch because its tombstone of the same revision keeps another last value.
func TestPatchAgainstTombstoneIsRestored(t *testing.T) {
	now := time.Now()
	listing := &vanillabarrow.Delta{AsOf: 8, Full: true}
	sender, receiver := NewTable("sender", valueOrder{}), NewTable("receiver", valueOrder{})
	receiver.Merge(&vanillabarrow.Delta{AsOf: 3, Items: []vanillabarrow.Item{item("routes", string(randomValue(3)), 3)}}, now)
	sender.Merge(&vanillabarrow.Delta{AsOf: 5, Items: []vanillabarrow.Item{item("routes", string(randomValue(5)), 5)}}, now)
	receiver.Merge(listing, now)
	sender.Merge(listing, now)
	sender.Merge(&vanillabarrow.Delta{AsOf: 9, Items: []vanillabarrow.Item{item("routes", string(randomValue(5))+"new", 9)}}, now)

	server := NewServer(sender, vanillabarrow.DefaultBounds(), slog.New(slog.DiscardHandler), tally.NoopScope)
	held := receiver.bases()
	d, err := server.Pull(vanillabarrow.ItemRequest{AsOf: receiver.AsOf(), Held: held.list(), AcceptsPatches: true})
	require.NoError(t, err)
	require.NoError(t, decompress(d, held))
	receiver.Merge(d, now)
	require.Equal(t, effective(sender, now), effective(receiver, now))
}

// randomValue returns a large value that differs from those of other seeds in
// every part.
func randomValue(seed uint64) []byte {
	value := make([]byte, 2*minPatchBytes)
	generator := rand.New(rand.NewPCG(seed, seed))
	for i := range value {
		value[i] = byte(generator.Uint32())
	}
	return value
}
