package limit

import (
	"fmt"

	"go.uber.org/fx"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
	"github.com/vanillabarrow/vanillabarrow/internal/settings"
)

// initialSlots bounds the limit until the first snapshot gives the target's
// number of slots.
const initialSlots = 1

func init() {
	kernel.Register(kernel.Plugin{Name: "limit", Options: fx.Provide(provideLimiter)})
}

func provideLimiter(s settings.Settings) (vanillabarrow.Limiter, error) {
	switch s.Limiter {
	case vanillabarrow.LimiterAdaptive:
		return NewAdaptive(initialSlots), nil
	case vanillabarrow.LimiterFixed:
		return NewFixed(initialSlots), nil
	case vanillabarrow.LimiterOrdered:
		return NewOrdered(initialSlots), nil
	}
	return nil, fmt.Errorf("unknown limiter %q", s.Limiter)
}
