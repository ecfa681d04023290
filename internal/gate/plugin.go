package gate

import (
	"context"
	"log/slog"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/fx"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/dispatch"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
	"github.com/vanillabarrow/vanillabarrow/internal/membership"
)

func init() {
	kernel.Register(kernel.Plugin{
		Name: "gate",
		Options: fx.Options(
			fx.Provide(fromParts, func(g *Gate) vanillabarrow.Gate { return g }),
			fx.Invoke(startConfigure, startWatcher, startProber),
			kernel.ProvideState(func(g *Gate) kernel.StateSource {
				return kernel.StateSource{Name: "gate", State: func() any { return g.State() }}
			}),
			kernel.ProvideDrainer(func(g *Gate) kernel.Drainer {
				return kernel.Drainer{Name: "gate", Drain: g.Drain, Refuse: g.Close}
			}),
		),
	})
}

func fromParts(id *kernel.Identity, cfg vanillabarrow.Configuration, executor vanillabarrow.Executor, memory vanillabarrow.KeyReleaser, limiter vanillabarrow.Limiter, isolation vanillabarrow.PlatformConnectivity, scope tally.Scope, logger *slog.Logger) *Gate {
	return New(Config{
		OwnTarget:     id.OwnTarget,
		Incarnation:   id.Incarnation,
		Configuration: cfg,
		Executor:      executor,
		KeyReleaser:   memory,
		Limiter:       limiter,
		Connectivity:  isolation,
		Scope:         scope,
		Logger:        logger,
	})
}

// configurer tells the gate about each change.
type configurer struct {
	gate    *Gate
	rollout vanillabarrow.Rollout
	members *membership.Table
}

func startConfigure(lc fx.Lifecycle, pool *kernel.Pool, g *Gate, rollout vanillabarrow.Rollout, members *membership.Table) {
	c := &configurer{gate: g, rollout: rollout, members: members}
	lc.Append(fx.StartHook(func() error { return pool.SubmitIO("gate.configure", c.loop) }))
}

func startWatcher(lc fx.Lifecycle, pool *kernel.Pool, g *Gate, rollout vanillabarrow.Rollout, logger *slog.Logger) {
	w := NewWatcher(g, rollout, logger)
	lc.Append(fx.StartHook(func() {
		pool.Every(func() time.Duration { return beatInterval }, true, "gate.watcher", w.Beat)
	}))
}

func startProber(lc fx.Lifecycle, pool *kernel.Pool, g *Gate, source HealthChecker, logger *slog.Logger) {
	p := NewProber(g, source, logger)
	lc.Append(fx.StartHook(func() {
		pool.Every(func() time.Duration { return checkInterval }, true, "gate.prober", p.Tick)
	}))
}

func (c *configurer) loop(ctx context.Context) {
	for {
		changed := c.rollout.Changed()
		c.configure()
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (c *configurer) configure() {
	snapshot := c.rollout.Snapshot()
	if snapshot == nil {
		return
	}
	// The membership follows the same change in a job of its own.
	c.members.Update(c.rollout.VMList(), snapshot)
	var homes []string
	leaving := false
	if target := c.gate.own.Resolve(snapshot); target != nil {
		homes = dispatch.KeyOwners(snapshot, snapshot.Services[target.Service], c.members.ListedLive)
		leaving = c.members.Leaving(target.VM)
	}
	c.gate.Configure(snapshot, homes, leaving)
}
