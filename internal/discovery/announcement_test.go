package discovery

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/membership"
)

// TestAnnouncementIsNotTakenForItems guards against a node that claims to hold a
// revision which was only announced to it.
func TestAnnouncementIsNotTakenForItems(t *testing.T) {
	tests := map[string]struct {
		stopped bool
	}{
		"announcing node is gone": {false},
		"this node stops":         {true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if tt.stopped {
				cancel()
			}
			f := NewFollower(Config{
				Table: NewTable("a1", valueOrder{}), Members: membership.New("a1", "a", 1), Relay: &fakeRelay{},
				Logger: slog.New(slog.DiscardHandler), Scope: tally.NoopScope,
			})
			f.Table.Merge(&vanillabarrow.Delta{AsOf: 3, Full: true, SourceAge: time.Second}, time.Now())
			f.handleAnnouncement(ctx, "gone", &vanillabarrow.Delta{AsOf: 4})
			require.Equal(t, vanillabarrow.Version(3), f.Table.AsOf())
		})
	}
}
