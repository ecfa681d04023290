package discovery

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
)

const (
	// largeStoreTargets is the number of targets of the capacity page.
	largeStoreTargets = 4600
	targetBytes       = 300
)

// targets returns items of the first revisions, one for each target.
func targets(n int) []vanillabarrow.Item {
	items := make([]vanillabarrow.Item, 0, n)
	for i := range n {
		items = append(items, item(fmt.Sprintf("servers/sidecar-%05d", i), strings.Repeat("t", targetBytes), vanillabarrow.Version(i+1)))
	}
	return items
}

// TestChangeInListingIsPassedOnAlone guards against deltas to followers that grow
// with the number of items when a reader lists in place of a watch.
func TestChangeInListingIsPassedOnAlone(t *testing.T) {
	// maxChangeBytes takes a link of 10 Mbit/s 64 ms for eight followers.
	const maxChangeBytes = 10_000
	tests := map[string]struct {
		targets int
		full    bool
	}{
		"watch, 75 targets":     {75, false},
		"watch, 4600 targets":   {largeStoreTargets, false},
		"listing, 75 targets":   {75, true},
		"listing, 4600 targets": {largeStoreTargets, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			reader := NewTable("reader", valueOrder{})
			revision := vanillabarrow.Version(tt.targets + 1)
			first := &vanillabarrow.Delta{AsOf: revision, Full: true, Items: append(targets(tt.targets), item("op/config", "first", revision))}
			reader.Merge(first, now)
			cursor := reader.Since(vanillabarrow.ItemRequest{}, now).Cursor
			second := &vanillabarrow.Delta{AsOf: revision + 1, Full: tt.full, Items: []vanillabarrow.Item{item("op/config", "second", revision+1)}}
			if tt.full {
				second.Items = append(second.Items, targets(tt.targets)...)
			}
			reader.Merge(second, now)
			d := reader.Since(vanillabarrow.ItemRequest{Cursor: cursor}, now)
			require.LessOrEqual(t, d.Size(), maxChangeBytes, "%d items, full: %t", len(d.Items), d.Full)
		})
	}
}
