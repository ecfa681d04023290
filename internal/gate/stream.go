package gate

import (
	"context"
	"io"
	"sync"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
)

// slotReleaser releases the slot when the stream of a response is closed.
type slotReleaser struct {
	io.ReadCloser
	gate      *Gate
	admission vanillabarrow.Admission
	signal    vanillabarrow.TargetSignal
	latency   time.Duration
	cancel    context.CancelFunc
	once      sync.Once
}

// Close closes the stream and releases the slot. Further calls don't release it
// again.
func (r *slotReleaser) Close() error {
	r.once.Do(func() {
		r.gate.limiter.Release(r.admission, r.signal, r.latency)
		r.gate.running.Add(-1)
		r.cancel()
	})
	return r.ReadCloser.Close()
}
