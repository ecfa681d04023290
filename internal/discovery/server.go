package discovery

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
	"github.com/vanillabarrow/vanillabarrow/internal/logging"
	"github.com/vanillabarrow/vanillabarrow/internal/patch"
)

const (
	// maxHeartbeatInterval is the maximum of timers.heartbeatInterval.
	maxHeartbeatInterval = 500 * time.Millisecond
	// HeartbeatTimeout is the time without a delta after which a stream counts
	// as broken.
	HeartbeatTimeout = 3 * maxHeartbeatInterval
	// maxStreams bounds the streams that a node serves.
	maxStreams = 64
	// slowSendTime is the time after which the send of a delta is logged.
	slowSendTime = 100 * time.Millisecond
)

// ErrBusy is returned to a node that opens a stream while maxStreams are open.
// That node follows another one instead.
var ErrBusy = errors.New("too many open streams")

// Server sends the items of a table to other nodes.
type Server struct {
	table        *Table
	timers       timers
	logger       *slog.Logger
	scope        tally.Scope
	patcher      patcher
	streams      atomic.Int64
	draining     atomic.Bool
	drainStarted chan struct{}
}

// NewServer returns a server for the items in the table.
func NewServer(table *Table, bounds vanillabarrow.Bounds, logger *slog.Logger, scope tally.Scope) *Server {
	return &Server{
		table:        table,
		timers:       newTimers(bounds),
		logger:       logger,
		scope:        scope.SubScope("discovery"),
		patcher:      patcher{cache: patch.NewCache()},
		drainStarted: make(chan struct{}),
	}
}

// Drain announces to all nodes that follow this one that it is shutting down,
// which ends their streams. It does not wait for them.
func (s *Server) Drain() {
	if !s.draining.Swap(true) {
		close(s.drainStarted)
	}
}

// Pull returns the items that the node which sent the request lacks.
func (s *Server) Pull(r vanillabarrow.ItemRequest) (*vanillabarrow.Delta, error) {
	d, err := s.since(r, s.table.basesOf(r.Held), time.Now())
	if err != nil {
		return nil, err
	}
	s.countSent(d, sentPull)
	return d, nil
}

// since returns the delta to send for a request, received at the given time, to a node
// that holds the given values, to which it adds those of the delta.
func (s *Server) since(r vanillabarrow.ItemRequest, held heldValues, receivedAt time.Time) (*vanillabarrow.Delta, error) {
	now := time.Now()
	d := s.table.Since(r, now)
	if r.WithoutEras {
		dropEras(d)
	}
	d.SentAfter = now.Sub(receivedAt)
	d.Draining = s.draining.Load()
	switch {
	case r.AnnounceOnly:
		d.Items, d.Full, d.FullAfter = nil, false, 0
	case r.AcceptsPatches:
		if err := s.patcher.compress(d, held); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// Values of the tag "message" of the metrics about sent deltas.
const (
	sentPull   = "pull"
	sentStream = "stream"
)

func (s *Server) countSent(d *vanillabarrow.Delta, message string) {
	scope := s.scope.Tagged(map[string]string{"message": message})
	scope.Counter("sentBytes").Inc(int64(d.Size()))
	if d.Full {
		scope.Counter("sentFull").Inc(1)
	}
}

// sendDelta sends a delta on the stream of a peer, and logs a send that was
// held up.
func (s *Server) sendDelta(peer string, d *vanillabarrow.Delta, send func(*vanillabarrow.Delta) error) error {
	s.countSent(d, sentStream)
	start := time.Now()
	err := send(d)
	took := time.Since(start)
	s.scope.Histogram("sendTime", kernel.LatencyBuckets()).RecordDuration(took)
	if took > slowSendTime {
		s.logger.Info(logging.EventItemsSentSlowly, "peer", peer, "asOf", d.AsOf, "items", len(d.Items), "bytes", d.Size(),
			"took", took, "behind", revisionsBetween(d.AsOf, s.table.AsOf()))
	}
	return err
}

// Serve sends a delta immediately and at each change, and an empty one when the
// platform has confirmed the data again or as heartbeat, until the context ends,
// send fails or the node drains, which a last delta announces. With
// AnnounceOnly set, deltas carry no items, only the revision up to which the
// node knows them. The peer is the VM of the node that follows. Serve fails with
// ErrBusy if too many streams are open.
func (s *Server) Serve(ctx context.Context, peer string, r vanillabarrow.ItemRequest, send func(*vanillabarrow.Delta) error) error {
	defer s.streams.Add(-1)
	if s.streams.Add(1) > maxStreams {
		return ErrBusy
	}
	receivedAt := time.Now()
	held := s.table.basesOf(r.Held)
	timer := time.NewTimer(s.timers.heartbeatInterval)
	defer timer.Stop()
	for {
		changed, confirmedAt := s.table.Changed(), s.table.ConfirmedAt()
		d, err := s.since(r, held, receivedAt)
		if err != nil {
			return err
		}
		if err := s.sendDelta(peer, d, send); err != nil {
			return err
		}
		if d.Draining {
			return nil
		}
		r.Cursor = d.Cursor
		timer.Reset(s.timers.heartbeatInterval)
		if err := s.waitForNews(ctx, changed, confirmedAt, timer.C); err != nil {
			return err
		}
	}
}

// waitForNews waits until the items changed, the platform's confirmation has
// progressed by heartbeatInterval since confirmedAt, the heartbeat is due or the node
// drains.
func (s *Server) waitForNews(ctx context.Context, changed <-chan struct{}, confirmedAt time.Time, heartbeat <-chan time.Time) error {
	for {
		confirmed := s.table.Confirmed()
		if s.table.ConfirmedAt().Sub(confirmedAt) >= s.timers.heartbeatInterval {
			return nil
		}
		select {
		case <-confirmed:
		case <-changed:
			return nil
		case <-heartbeat:
			return nil
		case <-s.drainStarted:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
