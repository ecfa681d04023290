package relay

import (
	"context"

	"golang.org/x/time/rate"

	"github.com/vanillabarrow/vanillabarrow/internal/membership"
)

const (
	// readerShare is the part of the read budget for all readers, and
	// othersShare that for all other nodes. The rest is a reserve.
	readerShare = 0.5
	othersShare = 0.25
	// readBurst is the number of reads that one node may make at once: a
	// manifest with its parts after a start.
	readBurst = 32
)

// ReadLimiter keeps a node's platform reads below its share. The shares of all
// nodes add up to less than the budget.
type ReadLimiter struct {
	total   float64
	limiter *rate.Limiter
}

// NewReadLimiter returns a budget with the total reads a second of all nodes.
func NewReadLimiter(total int) *ReadLimiter {
	return &ReadLimiter{total: float64(total), limiter: rate.NewLimiter(rate.Inf, 1)}
}

// UpdateShare computes the node's share from its place.
func (b *ReadLimiter) UpdateShare(view membership.View, fleetSize int) {
	limit, burst := ReadShare(b.total, view, fleetSize)
	b.limiter.SetLimit(rate.Limit(limit))
	b.limiter.SetBurst(burst)
}

// ReadShare returns the reads a second and the burst of a node.
func ReadShare(total float64, view membership.View, fleetSize int) (float64, int) {
	if view.Reader {
		share := total * readerShare / float64(max(1, view.FleetReaders))
		return share, max(1, min(readBurst, int(share)))
	}
	fleet := max(1, fleetSize, view.FleetSize)
	return total * othersShare / float64(fleet), 1
}

// Wait waits for one read.
func (b *ReadLimiter) Wait(ctx context.Context) error { return b.limiter.Wait(ctx) }
