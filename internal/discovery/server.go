package discovery

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
)

const (
	// heartbeatInterval is the maximum time between two deltas of a stream.
	heartbeatInterval = 500 * time.Millisecond
	// HeartbeatTimeout is the time without a delta after which a stream counts
	// as broken.
	HeartbeatTimeout = 3 * heartbeatInterval
	// maxStreams bounds the streams that a node serves.
	maxStreams = 64
)

// ErrBusy is returned to a node that opens a stream while maxStreams are open.
// That node follows another one instead.
var ErrBusy = errors.New("too many open streams")

// Server sends the items of a table to other nodes.
type Server struct {
	table        *Table
	streams      atomic.Int64
	draining     atomic.Bool
	drainStarted chan struct{}
}

// NewServer returns a server for the items in the table.
func NewServer(table *Table) *Server {
	return &Server{table: table, drainStarted: make(chan struct{})}
}

// Drain announces to all nodes that follow this one that it is shutting down,
// which ends their streams. It does not wait for them.
func (s *Server) Drain() {
	if !s.draining.Swap(true) {
		close(s.drainStarted)
	}
}

// Pull returns the items that changed since the cursor, or all items if the
// cursor is of another incarnation.
func (s *Server) Pull(cursor vanillabarrow.Cursor) *vanillabarrow.Delta {
	d := s.table.Since(cursor, time.Now())
	d.Draining = s.draining.Load()
	return d
}

// Serve sends a delta immediately and at each change, and an empty one as
// heartbeat after each heartbeatInterval without a change, until the context
// ends, send fails or the node drains, which a last delta announces. With
// announceOnly set, deltas carry no items, only the revision up to which the
// node knows them. Serve fails with ErrBusy if too many streams are open.
func (s *Server) Serve(ctx context.Context, cursor vanillabarrow.Cursor, announceOnly bool, send func(*vanillabarrow.Delta) error) error {
	defer s.streams.Add(-1)
	if s.streams.Add(1) > maxStreams {
		return ErrBusy
	}
	timer := time.NewTimer(heartbeatInterval)
	defer timer.Stop()
	for {
		changed := s.table.Changed()
		d := s.Pull(cursor)
		if announceOnly {
			d.Items, d.Full = nil, false
		}
		if err := send(d); err != nil {
			return err
		}
		if d.Draining {
			return nil
		}
		cursor = d.Cursor
		timer.Reset(heartbeatInterval)
		select {
		case <-changed:
		case <-timer.C:
		case <-s.drainStarted:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
