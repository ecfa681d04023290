package discovery

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestChangeIsAppliedBehindSlowWatches guards against an old configuration that probes
// confirm while the reader receives a newer one.
func TestChangeIsAppliedBehindSlowWatches(t *testing.T) {
	tests := map[string]lostReaders{
		"one data centre":    {dataCentres: 1, nodes: 11},
		"three data centres": {dataCentres: 3, nodes: 4},
	}
	for name, fleet := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &fakeStore{values: map[string]string{}}
				s.write("first", false)
				ranked := fleet.vms()
				nodes := startFleet(t, s, &fakeRelay{}, slices.Concat(ranked...))
				defer stopNodes(nodes)
				time.Sleep(6 * time.Second)
				for _, list := range ranked {
					reader := nodes[list[0]].source
					reader.set(func() { reader.responseTime = 4 * time.Second })
				}
				nodes[ranked[0][0]].source.set(func() { s.write("second", false) })
				time.Sleep(nodes[ranked[0][0]].follower.Bounds.ConfigApply)
				for _, list := range ranked {
					for _, vm := range list[1:] {
						require.True(t, nodes[vm].has("second"), vm)
					}
				}
			})
		})
	}
}
