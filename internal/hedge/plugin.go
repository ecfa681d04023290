package hedge

import (
	"go.uber.org/fx"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
	"github.com/vanillabarrow/vanillabarrow/internal/settings"
)

func init() {
	kernel.Register(kernel.Plugin{
		Name: "hedge",
		Options: fx.Options(
			fx.Provide(providePolicy, NewRunning, func(p *Policy) vanillabarrow.HedgePolicy { return p }),
			kernel.ProvideState(func(p *Policy) kernel.StateSource {
				return kernel.StateSource{Name: "hedging", State: func() any { return p.State() }}
			}),
		),
	})
}

func providePolicy(s settings.Settings) *Policy {
	return New(Config{Share: s.Hedging.Share, Quantile: s.Hedging.Quantile, MinDelay: s.Hedging.MinDelay})
}
