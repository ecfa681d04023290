package rollout

import (
	"go.uber.org/fx"

	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
)

func init() {
	kernel.Register(kernel.Plugin{
		Name: "rollout",
		Options: fx.Options(
			fx.Provide(New),
			kernel.ProvideState(func(t *Table) kernel.StateSource {
				return kernel.StateSource{Name: "rollout", State: func() any { return t.Status() }}
			}),
		),
	})
}
