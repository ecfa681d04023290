package discovery

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/random"
)

// removalCompiler states when targets were removed, as the platform's compiler does.
type removalCompiler struct{ fakeCompiler }

func (c removalCompiler) Compile(items []vanillabarrow.Item, version vanillabarrow.Version, now time.Time) (*vanillabarrow.Snapshot, []error) {
	s, problems := c.fakeCompiler.Compile(items, version, now)
	for _, item := range items {
		if item.Removed && s.Targets[item.Key] != nil {
			s.Targets[item.Key].RemovedAt = item.FirstSeenAt
		}
	}
	return s, problems
}

// TestRestoreBesideRemovedTargets guards against nodes that all list when their own targets
// are removed, or missing in a copy.
func TestRestoreBesideRemovedTargets(t *testing.T) {
	// maxListings is some for each reader.
	const maxListings = 20
	tests := map[string]func(f *costFleet){
		"calm, none": func(*costFleet) {},
		"calm, 60 targets leave": func(f *costFleet) {
			f.set(func() {
				for _, vm := range f.vms[:60] {
					f.store.write("servers/"+vm, true)
				}
			})
		},
		"restore, copy lacks 100 targets": func(f *costFleet) {
			f.set(func() {
				c := f.store.backup()
				for _, vm := range f.vms[:100] {
					delete(c.values, "servers/"+vm)
				}
				c.revision -= 5
				f.store.restore(c)
			})
		},
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				defer random.Seed(1)()
				f := newCostFleet(195)
				for vm, n := range f.nodes {
					n.follower.Compiler = removalCompiler{fakeCompiler{vms: f.vms}}
					n.follower.OwnTarget = vanillabarrow.TargetRef{Name: "servers/" + vm}
				}
				startNodesOf(t, f.nodes)
				defer stopNodes(f.nodes)
				time.Sleep(15 * time.Second)
				f.meter.take()
				change(f)
				time.Sleep(3 * time.Second)
				cost := f.meter.take()
				require.LessOrEqual(t, cost.peak1s, storeReadBudget)
				require.LessOrEqual(t, cost.lists, maxListings, "%+v", cost)
			})
		})
	}
}

// TestSilentWatchesAreNoDisconnection guards against a node that counts as disconnected
// while only watches do not respond, so that its gate serves a target that was removed.
func TestSilentWatchesAreNoDisconnection(t *testing.T) {
	tests := map[string]struct {
		unavailable, want bool
	}{
		"other calls respond":  {false, false},
		"no call is responded": {true, true},
	}
	for name, tt := range tests {
		for _, vm := range []string{"a1", "a2", "a3", "a4"} {
			t.Run(name+"/"+vm, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					vms := []string{"a1", "a2", "a3", "a4", "b1", "b2", "b3"}
					s := &fakeStore{values: map[string]string{}}
					s.write("own", false)
					nodes := newFleet(s, &fakeRelay{}, vms, discardLogs)
					for _, n := range nodes {
						n.follower.Compiler = removalCompiler{fakeCompiler{vms: vms}}
						// The removed target stays until the end.
						n.follower.timers.removalGrace, n.follower.timers.unconfirmedRemovalGrace = 10*time.Second, 10*time.Second
					}
					nodes[vm].follower.OwnTarget = vanillabarrow.TargetRef{Name: "own"}
					startNodesOf(t, nodes)
					defer stopNodes(nodes)
					f := &restoredFleet{t, s, nodes}
					time.Sleep(6 * time.Second)
					f.each("", func(s *fakeSource) { s.watchesSilent = true })
					time.Sleep(3 * time.Second)
					f.set(func() { f.store.write("own", true) })
					time.Sleep(vanillabarrow.DefaultBounds().ConfigApply / 2)
					removedAt := time.Now()
					nodes[vm].source.set(func() { nodes[vm].source.unavailable = tt.unavailable })
					disconnected := false
					for range 40 {
						time.Sleep(100 * time.Millisecond)
						disconnected = disconnected || nodes[vm].follower.IsDisconnected(time.Now())
					}
					require.Equal(t, tt.want, disconnected)
					require.Equal(t, !tt.want, nodes[vm].follower.LastResponse().After(removedAt))
				})
			})
		}
	}
}
