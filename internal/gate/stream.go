package gate

import (
	"io"
	"sync"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
)

// releaser gives a slot back when the stream of an answer is closed.
type releaser struct {
	io.ReadCloser
	gate    *Gate
	latency time.Duration
	once    sync.Once
}

// Close closes the stream and gives the slot back.
func (r *releaser) Close() error {
	r.once.Do(func() {
		r.gate.limiter.Release(vanillabarrow.SignalOK, r.latency)
		r.gate.running.Add(-1)
	})
	return r.ReadCloser.Close()
}
