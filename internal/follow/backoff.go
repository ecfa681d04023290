package follow

import (
	"context"
	"time"

	"github.com/vanillabarrow/vanillabarrow/internal/retry"
	"github.com/vanillabarrow/vanillabarrow/internal/sleep"
)

// Backoff bounds the delay after consecutive failures.
type Backoff struct {
	Base, Max time.Duration
}

// Delay returns the delay after the n-th consecutive failure: half of Base plus
// an exponential backoff with full jitter.
func (b Backoff) Delay(n int) time.Duration { return b.Base/2 + retry.Backoff(b.Base, b.Max, n) }

// Wait waits for the delay after the n-th consecutive failure. It returns false
// if the context ended first.
func (b Backoff) Wait(ctx context.Context, n int) bool { return sleep.For(ctx, b.Delay(n)) }
