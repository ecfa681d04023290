package membership

import (
	"go.uber.org/fx"

	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
	"github.com/vanillabarrow/vanillabarrow/internal/settings"
)

// dumpState is the entry of the membership in the state dump.
type dumpState struct {
	View     View     `json:"view"`
	Suspects []string `json:"suspects"`
}

func init() {
	kernel.Register(kernel.Plugin{
		Name: "membership",
		Options: fx.Options(
			fx.Provide(func(id *kernel.Identity, s settings.Settings) *Table {
				return New(id.VM, id.DataCentre, s.Platform.Readers)
			}),
			kernel.ProvideState(func(t *Table) kernel.StateSource {
				return kernel.StateSource{Name: "membership", State: func() any {
					return dumpState{View: t.View(), Suspects: t.Suspects()}
				}}
			}),
		),
	})
}
