package gate

import (
	"context"
	"log/slog"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/fx"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/dispatch"
	"github.com/vanillabarrow/vanillabarrow/internal/hedge"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
	"github.com/vanillabarrow/vanillabarrow/internal/membership"
	"github.com/vanillabarrow/vanillabarrow/internal/settings"
)

// checkInterval is the maximum time between two health checks of a healthy target, 0
// for none.
type checkInterval time.Duration

func init() {
	kernel.Register(kernel.Plugin{
		Name: "gate",
		Options: fx.Options(
			fx.Provide(provideGate, func(g *Gate) vanillabarrow.Gate { return g }),
			fx.Invoke(startConfigurer, startPauseDetector, startProber),
			kernel.ProvideState(func(g *Gate) kernel.StateSource {
				return kernel.StateSource{Name: "gate", State: func() any { return g.State() }}
			}),
			kernel.ProvideDrainer(func(g *Gate) kernel.Drainer {
				return kernel.Drainer{Name: "gate", Drain: g.Drain, Refuse: g.Close}
			}),
		),
	})
	kernel.Register(kernel.Plugin{
		Name:    "gate.inventory",
		Profile: vanillabarrow.ProfileInventory,
		Options: fx.Supply(checkInterval(0)),
	})
	kernel.Register(kernel.Plugin{
		Name:    "gate.store",
		Profile: vanillabarrow.ProfileStore,
		// Half of the bound is left for the backoff and the check that confirms a report.
		Options: fx.Provide(func(s settings.Settings) checkInterval { return checkInterval(s.Bounds.Drain / 2) }),
	})
}

func provideGate(id *kernel.Identity, cfg vanillabarrow.Configuration, executor vanillabarrow.Executor, keyReleaser vanillabarrow.KeyReleaser, limiter vanillabarrow.Limiter, connectivity vanillabarrow.PlatformConnectivity, calls *dispatch.CallOutcomes, hedges *hedge.Running, scope tally.Scope, logger *slog.Logger) *Gate {
	return New(Config{
		OwnTarget:     id.OwnTarget,
		Incarnation:   id.Incarnation,
		Configuration: cfg,
		Executor:      executor,
		KeyReleaser:   keyReleaser,
		Limiter:       limiter,
		Connectivity:  connectivity,
		Calls:         calls,
		Hedges:        hedges,
		Scope:         scope,
		Logger:        logger,
	})
}

// configurer applies configuration changes to the gate.
type configurer struct {
	gate    *Gate
	rollout vanillabarrow.Rollout
	members *membership.Table
}

func startConfigurer(lc fx.Lifecycle, pool *kernel.Pool, g *Gate, rollout vanillabarrow.Rollout, members *membership.Table) {
	c := &configurer{gate: g, rollout: rollout, members: members}
	lc.Append(fx.StartHook(func() error { return pool.SubmitIO("gate.configure", c.loop) }))
}

func startPauseDetector(lc fx.Lifecycle, pool *kernel.Pool, g *Gate, rollout vanillabarrow.Rollout, logger *slog.Logger) {
	d := NewPauseDetector(g, rollout, logger)
	lc.Append(fx.StartHook(func() {
		pool.Every(func() time.Duration { return detectorInterval }, true, "gate.watcher", d.Tick)
	}))
}

func startProber(lc fx.Lifecycle, pool *kernel.Pool, g *Gate, checker HealthChecker, interval checkInterval, logger *slog.Logger) {
	p := NewProber(g, checker, time.Duration(interval), logger)
	lc.Append(fx.StartHook(func() {
		pool.Every(func() time.Duration { return proberInterval }, true, "gate.prober", p.Tick)
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
	// Another job updates the membership table for the same change, possibly
	// later.
	c.members.Update(c.rollout.VMList(), snapshot)
	var owners []string
	leaving := false
	if target := c.gate.ownTarget.Resolve(snapshot); target != nil {
		owners = dispatch.KeyOwners(snapshot, snapshot.Services[target.Service], c.members.ListedLive)
		leaving = c.members.Leaving(target.VM)
	}
	c.gate.Configure(snapshot, owners, leaving)
}
