package discovery

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
)

// restoredFleet is a fleet whose store can be restored from a copy.
type restoredFleet struct {
	*testing.T
	store *fakeStore
	nodes map[string]*node
}

func startRestoredFleet(t *testing.T, s *fakeStore) *restoredFleet {
	s.values = map[string]string{}
	for _, key := range []string{"k1", "k2", "left", "draining"} {
		s.write(key, false)
	}
	f := &restoredFleet{t, s, startFleet(t, s, &fakeRelay{}, []string{"a1", "a2", "a3", "a4", "b1", "b2", "b3", "c1", "c2", "c3"})}
	time.Sleep(6 * time.Second)
	return f
}

func (f *restoredFleet) set(change func()) { f.nodes["a1"].source.set(change) }

// each changes the sources of all nodes, or of those of one data centre.
func (f *restoredFleet) each(dataCentre string, change func(s *fakeSource)) {
	for vm, n := range f.nodes {
		if dataCentre == "" || vm[:1] == dataCentre {
			n.source.set(func() { change(n.source) })
		}
	}
}

// requireWithin checks that a key is in force at all nodes, or at none, within the bound
// on changes.
func (f *restoredFleet) requireWithin(key string, inForce bool, message string) {
	time.Sleep(vanillabarrow.DefaultBounds().ConfigApply)
	for vm, n := range f.nodes {
		require.Equal(f, inForce, n.has(key), "%s: %s at %s, which holds %s", message, key, vm, n.follower.Table.AsOf())
	}
}

// loseWrites makes changes of all kinds, and restores the store without them.
func (f *restoredFleet) loseWrites(away time.Duration) {
	c := f.store.backup()
	for range 20 {
		f.set(func() { f.store.write("k1", false) })
	}
	f.set(func() {
		f.store.write("came", false)
		f.store.write("left", true)
		f.store.write("draining", false)
	})
	f.requireWithin("left", false, "before the restore")
	if away > 0 {
		f.each("", func(s *fakeSource) { s.unavailable = true })
		time.Sleep(away)
	}
	f.set(func() { f.store.restore(c) })
	f.each("", func(s *fakeSource) { s.unavailable = false })
}

// TestChangesAreAppliedAfterRestore guards against nodes that take the changes of a
// store which came back from an older copy for old ones.
func TestChangesAreAppliedAfterRestore(t *testing.T) {
	tests := map[string]struct {
		store fakeStore
		away  time.Duration
		// settled is the time from the restore until the next change.
		settled time.Duration
		trouble func(f *restoredFleet)
	}{
		"era, history lost":        {store: fakeStore{stated: 1, reportsGaps: true}},
		"era, watches wait":        {store: fakeStore{stated: 1}},
		"era, away":                {store: fakeStore{stated: 1, reportsGaps: true}, away: 1500 * time.Millisecond},
		"no era, history lost":     {store: fakeStore{reportsGaps: true}, settled: time.Second},
		"no era, watches wait":     {store: fakeStore{}, settled: 2500 * time.Millisecond},
		"no era, away":             {store: fakeStore{}, away: 1500 * time.Millisecond, settled: time.Second},
		"era, stale reads":         {store: fakeStore{stated: 1, staleFor: 5 * time.Second}, settled: 2500 * time.Millisecond},
		"no era, stale reads":      {store: fakeStore{staleFor: 5 * time.Second}, settled: 2500 * time.Millisecond},
		"era, twice":               {store: fakeStore{stated: 1, reportsGaps: true}, trouble: func(f *restoredFleet) { f.loseWrites(0) }},
		"no era, twice":            {store: fakeStore{}, settled: 2500 * time.Millisecond, trouble: func(f *restoredFleet) { time.Sleep(2500 * time.Millisecond); f.loseWrites(0) }},
		"era, data centre away":    {store: fakeStore{stated: 1, reportsGaps: true}, trouble: dataCentreAway},
		"no era, data centre away": {store: fakeStore{}, settled: 2500 * time.Millisecond, trouble: dataCentreAway},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := tt.store
				f := startRestoredFleet(t, &store)
				defer stopNodes(f.nodes)
				f.loseWrites(tt.away)
				if tt.trouble != nil {
					tt.trouble(f)
				}
				time.Sleep(tt.settled)
				f.set(func() { f.store.write("new", false) })
				f.requireWithin("new", true, "added after the restore")
				f.set(func() { f.store.write("k2", true) })
				f.requireWithin("k2", false, "removed after the restore")
				f.requireWithin("left", false, "removed before the restore")
				for vm, n := range f.nodes {
					require.Less(t, time.Since(n.follower.Table.ConfirmedAt()), n.follower.timers.staleAfter+time.Second, vm)
				}
			})
		})
	}
}

// dataCentreAway disconnects a data centre from the store for a while after a restore.
func dataCentreAway(f *restoredFleet) {
	f.each("b", func(s *fakeSource) { s.unavailable = true })
	time.Sleep(4 * time.Second)
	f.each("b", func(s *fakeSource) { s.unavailable = false })
}

// TestChangesAreAppliedWithoutWatches guards against nodes that hold items and wait for
// watches that never respond, while other calls do.
func TestChangesAreAppliedWithoutWatches(t *testing.T) {
	tests := map[string]fakeStore{
		"other reads are exact": {},
		"other reads are stale": {staleFor: 5 * time.Second},
		"era":                   {stated: 3, staleFor: 5 * time.Second},
	}
	for name, store := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startRestoredFleet(t, &store)
				defer stopNodes(f.nodes)
				f.each("", func(s *fakeSource) { s.watchesSilent = true })
				time.Sleep(3 * time.Second)
				for _, key := range []string{"new1", "new2", "new3"} {
					f.set(func() { f.store.write(key, false) })
					f.requireWithin(key, true, "added")
				}
				f.set(func() { f.store.write("k2", true) })
				f.requireWithin("k2", false, "removed")
			})
		})
	}
}

// TestChangesDuringRestoreAreApplied guards against changes that are lost for good since
// writers raise the revision above the one held before a second listing shows the restore.
func TestChangesDuringRestoreAreApplied(t *testing.T) {
	tests := map[string]fakeStore{
		"no era": {reportsGaps: true},
		"era":    {reportsGaps: true, stated: 1},
	}
	for name, store := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startRestoredFleet(t, &store)
				defer stopNodes(f.nodes)
				f.each("", func(s *fakeSource) { s.listTime = 250 * time.Millisecond })
				c := f.store.backup()
				for range 20 {
					f.set(func() { f.store.write("k1", false) })
				}
				f.set(func() { f.store.put("k2", "500") })
				f.requireWithin("k2", true, "before the restore")
				f.set(func() { f.store.restore(c) })
				f.set(func() { f.store.put("k2", "501") })
				for range 60 {
					f.set(func() { f.store.write("k1", false) })
					time.Sleep(10 * time.Millisecond)
				}
				time.Sleep(vanillabarrow.DefaultBounds().ConfigApply)
				for vm, n := range f.nodes {
					require.Equal(t, "501", n.follower.Snapshot().Targets["k2"].Service, "%s holds %s", vm, n.follower.Table.AsOf())
				}
			})
		})
	}
}
