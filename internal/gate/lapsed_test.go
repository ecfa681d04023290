package gate

import (
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/limit"
)

// cut tells that the node is cut off, or not.
type cut bool

func (c cut) IsDisconnected(time.Time) bool { return bool(c) }

// TestLapsedTarget checks when the gate serves a target whose entry the platform
// dropped.
func TestLapsedTarget(t *testing.T) {
	well := vanillabarrow.Health{OK: true, Target: target}
	tests := map[string]struct {
		cutOff bool
		health vanillabarrow.Health
		age    time.Duration
		draining,
		out bool
		served bool
	}{
		"cut off and well":             {cutOff: true, health: well, served: true},
		"cut off, health not known":    {cutOff: true},
		"cut off, about to leave":      {cutOff: true, health: vanillabarrow.Health{Target: target}},
		"cut off, another answers":     {cutOff: true, health: vanillabarrow.Health{OK: true, Target: "other"}},
		"cut off, well a while ago":    {cutOff: true, health: well, age: healthyFor},
		"the platform answers":         {health: well},
		"cut off, but taken out":       {cutOff: true, health: well, out: true},
		"cut off, but said to drain":   {cutOff: true, health: well, draining: true},
		"cut off, still within limits": {cutOff: true, health: well, age: healthyFor - time.Millisecond, served: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := snapshot(false)
				s.Targets[target].Expired = true
				s.Targets[target].OutOfService, s.Targets[target].Draining = tt.out, tt.draining
				cfg := &fixed{}
				cfg.snapshot.Store(s)
				e := &scripted{status: 200}
				g := New(Config{
					OwnTarget: vanillabarrow.TargetRef{Name: target}, Incarnation: "one", Configuration: cfg, Executor: e,
					Limiter: limit.NewAdaptive(1), Connectivity: cut(tt.cutOff), Scope: tally.NoopScope, Logger: slog.New(slog.DiscardHandler),
				})
				g.Configure(s, []string{target}, false)
				require.Equal(t, tt.cutOff, g.needsHealth(time.Now()))
				g.noteHealth(tt.health, time.Now())
				time.Sleep(tt.age)
				_, err := g.Handle(t.Context(), attempt(g, "a"))
				if tt.served {
					require.NoError(t, err)
					return
				}
				require.Error(t, err)
				require.Equal(t, vanillabarrow.ReasonTargetOut, vanillabarrow.AsRefusal(err).Reason)
				require.Equal(t, vanillabarrow.VerdictNotRun, vanillabarrow.AsRefusal(err).Verdict)
				require.Zero(t, e.runs.Load())
			})
		})
	}
}
