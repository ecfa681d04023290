package discovery

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/membership"
)

// TestProbeDuringWatch guards against a watch that waits on although the platform does
// not respond, and against data that is confirmed without a response.
func TestProbeDuringWatch(t *testing.T) {
	tests := map[string]struct {
		unavailable, ended bool
		// revision is that of the platform. The node holds 3.
		revision vanillabarrow.Version
		// confirmed is set if the data is confirmed, abandoned if the watch ends.
		confirmed, abandoned bool
	}{
		"responds":                        {false, false, 3, true, false},
		"responds from an older copy":     {false, false, 2, true, false},
		"shows a newer revision":          {false, false, 4, false, false},
		"does not respond":                {true, false, 3, false, true},
		"responds after the watch":        {false, true, 3, false, false},
		"does not respond after it ended": {true, true, 3, false, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			source := &fakeSource{mu: &sync.Mutex{}, store: &fakeStore{revision: tt.revision}, unavailable: tt.unavailable}
			f := NewFollower(Config{
				Table: NewTable("a1"), Members: membership.New("a1", "a", 1), Source: source, Logger: slog.New(slog.DiscardHandler), Scope: tally.NoopScope,
			})
			f.Table.Merge(&vanillabarrow.Delta{AsOf: 3, Full: true, SourceAge: time.Minute}, time.Now())
			ctx, cancel := context.WithCancelCause(t.Context())
			defer cancel(nil)
			w := &waitingWatch{after: 3, abandon: cancel}
			if !tt.ended {
				f.watch.Store(w)
			}
			f.probe(t.Context(), w)
			require.Equal(t, tt.confirmed, time.Since(f.Table.ConfirmedAt()) < time.Second)
			require.Equal(t, tt.abandoned, ctx.Err() != nil)
		})
	}
}
