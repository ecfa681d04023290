package platform

import (
	"go.uber.org/fx"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
	"github.com/vanillabarrow/vanillabarrow/internal/settings"
)

func init() {
	kernel.Register(kernel.Plugin{
		Name:    "platform",
		Profile: vanillabarrow.ProfileInventory,
		Options: fx.Provide(provideSource),
	})
}

func provideSource(lc fx.Lifecycle, s settings.Settings, t *kernel.Traffic) vanillabarrow.Source {
	c := New(s.Platform.URL, s.Node.DataCentre, t)
	lc.Append(fx.StopHook(c.Close))
	return c
}
