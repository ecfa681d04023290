package discovery

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
)

func TestCauseAfterError(t *testing.T) {
	tests := map[string]struct {
		err   error
		cause listingCause
	}{
		"incomplete":  {fmt.Errorf("read: %w: %w", vanillabarrow.ErrResponseIncomplete, context.Canceled), listAfterIncomplete},
		"too large":   {fmt.Errorf("read: %w", vanillabarrow.ErrResponseTooLarge), listAfterTooLarge},
		"no response": {errUnavailable, ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, tt.cause, causeAfterError(tt.err))
		})
	}
}

// TestCauseAfterDelta checks that a reader lists while a large value keeps
// changing, and watches again afterwards.
func TestCauseAfterDelta(t *testing.T) {
	large, small := strings.Repeat("x", 140_000), "x"
	tests := map[string]struct {
		known  vanillabarrow.Version
		listed int
		delta  vanillabarrow.Delta
		cause  listingCause
	}{
		"watch, no change": {known: 9, delta: vanillabarrow.Delta{AsOf: 9}},
		"watch, one version": {
			known: 9,
			delta: vanillabarrow.Delta{AsOf: 10, Items: []vanillabarrow.Item{item("config", large, 10)}},
		},
		"watch, three versions": {
			known: 9,
			delta: vanillabarrow.Delta{AsOf: 12, Items: []vanillabarrow.Item{
				item("config", large, 10), item("config", large, 11), item("config", large, 12),
			}},
			cause: listAfterSuperseded,
		},
		"watch, three versions, larger listing": {
			known: 9, listed: 1 << 20,
			delta: vanillabarrow.Delta{AsOf: 12, Items: []vanillabarrow.Item{
				item("config", large, 10), item("config", large, 11), item("config", large, 12),
			}},
		},
		"watch, three large items": {
			known: 9,
			delta: vanillabarrow.Delta{AsOf: 12, Items: []vanillabarrow.Item{
				item("config", large, 10), item("other", large, 11), item("third", large, 12),
			}},
		},
		"watch, versions of a small item": {
			known: 9,
			delta: vanillabarrow.Delta{AsOf: 13, Items: []vanillabarrow.Item{
				item("target", small, 10), item("target", small, 11), item("target", small, 12), item("config", large, 13),
			}},
		},
		"first listing": {
			delta: vanillabarrow.Delta{Full: true, AsOf: 900, Items: []vanillabarrow.Item{item("config", large, 900)}},
		},
		"listing, no change": {
			known: 9,
			delta: vanillabarrow.Delta{Full: true, AsOf: 9, Items: []vanillabarrow.Item{item("config", large, 9)}},
		},
		"listing, one version": {
			known: 9,
			delta: vanillabarrow.Delta{Full: true, AsOf: 10, Items: []vanillabarrow.Item{item("config", large, 10), item("target", small, 3)}},
		},
		"listing, three versions": {
			known: 9,
			delta: vanillabarrow.Delta{Full: true, AsOf: 12, Items: []vanillabarrow.Item{item("config", large, 12), item("target", small, 3)}},
			cause: listAfterSuperseded,
		},
		"listing, versions of a small item": {
			known: 9,
			delta: vanillabarrow.Delta{Full: true, AsOf: 12, Items: []vanillabarrow.Item{item("config", large, 3), item("target", small, 12)}},
		},
		"listing older than known": {
			known: 12,
			delta: vanillabarrow.Delta{Full: true, AsOf: 9, Items: []vanillabarrow.Item{item("config", large, 9)}},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, tt.cause, causeAfterDelta(&tt.delta, tt.known, tt.listed))
		})
	}
}

// tooLargeSource is a source whose responses are all too large.
type tooLargeSource struct{ calls int }

func (s *tooLargeSource) Probe(context.Context, vanillabarrow.ProbeRequest) (vanillabarrow.Version, error) {
	return 0, nil
}

func (s *tooLargeSource) List(context.Context, vanillabarrow.Version) (*vanillabarrow.Delta, error) {
	s.calls++
	return nil, vanillabarrow.ErrResponseTooLarge
}

func (s *tooLargeSource) Watch(ctx context.Context, _ vanillabarrow.WatchRequest) (*vanillabarrow.Delta, error) {
	return s.List(ctx, 0)
}

// TestTooLargeListingsAreRetriedWithBackoff checks that listings that are too
// large do not use up the budget for calls.
func TestTooLargeListingsAreRetriedWithBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &tooLargeSource{}
		n := startReader(t, s)
		time.Sleep(20 * time.Second)
		stopNodes(map[string]*node{"a1": n})
		require.LessOrEqual(t, s.calls, 20*int(time.Second/(2*backoffBase)))
	})
}
