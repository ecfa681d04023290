package follow

import (
	"context"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
)

// Hint names a node that has a newer version.
type Hint struct {
	Address string
	// Version is 0 if it is not known.
	Version vanillabarrow.Version
}

// Hints is a queue of at most one hint.
type Hints struct {
	queue chan Hint
}

// NewHints returns an empty queue.
func NewHints() *Hints { return &Hints{queue: make(chan Hint, 1)} }

// Add queues a hint. It is dropped if one is queued already.
func (h *Hints) Add(hint Hint) {
	select {
	case h.queue <- hint:
	default:
	}
}

// HandleAll calls handle with each hint, one at a time, until the context ends.
func (h *Hints) HandleAll(ctx context.Context, handle func(ctx context.Context, hint Hint)) {
	for {
		select {
		case hint := <-h.queue:
			handle(ctx, hint)
		case <-ctx.Done():
			return
		}
	}
}
