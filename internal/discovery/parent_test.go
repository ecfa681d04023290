package discovery

import (
	"errors"
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/membership"
)

// TestSearchForParent checks what the end of a stream means for the next choice
// of a parent.
func TestSearchForParent(t *testing.T) {
	tests := map[string]struct {
		recent   bool
		err      error
		failures int
		rejected int
	}{
		"stream broke":                     {false, errUnavailable, 4, 1},
		"stream with recent data broke":    {true, errUnavailable, 1, 0},
		"node had no recent data":          {false, errStale, 4, 2},
		"node no longer had recent data":   {true, errStale, 1, 1},
		"another node is now the parent":   {true, errParentChanged, 0, 0},
		"parent with recent data drains":   {true, errDraining, 1, 0},
		"wrapped error of a stale parent":  {false, fmt.Errorf("follow: %w", errStale), 4, 2},
		"other error joined with draining": {false, errors.Join(errUnavailable, errDraining), 4, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			search := &parentSearch{failures: 3, rejected: map[string]time.Time{"other": time.Now()}}
			search.update("peer", tt.recent, tt.err)
			require.Equal(t, tt.failures, search.failures)
			require.Len(t, search.rejected, tt.rejected)
		})
	}
}

// TestStaleNodeTriesEveryNode guards against a node with stale data that keeps
// following others whose data is stale as well.
func TestStaleNodeTriesEveryNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		members := membership.New("a1", "a", 1)
		snapshot, _ := fakeCompiler{vms: []string{"a1", "a2", "a3", "b1", "b2"}}.Compile(nil, 1, time.Now())
		members.Update(nil, snapshot)
		f := NewFollower(Config{
			Table: NewTable("a1", valueOrder{}), Members: members, SelfAddress: "a1",
			Logger: slog.New(slog.DiscardHandler), Scope: tally.NoopScope,
		})
		f.Table.Merge(&vanillabarrow.Delta{AsOf: 1, Full: true, SourceAge: 2 * f.timers.staleAfter}, time.Now())
		search := &parentSearch{rejected: map[string]time.Time{}}
		var first []string
		for i := range 12 {
			address := f.chooseParent(0, search)
			if i < 4 {
				require.NotContains(t, first, address)
				first = append(first, address)
			}
			require.Equal(t, first[i%4], address, "then the one whose rejection is the longest ago")
			search.update(address, false, errStale)
			time.Sleep(time.Millisecond)
		}
	})
}

// TestSearchSlowsDownWithoutRecentData guards against nodes that change their parents
// several times a second for as long as no node has recent data.
func TestSearchSlowsDownWithoutRecentData(t *testing.T) {
	tests := map[string]struct {
		failures  int
		low, high time.Duration
	}{
		"first":             {1, backoffBase / 2, backoffBase/2 + 2*backoffBase},
		"last quick one":    {quickSearches, backoffBase / 2, backoffBase/2 + backoffMax},
		"first slow one":    {quickSearches + 1, backoffMax / 2, backoffMax/2 + 2*backoffMax},
		"after a long time": {100, backoffMax / 2, backoffMax/2 + maxSearchPause},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			search, longest := &parentSearch{failures: tt.failures}, time.Duration(0)
			for range 200 {
				pause := search.pause()
				require.GreaterOrEqual(t, pause, tt.low)
				require.Less(t, pause, tt.high)
				longest = max(longest, pause)
			}
			require.Greater(t, longest, (tt.low+tt.high)/2)
		})
	}
}
