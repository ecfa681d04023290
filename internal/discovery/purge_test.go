package discovery

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
)

// TestTombstonePurgedOnReceiptReachesStreams guards against a removal that is lost
// to followers because the node between purged its tombstone before the next send.
func TestTombstonePurgedOnReceiptReachesStreams(t *testing.T) {
	now := time.Now()
	reader, parent, follower := NewTable("reader", valueOrder{}), NewTable("parent", valueOrder{}), NewTable("follower", valueOrder{})
	reader.Merge(&vanillabarrow.Delta{AsOf: 3, Items: []vanillabarrow.Item{item("a", "a", 2), item("b", "b", 3)}}, now)
	parent.Merge(reader.Since(vanillabarrow.ItemRequest{}, now), now)
	stream := openModelStream(follower)
	stream.send(parent, now)
	stream.deliver(follower, now)

	reader.Merge(&vanillabarrow.Delta{AsOf: 4, Items: []vanillabarrow.Item{removed("a", 4, now)}}, now)
	later := now.Add(tombstoneRetention + time.Second)
	parent.Merge(reader.Since(vanillabarrow.ItemRequest{AsOf: parent.AsOf()}, later), later)
	stream.send(parent, later)
	stream.deliver(follower, later)
	require.Equal(t, vanillabarrow.Version(4), follower.AsOf())
	require.Equal(t, map[string]string{"b": "b"}, effective(follower, later.Add(time.Hour)))
}
