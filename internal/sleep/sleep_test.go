package sleep_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillabarrow/vanillabarrow/internal/sleep"
)

// TestUntilEndsAtTheFirstEvent guards against waits that outlast the change or
// the context, or that report a canceled context as a completed wait.
func TestUntilEndsAtTheFirstEvent(t *testing.T) {
	const never = time.Hour
	tests := map[string]struct {
		change, cancel, timeout time.Duration
		took                    time.Duration
		want                    bool
	}{
		"timeout": {never, never, time.Second, time.Second, true},
		"change":  {time.Second, never, 2 * time.Second, time.Second, true},
		"cancel":  {never, time.Second, 2 * time.Second, time.Second, false},
		"no time": {never, never, 0, 0, true},
		"past":    {never, never, -time.Second, 0, true},
		"ended":   {never, 0, 0, 0, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), tt.cancel)
				defer cancel()
				changed := make(chan struct{})
				timer := time.AfterFunc(tt.change, func() { close(changed) })
				defer timer.Stop()
				start := time.Now()
				require.Equal(t, tt.want, sleep.Until(ctx, changed, tt.timeout))
				require.Equal(t, tt.took, time.Since(start))
			})
		})
	}
}

// TestForWithoutChannel guards against a nil channel that ends or blocks a wait.
func TestForWithoutChannel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		require.True(t, sleep.For(t.Context(), time.Second))
		require.Equal(t, time.Second, time.Since(start))
	})
}

// TestWaitsWithoutTime guards against waits without time that end the process under the
// race detector, see Until.
func TestWaitsWithoutTime(t *testing.T) {
	const waiters, waits = 200, 300
	synctest.Test(t, func(t *testing.T) {
		for range waiters {
			go func() {
				for range waits {
					sleep.For(t.Context(), 0)
				}
			}()
		}
		synctest.Wait()
	})
}
