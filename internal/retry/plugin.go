package retry

import (
	"go.uber.org/fx"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
	"github.com/vanillabarrow/vanillabarrow/internal/settings"
)

func init() {
	kernel.Register(kernel.Plugin{
		Name: "retry",
		Options: fx.Options(
			fx.Provide(provideBudget, func(b *Budget) vanillabarrow.RetryPolicy { return b }),
			kernel.ProvideState(func(b *Budget) kernel.StateSource {
				return kernel.StateSource{Name: "retry", State: func() any {
					return b.Tokens()
				}}
			}),
		),
	})
}

func provideBudget(s settings.Settings) *Budget {
	return New(Config{Share: s.Retries.Share, Reserve: s.Retries.Reserve, ShedCost: s.Retries.ShedCost})
}
