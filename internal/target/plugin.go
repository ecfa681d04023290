package target

import (
	"context"
	"time"

	"go.uber.org/fx"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/gate"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
)

// sweepInterval is the interval at which connections that were idle for too
// long are closed.
const sweepInterval = 2 * time.Second

func init() {
	kernel.Register(kernel.Plugin{
		Name: "target",
		Options: fx.Options(
			fx.Provide(provideExecutor, func(e *Executor) (vanillabarrow.Executor, gate.HealthChecker) { return e, e }),
			fx.Invoke(startSweep),
		),
	})
	kernel.Register(kernel.Plugin{
		Name:    "target.protocol",
		Profile: vanillabarrow.ProfileInventory,
		Options: fx.Provide(func() vanillabarrow.TargetProtocol { return NewProtocol() }),
	})
}

func provideExecutor(lc fx.Lifecycle, id *kernel.Identity, cfg vanillabarrow.Configuration, protocol vanillabarrow.TargetProtocol) *Executor {
	e := New(id.OwnTarget, cfg, protocol)
	lc.Append(fx.StopHook(e.Close))
	return e
}

func startSweep(lc fx.Lifecycle, pool *kernel.Pool, e *Executor) {
	lc.Append(fx.StartHook(func() {
		pool.Every(func() time.Duration { return sweepInterval }, false, "target.sweep",
			func(context.Context) { e.Sweep(time.Now()) })
	}))
}
