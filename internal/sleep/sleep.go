// Package sleep provides waits that end early when a context is canceled.
package sleep

import (
	"context"
	"time"
)

// For waits for d, not at all if d is not positive. It returns false if the context
// ended first.
func For(ctx context.Context, d time.Duration) bool { return Until(ctx, nil, d) }

// Until waits until the channel is closed, at most for d. It returns false if
// the context ended first.
func Until(ctx context.Context, changed <-chan struct{}, d time.Duration) bool {
	if d <= 0 {
		// Timers that are due run in the goroutines that wait for them. If many do at once
		// in a bubble of synctest, the race detector ends the process.
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-changed:
		return true
	case <-ctx.Done():
		return false
	}
}
