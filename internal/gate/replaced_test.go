package gate

import (
	"log/slog"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/limit"
)

// TestReplacedTarget asks for a target by its published name after a health
// check. When another target answered, requests for the published one are
// refused without asking the target, until the platform names the new one.
func TestReplacedTarget(t *testing.T) {
	const address = "127.0.0.1:1"
	named := func(name string) *vanillabarrow.Snapshot {
		published := &vanillabarrow.Target{Name: name, Address: address, Service: service, Slots: 1}
		s := snapshot(false)
		s.Targets = map[string]*vanillabarrow.Target{name: published}
		s.ByAddress = map[string]*vanillabarrow.Target{address: published}
		return s
	}
	tests := map[string]struct {
		answeredBy string
		// then is the target that the platform names after the check.
		then   string
		runs   bool
		checks bool
	}{
		"the published one": {"old", "old", true, false},
		"gave no name":      {"", "old", true, false},
		"another one":       {"new", "old", false, true},
		"named since":       {"new", "new", true, false},
		"a third is named":  {"new", "third", true, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			e := &scripted{status: http.StatusOK}
			cfg := &fixed{}
			cfg.snapshot.Store(named("old"))
			g := New(Config{
				OwnTarget: vanillabarrow.TargetRef{Address: address}, Incarnation: "one", Configuration: cfg, Executor: e,
				Limiter: limit.NewAdaptive(1), Connectivity: cut(false), Scope: tally.NoopScope, Logger: slog.New(slog.DiscardHandler),
			})
			g.Configure(cfg.Snapshot(), nil, false)
			g.noteHealth(vanillabarrow.Health{OK: true, Target: tt.answeredBy}, time.Now())
			cfg.snapshot.Store(named(tt.then))
			g.Configure(cfg.Snapshot(), nil, false)
			require.Equal(t, tt.checks, g.needsHealth(time.Now()))
			a := attempt(g, "a")
			a.Target = &vanillabarrow.Target{Name: tt.then}
			_, err := g.Handle(t.Context(), a)
			if tt.runs {
				require.NoError(t, err)
				return
			}
			require.Error(t, err)
			require.Equal(t, vanillabarrow.ReasonWrongTarget, vanillabarrow.AsRefusal(err).Reason)
			require.Zero(t, e.runs.Load())
		})
	}
}
