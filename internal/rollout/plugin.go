package rollout

import (
	"go.uber.org/fx"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
)

func init() {
	kernel.Register(kernel.Plugin{
		Name:    "rollout",
		Profile: vanillabarrow.ProfileInventory,
		Options: fx.Options(
			fx.Provide(New),
			kernel.ProvideState(func(t *Table) kernel.StateSource {
				return kernel.StateSource{Name: "rollout", State: func() any { return t.Status() }}
			}),
		),
	})
}
