package discovery

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
)

// BenchmarkPassOn measures what a node sends for one changed line of a large
// item, to each follower and for a follower that holds nothing, and the time for
// all followers.
func BenchmarkPassOn(b *testing.B) {
	for _, routes := range []int{200, 800, 2200, 5000} {
		for _, followers := range []int{1, 8, 64} {
			b.Run(fmt.Sprintf("routes=%d/followers=%d", routes, followers), func(b *testing.B) {
				passOn(b, routes, followers)
			})
		}
	}
}

func passOn(b *testing.B, count, followers int) {
	routes := newRouteTable(count)
	table := NewTable("sender", valueOrder{})
	server := NewServer(table, vanillabarrow.DefaultBounds(), slog.New(slog.DiscardHandler), tally.NoopScope)
	revision := vanillabarrow.Version(0)
	change := func() {
		revision++
		routes.replaceLine(routes.random.IntN(count))
		table.Merge(&vanillabarrow.Delta{AsOf: revision, Items: []vanillabarrow.Item{item("op/config", routes.String(), revision)}}, time.Now())
	}
	change()
	requests := make([]vanillabarrow.ItemRequest, followers)
	held := make([]heldValues, followers)
	for i := range followers {
		requests[i] = vanillabarrow.ItemRequest{AcceptsPatches: true}
		held[i] = heldValues{}
	}
	full, patched := 0, 0
	send := func() int {
		size := 0
		for i := range followers {
			d, err := server.since(requests[i], held[i], time.Now())
			require.NoError(b, err)
			requests[i].Cursor = d.Cursor
			size = d.Size()
		}
		return size
	}
	full = send()
	for b.Loop() {
		b.StopTimer()
		change()
		b.StartTimer()
		patched = send()
	}
	b.ReportMetric(float64(len(routes.String())), "value-bytes")
	b.ReportMetric(float64(full), "full-bytes")
	b.ReportMetric(float64(patched), "change-bytes")
}
