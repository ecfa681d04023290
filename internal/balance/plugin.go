package balance

import (
	"fmt"

	"go.uber.org/fx"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
	"github.com/vanillabarrow/vanillabarrow/internal/settings"
)

func init() {
	kernel.Register(kernel.Plugin{Name: "balance", Options: fx.Provide(fromSettings)})
}

func fromSettings(s settings.Settings) (vanillabarrow.Balancer, error) {
	b := New(s.Balancer)
	if b == nil {
		return nil, fmt.Errorf("balancer: no balancer is named %q", s.Balancer)
	}
	return b, nil
}
