package node

import (
	"context"
	"time"

	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
	"github.com/vanillabarrow/vanillabarrow/internal/settings"
	"github.com/vanillabarrow/vanillabarrow/internal/sleep"
)

// shutdown ends requests in flight while the plug-ins stop, which takes as long as
// requests are in flight.
type shutdown struct {
	drainers []kernel.Drainer
	// waitTimeout is the time in which requests may wait for a slot, drainTimeout that
	// in which they may be in flight.
	waitTimeout, drainTimeout time.Duration
}

// newShutdown returns a shutdown with the times of the settings. What gets a slot last has
// at least a quarter of the drain timeout.
func newShutdown(drainers []kernel.Drainer, s settings.Settings) *shutdown {
	return &shutdown{drainers: drainers, waitTimeout: min(s.WaitTimeout, s.DrainTimeout*3/4), drainTimeout: s.DrainTimeout}
}

// run calls the drainers until the context ends.
func (s *shutdown) run(ctx context.Context) {
	start := time.Now()
	if !sleep.For(ctx, s.waitTimeout) {
		return
	}
	for _, d := range s.drainers {
		if d.Withdraw != nil {
			d.Withdraw()
		}
	}
	if !sleep.For(ctx, s.drainTimeout-time.Since(start)) {
		return
	}
	for _, d := range s.drainers {
		if d.Abort != nil {
			d.Abort()
		}
	}
}
