package gate

import (
	"context"
	"io"
	"sync"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
)

// releaser gives a slot back when the stream of an answer is closed.
type releaser struct {
	io.ReadCloser
	gate      *Gate
	admission vanillabarrow.Admission
	latency   time.Duration
	cancel    context.CancelFunc
	once      sync.Once
}

// Close closes the stream and gives the slot back.
func (r *releaser) Close() error {
	r.once.Do(func() {
		r.gate.limiter.Release(r.admission, vanillabarrow.SignalOK, r.latency)
		r.gate.running.Add(-1)
		r.cancel()
	})
	return r.ReadCloser.Close()
}
