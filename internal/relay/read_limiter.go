package relay

import (
	"context"

	"golang.org/x/time/rate"

	"github.com/vanillabarrow/vanillabarrow/internal/membership"
)

const (
	// readerShare is the part of the read budget for all readers together,
	// standbyShare that for all standby readers, and nonReaderShare that for all
	// other nodes. The rest is a reserve.
	readerShare    = 0.5
	standbyShare   = 0.125
	nonReaderShare = 0.25
	// maxReadBurst bounds the reads that a reader may make in one burst. It
	// lets a reader read a manifest and its parts after a start.
	maxReadBurst = 32
)

// ReadLimiter limits the rate of a node's platform reads to its share of the
// read budget. The shares of all nodes add up to less than the budget.
type ReadLimiter struct {
	total   float64
	limiter *rate.Limiter
}

// NewReadLimiter returns a limiter for a read budget of total reads per second
// for all nodes. It does not limit reads until the first UpdateShare.
func NewReadLimiter(total int) *ReadLimiter {
	return &ReadLimiter{total: float64(total), limiter: rate.NewLimiter(rate.Inf, 1)}
}

// UpdateShare sets the limit to the node's share according to ReadShare.
func (l *ReadLimiter) UpdateShare(view membership.View, fleetSize int) {
	limit, burst := ReadShare(l.total, view, fleetSize)
	l.limiter.SetLimit(rate.Limit(limit))
	l.limiter.SetBurst(burst)
}

// ReadShare returns the reads per second and the burst allowed to a node, given
// the total reads per second of all nodes. The fleetSize is assumed while the
// view shows a smaller fleet.
func ReadShare(total float64, view membership.View, fleetSize int) (float64, int) {
	if view.Reader {
		share := total * readerShare / float64(max(1, view.FleetReaders))
		return share, max(1, min(maxReadBurst, int(share)))
	}
	if view.StandbyReader {
		share := total * standbyShare / float64(max(1, view.FleetStandbyReaders))
		return share, max(1, min(maxReadBurst, int(share)))
	}
	fleet := max(1, fleetSize, view.FleetSize)
	return total * nonReaderShare / float64(fleet), 1
}

// Wait blocks until one read is allowed. It fails if the context ends first.
func (l *ReadLimiter) Wait(ctx context.Context) error { return l.limiter.Wait(ctx) }
