package retry

import (
	"go.uber.org/fx"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
)

func init() {
	kernel.Register(kernel.Plugin{
		Name: "retry",
		Options: fx.Options(
			fx.Provide(New, func(b *Budget) vanillabarrow.RetryPolicy { return b }),
			kernel.ProvideState(func(b *Budget) kernel.StateSource {
				return kernel.StateSource{Name: "retry", State: func() any {
					return map[string]float64{"tokens": b.Tokens()}
				}}
			}),
		),
	})
}
