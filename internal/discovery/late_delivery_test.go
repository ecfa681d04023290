package discovery

import (
	"context"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/sleep"
)

// maxLateDeltas bounds the deltas on their way from one node to another.
const maxLateDeltas = 1024

// lateDelta is a delta on its way and the time of its arrival.
type lateDelta struct {
	delta     *vanillabarrow.Delta
	arrivesAt time.Time
}

// lateDeltas holds the deltas on their way from a node whose lateness is not 0, as in
// the buffers of a connection.
type lateDeltas struct {
	receive func(*vanillabarrow.Delta) error
	cancel  context.CancelFunc
	deltas  chan lateDelta
	done    chan struct{}
	// err is the error of receive. It is set before done is closed.
	err error
}

func (l *lateDeltas) run(ctx context.Context) {
	defer close(l.done)
	for {
		select {
		case next := <-l.deltas:
			if !sleep.For(ctx, time.Until(next.arrivesAt)) {
				return
			}
			if l.err = l.receive(next.delta); l.err != nil {
				l.cancel()
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// latenessOf returns how long the deltas of a node are on their way.
func (f *fakeRelay) latenessOf(address string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lateness[address]
}

// delay makes the deltas of nodes arrive later and later, until they are on their way
// for the given time.
func (f *fakeRelay) delay(addresses []string, lateness time.Duration) {
	const steps = 20
	for i := range steps {
		byAddress := map[string]time.Duration{}
		for _, address := range addresses {
			byAddress[address] = lateness * time.Duration(i+1) / steps
		}
		f.setLateness(byAddress)
		time.Sleep(time.Second)
	}
}

// setLateness sets how long the deltas of nodes are on their way, by address.
func (f *fakeRelay) setLateness(byAddress map[string]time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lateness = byAddress
}
