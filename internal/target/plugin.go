package target

import (
	"context"
	"time"

	"go.uber.org/fx"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/gate"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
)

// sweepInterval is the period at which idle connections are looked at.
const sweepInterval = 2 * time.Second

func init() {
	kernel.Register(kernel.Plugin{
		Name: "target",
		Options: fx.Options(
			fx.Provide(fromParts, func(e *Executor) (vanillabarrow.Executor, gate.HealthChecker) { return e, e }),
			fx.Invoke(startSweep),
		),
	})
	kernel.Register(kernel.Plugin{
		Name:    "target.protocol",
		Profile: vanillabarrow.ProfileInventory,
		Options: fx.Provide(func() vanillabarrow.TargetProtocol { return NewProtocol() }),
	})
}

func fromParts(lc fx.Lifecycle, id *kernel.Identity, cfg vanillabarrow.Configuration, protocol vanillabarrow.TargetProtocol) *Executor {
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
