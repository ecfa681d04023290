package discovery

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
)

const (
	// heartbeatInterval is the longest time between two deltas of a stream.
	heartbeatInterval = 500 * time.Millisecond
	// HeartbeatTimeout is the time without a delta after which a stream counts as
	// broken.
	HeartbeatTimeout = 3 * heartbeatInterval
	// maxStreams bounds the nodes that follow this one.
	maxStreams = 64
)

// ErrBusy is the error for a node that has too many followers.
var ErrBusy = errors.New("too many nodes follow this one")

// Server passes the table's items on to other nodes.
type Server struct {
	table    *Table
	streams  atomic.Int64
	draining atomic.Bool
	left     chan struct{}
}

// NewServer returns a server in front of the table.
func NewServer(table *Table) *Server {
	return &Server{table: table, left: make(chan struct{})}
}

// Drain tells the followers to follow other nodes.
func (s *Server) Drain() {
	if !s.draining.Swap(true) {
		close(s.left)
	}
}

// Pull returns what changed since the cursor.
func (s *Server) Pull(cursor vanillabarrow.Cursor) *vanillabarrow.Delta {
	d := s.table.Since(cursor, time.Now())
	d.Draining = s.draining.Load()
	return d
}

// Serve sends a delta at each change, and an empty one at least at each
// interval, until the context ends or send fails. With announceOnly set deltas
// carry no items, only the revision up to which the node knows them.
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
		case <-s.left:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
