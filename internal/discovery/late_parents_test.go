package discovery

import (
	"fmt"
	"log/slog"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/vanillabarrow/vanillabarrow/internal/membership"
)

// TestChangeIsAppliedBehindLateNodes guards against an old configuration that counts as
// recent because it is received from nodes that are slow.
func TestChangeIsAppliedBehindLateNodes(t *testing.T) {
	const late = 3 * time.Second
	fleet := lostReaders{dataCentres: 3, nodes: 12}
	tests := map[string]struct {
		// late is the number of nodes, by rank, whose deltas arrive late.
		late int
	}{
		"the readers":                    {late: 1},
		"the readers and their children": {late: 9},
		"all nodes":                      {late: fleet.nodes},
	}
	for name, tt := range tests {
		for _, phase := range []time.Duration{0, 370 * time.Millisecond} {
			t.Run(fmt.Sprint(name, "/", phase), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s, relay := &fakeStore{values: map[string]string{}}, &fakeRelay{}
					s.write("first", false)
					ranked := fleet.vms()
					nodes := startFleet(t, s, relay, slices.Concat(ranked...))
					defer stopNodes(nodes)
					time.Sleep(3 * time.Second)
					var slow []string
					for _, list := range ranked {
						slow = append(slow, list[:tt.late]...)
					}
					relay.delay(slow, late)
					time.Sleep(10*time.Second + phase)
					nodes[slow[0]].source.set(func() { s.write("second", false) })
					time.Sleep(nodes[slow[0]].follower.Bounds.ConfigApply)
					var without []string
					for vm, n := range nodes {
						if !n.has("second") {
							without = append(without, vm)
						}
					}
					require.Empty(t, without, "nodes without the change")
					require.LessOrEqual(t, maxCallsPerSecond(nodes), nodes[slow[0]].follower.ReadBudget)
				})
			})
		}
	}
}

// TestPullFromLateNode guards against pulled items that count as recent although they
// were on their way for long.
func TestPullFromLateNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const late = 3 * time.Second
		s, relay := &fakeStore{values: map[string]string{}}, &fakeRelay{}
		s.write("first", false)
		nodes := startFleet(t, s, relay, []string{"a1", "a2"})
		defer stopNodes(nodes)
		time.Sleep(3 * time.Second)
		f := NewFollower(Config{
			Table: NewTable("b1", valueOrder{}), Members: membership.New("b1", "b", 1), Relay: relay, Logger: slog.New(slog.DiscardHandler), Scope: tally.NoopScope,
		})
		relay.setLateness(map[string]time.Duration{"a1": late})
		requestedAt := time.Now()
		require.NoError(t, f.syncFrom(t.Context(), "a1", pullHint))
		require.False(t, f.Table.ConfirmedAt().After(requestedAt))
	})
}
