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

// connectivity is whether the node is disconnected from the platform.
type connectivity bool

func (c connectivity) IsDisconnected(time.Time) bool { return bool(c) }

func (c connectivity) LastResponse() time.Time { return time.Time{} }

// changingConnectivity is the connectivity of a node whose platform responds at times.
type changingConnectivity struct {
	disconnected bool
	lastResponse time.Time
}

func (c *changingConnectivity) IsDisconnected(time.Time) bool { return c.disconnected }

func (c *changingConnectivity) LastResponse() time.Time { return c.lastResponse }

// TestStoppedTargetStaysOutDuringOutage guards against a target that had left before the
// platform stopped responding, and is served because it still reports that it is healthy.
func TestStoppedTargetStaysOutDuringOutage(t *testing.T) {
	tests := map[string]struct {
		// responds is set if the platform responds between the removal and the outage.
		responds, registeredAgain bool
		served                    bool
	}{
		"removed during the outage":              {served: true},
		"removed before the outage":              {responds: true},
		"removed before, registered and removed": {responds: true, registeredAgain: true, served: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cfg, platform := &staticConfig{}, &changingConnectivity{lastResponse: time.Now()}
				publish := func(removedAt time.Time, expired bool) {
					s := snapshot(false)
					s.Targets[target].RemovedAt, s.Targets[target].Expired = removedAt, expired
					cfg.snapshot.Store(s)
				}
				publish(time.Time{}, false)
				g := New(Config{
					OwnTarget: vanillabarrow.TargetRef{Name: target}, Incarnation: "one", Configuration: cfg, Executor: &fakeExecutor{status: 200},
					Limiter: limit.NewAdaptive(1), Connectivity: platform, Scope: tally.NoopScope, Logger: slog.New(slog.DiscardHandler),
				})
				tick := func() { time.Sleep(proberInterval); g.needsHealthCheck(time.Now()) }
				tick()
				removedAt := time.Now()
				publish(removedAt, false)
				tick()
				if tt.responds {
					platform.lastResponse = time.Now()
				}
				tick()
				if tt.registeredAgain {
					publish(time.Time{}, false)
					tick()
					removedAt = time.Now()
				}
				platform.disconnected = true
				publish(removedAt, true)
				tick()
				g.recordHealth(vanillabarrow.Health{OK: true, Target: target}, time.Now())
				_, err := g.Handle(t.Context(), attempt(g, "a"))
				require.Equal(t, tt.served, err == nil)
			})
		})
	}
}

// TestExpiredTarget checks when the gate serves a target whose registration has
// expired at the platform.
func TestExpiredTarget(t *testing.T) {
	healthy := vanillabarrow.Health{OK: true, Target: target}
	tests := map[string]struct {
		disconnected bool
		health       vanillabarrow.Health
		age          time.Duration
		draining,
		out bool
		served bool
	}{
		"disconnected, healthy":                         {disconnected: true, health: healthy, served: true},
		"disconnected, health unknown":                  {disconnected: true},
		"disconnected, unhealthy":                       {disconnected: true, health: vanillabarrow.Health{Target: target}},
		"disconnected, another target answered":         {disconnected: true, health: vanillabarrow.Health{OK: true, Target: "other"}},
		"disconnected, health check too old":            {disconnected: true, health: healthy, age: healthValidity},
		"connected, healthy":                            {health: healthy},
		"disconnected, healthy, out of service":         {disconnected: true, health: healthy, out: true},
		"disconnected, healthy, draining":               {disconnected: true, health: healthy, draining: true},
		"disconnected, health check just recent enough": {disconnected: true, health: healthy, age: healthValidity - time.Millisecond, served: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := snapshot(false)
				s.Targets[target].Expired = true
				s.Targets[target].OutOfService, s.Targets[target].Draining = tt.out, tt.draining
				cfg := &staticConfig{}
				cfg.snapshot.Store(s)
				e := &fakeExecutor{status: 200}
				g := New(Config{
					OwnTarget: vanillabarrow.TargetRef{Name: target}, Incarnation: "one", Configuration: cfg, Executor: e,
					Limiter: limit.NewAdaptive(1), Connectivity: connectivity(tt.disconnected), Scope: tally.NoopScope, Logger: slog.New(slog.DiscardHandler),
				})
				g.Configure(s, []string{target}, false)
				require.Equal(t, tt.disconnected, g.needsHealthCheck(time.Now()))
				g.recordHealth(tt.health, time.Now())
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
