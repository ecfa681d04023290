package limit

import (
	"fmt"

	"go.uber.org/fx"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
	"github.com/vanillabarrow/vanillabarrow/internal/settings"
)

// startSlots bounds the limit until the first snapshot tells the real bound.
const startSlots = 1

func init() {
	kernel.Register(kernel.Plugin{Name: "limit", Options: fx.Provide(fromSettings)})
}

func fromSettings(s settings.Settings) (vanillabarrow.Limiter, error) {
	switch s.Limiter {
	case vanillabarrow.LimiterAdaptive:
		return NewAdaptive(startSlots), nil
	case vanillabarrow.LimiterFixed:
		return NewFixed(startSlots), nil
	case vanillabarrow.LimiterOrdered:
		return NewOrdered(startSlots), nil
	}
	return nil, fmt.Errorf("limiter: no limiter is named %q", s.Limiter)
}
