package discovery

import (
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/follow"
	"github.com/vanillabarrow/vanillabarrow/internal/membership"
)

// TestHintWaitsForTheStream guards against pulls of items that are about to
// arrive from the parent.
func TestHintWaitsForTheStream(t *testing.T) {
	tests := map[string]struct {
		held vanillabarrow.Version
		hint vanillabarrow.Version
		// arrives is when the items arrive on the stream, 0 for never.
		arrives time.Duration
		pulls   bool
		after   time.Duration
	}{
		"items arrive in time":     {3, 4, 100 * time.Millisecond, false, 100 * time.Millisecond},
		"items don't arrive":       {3, 4, 0, true, announceGracePeriod},
		"items arrived before":     {4, 4, 0, false, 0},
		"nothing held":             {0, 4, 0, true, 0},
		"version is not known":     {3, 0, 0, true, 0},
		"only older items arrived": {3, 5, 100 * time.Millisecond, true, announceGracePeriod},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				peer := NewTable("peer", valueOrder{})
				peer.Merge(&vanillabarrow.Delta{AsOf: 9, Items: []vanillabarrow.Item{item("a", "a", 9)}}, time.Now())
				logger := slog.New(slog.DiscardHandler)
				f := NewFollower(Config{
					Table: NewTable("a1", valueOrder{}), Members: membership.New("a1", "a", 1), Logger: logger, Scope: tally.NoopScope,
					Relay: &fakeRelay{servers: map[string]*Server{"peer": NewServer(peer, vanillabarrow.DefaultBounds(), logger, tally.NoopScope)}},
				})
				f.Table.Merge(&vanillabarrow.Delta{AsOf: tt.held, Full: true}, time.Now())
				if tt.arrives > 0 {
					time.AfterFunc(tt.arrives, func() {
						f.Table.Merge(&vanillabarrow.Delta{AsOf: 4, Items: []vanillabarrow.Item{item("b", "b", 4)}}, time.Now())
					})
				}
				start := time.Now()
				f.handleHint(t.Context(), follow.Hint{Address: "peer", Version: tt.hint})
				require.Equal(t, tt.after, time.Since(start))
				require.Equal(t, tt.pulls, f.Table.AsOf() == 9)
			})
		})
	}
}
