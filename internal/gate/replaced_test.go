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

const address = "127.0.0.1:1"

// snapshotAt returns a snapshot with one target at the address.
func snapshotAt(name string) *vanillabarrow.Snapshot {
	entry := &vanillabarrow.Target{Name: name, Address: address, Service: service, Slots: 1}
	s := snapshot(false)
	s.Targets = map[string]*vanillabarrow.Target{name: entry}
	s.ByAddress = map[string]*vanillabarrow.Target{address: entry}
	return s
}

// newGateAt returns a gate whose target is the one at the address, "old" at first.
func newGateAt(e vanillabarrow.Executor) (*Gate, *staticConfig) {
	cfg := &staticConfig{}
	cfg.snapshot.Store(snapshotAt("old"))
	g := New(Config{
		OwnTarget: vanillabarrow.TargetRef{Address: address}, Incarnation: "one", Configuration: cfg, Executor: e,
		Limiter: limit.NewAdaptive(1), Connectivity: connectivity(false), Scope: tally.NoopScope, Logger: slog.New(slog.DiscardHandler),
	})
	g.Configure(cfg.Snapshot(), nil, false)
	return g, cfg
}

// TestReplacedTarget sends an attempt for a target by its published name after
// a health check. If another target responded to the check, attempts for the
// published one are refused without being sent, until the platform publishes
// the new one.
func TestReplacedTarget(t *testing.T) {
	tests := map[string]struct {
		answeredBy string
		// published is the name of the published target after the check.
		published  string
		runs       bool
		needsCheck bool
	}{
		"published target responded":   {"old", "old", true, false},
		"response without a name":      {"", "old", true, false},
		"another target responded":     {"new", "old", false, true},
		"other target published since": {"new", "new", true, false},
		"third target published since": {"new", "third", true, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			e := &fakeExecutor{status: http.StatusOK}
			g, cfg := newGateAt(e)
			g.recordHealth(vanillabarrow.Health{OK: true, Target: tt.answeredBy}, time.Now())
			cfg.snapshot.Store(snapshotAt(tt.published))
			g.Configure(cfg.Snapshot(), nil, false)
			require.Equal(t, tt.needsCheck, g.needsHealthCheck(time.Now()))
			a := attempt(g, "a")
			a.Target = &vanillabarrow.Target{Name: tt.published}
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
