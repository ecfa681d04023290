package target

import (
	"go.uber.org/fx"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
)

func init() {
	kernel.Register(kernel.Plugin{Name: "target", Options: fx.Provide(provide)})
}

func provide(lc fx.Lifecycle, id *kernel.Identity, cfg vanillabarrow.Configuration) vanillabarrow.Executor {
	e := New(id.Target, cfg)
	lc.Append(fx.StopHook(e.Close))
	return e
}
