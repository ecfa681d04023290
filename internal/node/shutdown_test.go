package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
	"github.com/vanillabarrow/vanillabarrow/internal/settings"
)

// TestShutdownTimes guards against requests that are withdrawn only when they are aborted,
// and against callbacks after the end of a stop.
func TestShutdownTimes(t *testing.T) {
	tests := map[string]struct {
		waitTimeout, drainTimeout, stop time.Duration
		// withdrawn and aborted are the times of the callbacks, 0 for none.
		withdrawn, aborted time.Duration
	}{
		"all requests last":          {1500 * time.Millisecond, 2700 * time.Millisecond, 3 * time.Second, 1500 * time.Millisecond, 2700 * time.Millisecond},
		"drained before the wait":    {1500 * time.Millisecond, 2700 * time.Millisecond, time.Second, 0, 0},
		"drained after the wait":     {1500 * time.Millisecond, 2700 * time.Millisecond, 2 * time.Second, 1500 * time.Millisecond, 0},
		"wait longer than the drain": {15 * time.Second, 4 * time.Second, 5 * time.Second, 3 * time.Second, 4 * time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				var withdrawn, aborted time.Duration
				drainers := []kernel.Drainer{
					{Name: "none"},
					{Name: "all", Withdraw: func() { withdrawn = time.Since(start) }, Abort: func() { aborted = time.Since(start) }},
				}
				ctx, cancel := context.WithTimeout(t.Context(), tt.stop)
				defer cancel()
				newShutdown(drainers, settings.Settings{WaitTimeout: tt.waitTimeout, DrainTimeout: tt.drainTimeout}).run(ctx)
				require.Equal(t, tt.withdrawn, withdrawn)
				require.Equal(t, tt.aborted, aborted)
			})
		})
	}
}
