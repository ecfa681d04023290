package discovery

import (
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/membership"
)

// TestAnnouncementDoesNotGetYoungerWhileItWaits guards against data that counts as
// more recent than the platform's confirmation by the time the items took to arrive.
func TestAnnouncementDoesNotGetYoungerWhileItWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := NewFollower(Config{
			Table: NewTable("a1", valueOrder{}), Members: membership.New("a1", "a", 1), Relay: &fakeRelay{},
			Logger: slog.New(slog.DiscardHandler), Scope: tally.NoopScope,
		})
		f.Table.Merge(&vanillabarrow.Delta{AsOf: 3, Full: true, SourceAge: time.Minute}, time.Now())
		announcedAt := time.Now()
		time.AfterFunc(announceGracePeriod-time.Millisecond, func() {
			f.Table.Merge(&vanillabarrow.Delta{AsOf: 4, SourceAge: time.Minute, Items: []vanillabarrow.Item{item("a", "a", 4)}}, time.Now())
		})
		f.handleAnnouncement(t.Context(), "peer", &vanillabarrow.Delta{AsOf: 4, SourceAge: time.Second})
		require.Equal(t, announcedAt.Add(-time.Second), f.Table.ConfirmedAt())
	})
}
