package discovery

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/patch"
)

// TestStreamForgetsRemovedItems guards against values of removed items that stay
// in memory as long as a stream is open.
func TestStreamForgetsRemovedItems(t *testing.T) {
	const rounds = 50
	now := time.Now()
	s := &Server{table: NewTable("sender", valueOrder{}), patcher: patcher{cache: patch.NewCache()}}
	sent, received := heldValues{}, heldValues{}
	r := vanillabarrow.ItemRequest{AcceptsPatches: true}
	for i := range rounds {
		key, revision := fmt.Sprintf("op/config-%d", i), vanillabarrow.Version(2*i+1)
		for _, it := range []vanillabarrow.Item{item(key, strings.Repeat("x", minPatchBytes), revision), removed(key, revision+1, now)} {
			s.table.Merge(&vanillabarrow.Delta{AsOf: it.Revision, Items: []vanillabarrow.Item{it}}, now)
			d, err := s.since(r, sent, time.Now())
			require.NoError(t, err)
			require.NoError(t, decompress(d, received))
			r.Cursor = d.Cursor
		}
		now = now.Add(tombstoneRetention)
	}
	require.LessOrEqual(t, len(sent), 1, "values that the sender keeps for one stream")
	require.LessOrEqual(t, len(received), 1, "values that the receiver keeps for one stream")
}
