package gate

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
)

// TestDrainAndClose checks that a draining gate reports so immediately but
// still runs requests, and that it refuses them once it is closed or its VM is
// published as leaving.
func TestDrainAndClose(t *testing.T) {
	tests := map[string]struct {
		prepare  func(g *Gate)
		draining bool
		refuses  bool
	}{
		"running":              {func(*Gate) {}, false, false},
		"draining":             {func(g *Gate) { g.Drain() }, true, false},
		"closed":               {func(g *Gate) { g.Close() }, true, true},
		"published as leaving": {func(g *Gate) { g.leaving.Store(true) }, true, true},
		"draining twice":       {func(g *Gate) { g.Drain(); g.Drain() }, true, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			e := &fakeExecutor{status: http.StatusOK}
			g, _ := newGate(e)
			tt.prepare(g)
			require.Equal(t, tt.draining, g.Draining())
			require.Equal(t, tt.refuses, g.Load(0).Unavailable)
			_, err := g.Handle(t.Context(), attempt(g, "a"))
			if !tt.refuses {
				require.NoError(t, err)
				return
			}
			require.Error(t, err)
			require.Equal(t, vanillabarrow.ReasonDraining, vanillabarrow.AsRefusal(err).Reason)
			require.Zero(t, e.runs.Load())
		})
	}
}
