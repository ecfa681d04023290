package relay

import (
	"context"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/follow"
	"github.com/vanillabarrow/vanillabarrow/internal/logging"
)

// Hint implements vanillabarrow.Rollout. At most one hint is queued; further
// ones are dropped.
func (f *Follower) Hint(address string, version vanillabarrow.Version) {
	f.hints.Add(follow.Hint{Address: address, Version: version})
}

func (f *Follower) loopHints(ctx context.Context) { f.hints.HandleAll(ctx, f.handleHint) }

// handleHint fetches what the node at the hint's address has, unless the
// version arrives within announceGracePeriod.
func (f *Follower) handleHint(ctx context.Context, h follow.Hint) {
	if h.Version > 0 && f.waitForVersion(ctx, vanillabarrow.TopicConfig, h.Version, announceGracePeriod) {
		return
	}
	if err := f.syncFrom(ctx, h.Address); err != nil {
		f.Logger.Debug(logging.EventHintFailed, "peer", h.Address, "error", err)
	}
}

// waitForVersion waits until the version of the topic is held, at most for
// timeout, and reports whether it is.
func (f *Follower) waitForVersion(ctx context.Context, topic vanillabarrow.Topic, version vanillabarrow.Version, timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		changed := f.Table.Changed()
		if f.Table.HeldVersion(topic) >= version {
			return true
		}
		select {
		case <-changed:
		case <-timer.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}
