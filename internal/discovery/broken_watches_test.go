package discovery

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
)

// watchResponse is what a broken watch returns.
type watchResponse func(ctx context.Context, r vanillabarrow.WatchRequest) (*vanillabarrow.Delta, error)

// brokenWatches is a source whose watches bring no news while broken is set, although its
// other calls work.
type brokenWatches struct {
	*fakeSource
	watch  watchResponse
	broken *bool
	lists  *int
}

func (s brokenWatches) List(ctx context.Context, held vanillabarrow.Version) (*vanillabarrow.Delta, error) {
	s.set(func() { *s.lists++ })
	return s.fakeSource.List(ctx, held)
}

func (s brokenWatches) Watch(ctx context.Context, r vanillabarrow.WatchRequest) (*vanillabarrow.Delta, error) {
	broken := false
	s.set(func() { broken = *s.broken })
	if broken {
		return s.watch(ctx, r)
	}
	return s.fakeSource.Watch(ctx, r)
}

// startBrokenFleet starts a fleet whose watches break after six seconds, and returns the
// number of its listings.
func startBrokenFleet(t *testing.T, s *fakeStore, watch watchResponse) (f *restoredFleet, lists func() int) {
	s.values = map[string]string{}
	for _, key := range []string{"k1", "k2", "k3", "k4"} {
		s.write(key, false)
	}
	broken, n := false, 0
	nodes := newFleet(s, &fakeRelay{}, []string{"a1", "a2", "a3", "a4", "b1", "b2", "b3"}, discardLogs)
	for _, node := range nodes {
		node.follower.Source = brokenWatches{node.source, watch, &broken, &n}
	}
	startNodesOf(t, nodes)
	f = &restoredFleet{t, s, nodes}
	time.Sleep(6 * time.Second)
	f.set(func() { broken = true })
	return f, func() (count int) {
		f.set(func() { count = n })
		return count
	}
}

// TestChangesAreAppliedBesideBrokenWatches guards against nodes that repeat a watch which
// brings no news, and never list, and against listings that follow each other without a
// pause.
func TestChangesAreAppliedBesideBrokenWatches(t *testing.T) {
	// maxListings is one a second at each node that reads the store: the reader and two
	// standby readers of both data centres.
	const period, maxListings = 30 * time.Second, 6 * 30
	tests := map[string]watchResponse{
		"error": func(context.Context, vanillabarrow.WatchRequest) (*vanillabarrow.Delta, error) {
			return nil, errUnavailable
		},
		"header only": func(ctx context.Context, r vanillabarrow.WatchRequest) (*vanillabarrow.Delta, error) {
			select {
			case <-ctx.Done():
				return nil, context.Cause(ctx)
			case <-time.After(max(r.Wait+lateAfter, silentCallTime)):
				return nil, vanillabarrow.ErrResponseIncomplete
			}
		},
		"lower revision": func(_ context.Context, r vanillabarrow.WatchRequest) (*vanillabarrow.Delta, error) {
			return &vanillabarrow.Delta{AsOf: r.After - 1}, nil
		},
		"later era": func(context.Context, vanillabarrow.WatchRequest) (*vanillabarrow.Delta, error) {
			return &vanillabarrow.Delta{AsOf: eraVersion(7, 1)}, nil
		},
	}
	for name, watch := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, lists := startBrokenFleet(t, &fakeStore{stated: 1}, watch)
				defer stopNodes(f.nodes)
				time.Sleep(3 * time.Second)
				before := lists()
				time.Sleep(period)
				require.LessOrEqual(t, lists()-before, maxListings)
				for _, key := range []string{"new1", "new2"} {
					f.set(func() { f.store.write(key, false) })
					f.requireWithin(key, true, "added")
				}
				for vm, n := range f.nodes {
					require.Equal(t, eraVersion(1, 1).Era(), n.follower.Table.AsOf().Era(), vm)
				}
			})
		})
	}
}

// mistakenLists is a source that states a later era than the store's in some listings.
type mistakenLists struct {
	*fakeSource
	// mistakes is the number of these listings that are left.
	mistakes *int
}

func (s mistakenLists) List(ctx context.Context, held vanillabarrow.Version) (*vanillabarrow.Delta, error) {
	d, err := s.fakeSource.List(ctx, held)
	s.set(func() {
		if err == nil && *s.mistakes > 0 {
			*s.mistakes--
			d.AsOf = eraVersion(7, d.AsOf.Revision())
		}
	})
	return d, err
}

// TestEraOfOneResponse guards against a fleet that follows a later era which one response
// states by mistake, or some with others between them.
func TestEraOfOneResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{stated: 1, values: map[string]string{}}
		s.write("k1", false)
		nodes, mistakes := newFleet(s, &fakeRelay{}, []string{"a1", "a2", "a3", "b1", "b2"}, discardLogs), 0
		for _, node := range nodes {
			node.follower.Source = mistakenLists{node.source, &mistakes}
		}
		startNodesOf(t, nodes)
		defer stopNodes(nodes)
		f := &restoredFleet{t, s, nodes}
		time.Sleep(6 * time.Second)
		for range 20 {
			f.each("", func(s *fakeSource) { s.historyLost = true })
			f.set(func() { mistakes = 1 })
			f.set(func() { f.store.write("k1", false) })
			time.Sleep(5 * time.Second)
			f.set(func() { require.Zero(t, mistakes) })
		}
		f.set(func() { f.store.write("new", false) })
		f.requireWithin("new", true, "added")
		for vm, n := range f.nodes {
			require.Equal(t, eraVersion(1, 1).Era(), n.follower.Table.AsOf().Era(), vm)
		}
	})
}
