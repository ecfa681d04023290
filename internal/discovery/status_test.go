package discovery

import (
	"errors"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/membership"
)

// rejectingCompiler rejects items whose value is "bad", like a configuration
// that can't be parsed, and then returns the last valid snapshot.
type rejectingCompiler struct {
	fakeCompiler
	last *vanillabarrow.Snapshot
}

func (c *rejectingCompiler) Compile(items []vanillabarrow.Item, version vanillabarrow.Version, now time.Time) (*vanillabarrow.Snapshot, []error) {
	for _, item := range items {
		if string(item.Value) == "bad" {
			return c.last, []error{errors.New(item.Key + ": can't be read")}
		}
	}
	c.last, _ = c.fakeCompiler.Compile(items, version, now)
	return c.last, nil
}

// TestStatusShowsRejection checks that the status shows why a value was
// rejected, and no longer does once a valid value replaced it.
func TestStatusShowsRejection(t *testing.T) {
	tests := map[string]struct {
		values []string
		reason string
	}{
		"valid":                   {[]string{"good"}, ""},
		"rejected":                {[]string{"good", "bad"}, "config: can't be read"},
		"valid after a rejected":  {[]string{"good", "bad", "good"}, ""},
		"rejected from the start": {[]string{"bad"}, "config: can't be read"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := NewFollower(Config{
				Table: NewTable("one", valueOrder{}), Members: membership.New("a1", "a", 1), Compiler: &rejectingCompiler{}, Logger: slog.New(slog.DiscardHandler),
				Scope: tally.NoopScope, FleetSize: 3, ReadBudget: 100,
			})
			now := time.Now()
			for i, value := range tt.values {
				f.Table.Merge(&vanillabarrow.Delta{
					AsOf:  vanillabarrow.Version(i + 1),
					Items: []vanillabarrow.Item{{Key: "config", Value: []byte(value), Revision: vanillabarrow.Version(i + 1)}},
				}, now)
				f.apply(now)
			}
			status := f.Status()
			require.Equal(t, vanillabarrow.Version(len(tt.values)), status.Held)
			if tt.reason == "" {
				require.Nil(t, status.Rejection)
				require.NotNil(t, f.Snapshot())
				return
			}
			require.Equal(t, tt.reason, status.Rejection.Reason)
			require.Equal(t, status.Held, status.Rejection.Version)
			require.Equal(t, len(tt.values) == 1, f.Snapshot() == nil, "the last valid snapshot stays in force")
		})
	}
}
