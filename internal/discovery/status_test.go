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

// judging is a compiler that finds fault with items whose value is "bad", as
// with a configuration that can't be read: the last good one stays.
type judging struct {
	compiler
	last *vanillabarrow.Snapshot
}

func (j *judging) Compile(items []vanillabarrow.Item, version vanillabarrow.Version, now time.Time) (*vanillabarrow.Snapshot, []error) {
	for _, item := range items {
		if string(item.Value) == "bad" {
			return j.last, []error{errors.New(item.Key + ": can't be read")}
		}
	}
	j.last, _ = j.compiler.Compile(items, version, now)
	return j.last, nil
}

// TestStatusShowsRejection checks what operators see of a value that was
// rejected, and that it goes with the next good one.
func TestStatusShowsRejection(t *testing.T) {
	tests := map[string]struct {
		values []string
		reason string
	}{
		"good":           {[]string{"good"}, ""},
		"bad":            {[]string{"good", "bad"}, "config: can't be read"},
		"mended":         {[]string{"good", "bad", "good"}, ""},
		"bad from start": {[]string{"bad"}, "config: can't be read"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := NewFollower(Config{
				Table: NewTable("one"), Members: membership.New("a1", "a", 1), Compiler: &judging{}, Logger: slog.New(slog.DiscardHandler),
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
			require.Equal(t, len(tt.values) == 1, f.Snapshot() == nil, "the last good one stays")
		})
	}
}
