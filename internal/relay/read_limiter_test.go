package relay_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/membership"
	"github.com/vanillabarrow/vanillabarrow/internal/relay"
)

// TestReadShares guards against shares that exceed the budget together, and against
// standby readers that can't take the place of the readers: a node that watches in
// turns of a second needs about one read in each of them.
func TestReadShares(t *testing.T) {
	const total = 2000
	tests := map[string]struct {
		dataCentres, nodes, readers int
	}{
		"small":                    {3, 4, 1},
		"one node a data centre":   {2, 1, 1},
		"hundreds of nodes":        {13, 15, 1},
		"long-run size":            {21, 219, 1},
		"long-run size, inventory": {21, 219, membership.DefaultReaders},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			snapshot := &vanillabarrow.Snapshot{VMs: map[string]*vanillabarrow.VM{}}
			for i := range tt.dataCentres * tt.nodes {
				vm := fmt.Sprint("vm-", i)
				snapshot.VMs[vm] = &vanillabarrow.VM{Name: vm, DataCentre: fmt.Sprint("dc-", i%tt.dataCentres)}
			}
			sum := 0.0
			// One data centre, since all are alike.
			for i := 0; i < tt.dataCentres*tt.nodes; i += tt.dataCentres {
				table := membership.New(fmt.Sprint("vm-", i), "dc-0", tt.readers)
				table.Update(nil, snapshot)
				view := table.View()
				share, burst := relay.ReadShare(total, view, 0)
				sum += share
				require.Positive(t, burst)
				if view.Reader || view.StandbyReader {
					require.Greater(t, share, 2.0)
				}
			}
			require.LessOrEqual(t, sum*float64(tt.dataCentres), total*0.9)
		})
	}
}
