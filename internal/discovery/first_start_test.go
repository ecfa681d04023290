package discovery

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
	"github.com/vanillabarrow/vanillabarrow/internal/membership"
)

// countingRelay counts the open streams with items and the full copies that a
// node requested.
type countingRelay struct {
	*fakeRelay
	mu         sync.Mutex
	withItems  int
	fullCopies int
}

func (r *countingRelay) note(request vanillabarrow.ItemRequest, streams int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if request.AnnounceOnly {
		return
	}
	r.withItems += streams
	if request.AsOf == 0 && streams >= 0 {
		r.fullCopies++
	}
}

func (r *countingRelay) Pull(ctx context.Context, address string, request vanillabarrow.ItemRequest) (*vanillabarrow.Delta, error) {
	r.note(request, 0)
	return r.fakeRelay.Pull(ctx, address, request)
}

func (r *countingRelay) Follow(ctx context.Context, address string, request vanillabarrow.ItemRequest, receive func(*vanillabarrow.Delta) error) error {
	r.note(request, 1)
	defer r.note(request, -1)
	return r.fakeRelay.Follow(ctx, address, request, receive)
}

// TestStartedNodeGetsItemsOnce guards against a second stream with items that
// stays open after the start, so that each change is sent to the node twice.
func TestStartedNodeGetsItemsOnce(t *testing.T) {
	tests := map[string][]string{
		"seed of the own data centre": {"a1"},
		"seed of the other one":       {"b1"},
		"both":                        {"a1", "b1"},
	}
	for name, seeds := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &fakeStore{values: map[string]string{}}
				store.write("target", false)
				store.put("op/config", newRouteTable(routeCount).String())
				relay := &countingRelay{fakeRelay: &fakeRelay{uplinks: map[string]*slowLink{
					"a1": {busy: make(chan struct{}, 1)}, "b1": {busy: make(chan struct{}, 1)},
				}}}
				nodes := startFleet(t, store, relay.fakeRelay, []string{"a1", "b1"})
				time.Sleep(10 * time.Second)
				logger := slog.New(slog.DiscardHandler)
				n := &node{source: &fakeSource{mu: &sync.Mutex{}, store: store, unavailable: true}, pool: kernel.NewPool(kernel.DefaultPoolConfig(), logger)}
				compiler := fakeCompiler{vms: []string{"a1", "a2", "b1"}}
				n.follower = NewFollower(Config{
					Table: NewTable("a2", valueOrder{}), Members: membership.New("a2", "a", 1), Source: n.source, Compiler: compiler, Relay: relay,
					Pool: n.pool, Logger: logger, Scope: tally.NoopScope, SelfAddress: "a2", FleetSize: 3, ReadBudget: 100, Seeds: seeds,
				})
				nodes["a2"] = n
				defer stopNodes(nodes)
				require.NoError(t, n.follower.Start())
				time.Sleep(time.Minute)
				require.True(t, n.has("target"))
				relay.mu.Lock()
				defer relay.mu.Unlock()
				require.LessOrEqual(t, relay.withItems, 1, "open streams with items a minute after the start; %d full copies were requested", relay.fullCopies)
			})
		})
	}
}
