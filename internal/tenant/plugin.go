package tenant

import (
	"context"
	"log/slog"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/fx"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
)

// tickInterval is the interval at which a node checks which reports are due.
const tickInterval = 100 * time.Millisecond

// MaxUses is the number of tenants in the state dump and the status.
const MaxUses = 20

func init() {
	kernel.Register(kernel.Plugin{
		Name: "tenant",
		Options: fx.Options(
			fx.Provide(
				provideAllowances,
				func(id *kernel.Identity, cfg vanillabarrow.Configuration) *Owner {
					return NewOwner(cfg, id.Incarnation)
				},
				func(id *kernel.Identity) *Holder { return NewHolder(id.VM, id.Incarnation, time.Now()) },
				func(o *Owner) vanillabarrow.AllowanceOwner { return o },
				func(a *Allowances) vanillabarrow.Allowances { return a },
			),
			fx.Invoke(startReports),
			kernel.ProvideDrainer(func(o *Owner) kernel.Drainer {
				return kernel.Drainer{Name: "tenant", Drain: o.Leave}
			}),
			kernel.ProvideState(func(h *Holder) kernel.StateSource {
				return kernel.StateSource{Name: "allowances", State: func() any { return h.State() }}
			}),
			kernel.ProvideState(func(o *Owner) kernel.StateSource {
				return kernel.StateSource{Name: "ownedAllowances", State: func() any { return o.Uses(MaxUses) }}
			}),
		),
	})
}

func provideAllowances(lc fx.Lifecycle, cfg vanillabarrow.Configuration, o *Owner, h *Holder, e vanillabarrow.AllowanceExchange, scope tally.Scope, logger *slog.Logger) *Allowances {
	a := New(Config{Configuration: cfg, Owner: o, Exchange: e, Holder: h, Scope: scope, Logger: logger})
	lc.Append(fx.StopHook(a.Close))
	return a
}

func startReports(lc fx.Lifecycle, pool *kernel.Pool, a *Allowances) {
	lc.Append(fx.StartHook(func(context.Context) {
		pool.Every(func() time.Duration { return tickInterval }, false, "tenant.report", a.Tick)
	}))
}
