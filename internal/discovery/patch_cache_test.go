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

// TestManyLargeItemsAreCompressedOnce guards against a cache of patches that
// holds fewer than one delta has, so that each follower costs all of them again.
func TestManyLargeItemsAreCompressedOnce(t *testing.T) {
	for name, count := range map[string]int{"50 items": 50, "200 items": 200} {
		t.Run(name, func(t *testing.T) {
			s := &Server{table: NewTable("sender", valueOrder{}), patcher: patcher{cache: patch.NewCache()}}
			d := &vanillabarrow.Delta{AsOf: vanillabarrow.Version(count), Full: true}
			for i := range count {
				d.Items = append(d.Items, item(fmt.Sprintf("large-%d", i), strings.Repeat(fmt.Sprint(i), minPatchBytes), vanillabarrow.Version(i+1)))
			}
			s.table.Merge(d, time.Now())
			send := func() {
				_, err := s.since(vanillabarrow.ItemRequest{AcceptsPatches: true}, heldValues{}, time.Now())
				require.NoError(t, err)
			}
			send()
			allocations := testing.AllocsPerRun(3, send)
			require.Less(t, allocations, float64(20*count), "allocations for a further follower")
		})
	}
}
