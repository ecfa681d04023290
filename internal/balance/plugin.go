package balance

import (
	"fmt"

	"go.uber.org/fx"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
	"github.com/vanillabarrow/vanillabarrow/internal/settings"
)

func init() {
	kernel.Register(kernel.Plugin{Name: "balance", Options: fx.Provide(provideBalancer)})
}

func provideBalancer(s settings.Settings) (vanillabarrow.Balancer, error) {
	b := New(s.Balancer)
	if b == nil {
		return nil, fmt.Errorf("unknown balancer %q", s.Balancer)
	}
	return b, nil
}
