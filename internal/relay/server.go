package relay

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/rollout"
)

const (
	// heartbeatInterval is the period of messages on a quiet stream.
	heartbeatInterval = time.Second
	// HeartbeatTimeout is the time after which a stream without messages is given
	// up.
	HeartbeatTimeout = 3 * heartbeatInterval
	// maxStreams bounds the streams that a node serves.
	maxStreams = 64
	// maxSnapshots bounds the whole inventories that a node sends at once.
	maxSnapshots = 4
)

// ErrBusy refuses a stream or a snapshot at a node that serves too many. The
// refused node asks another.
var ErrBusy = errors.New("too many nodes are being served")

// Server passes the versions that a node holds to other nodes.
type Server struct {
	table     *rollout.Table
	draining  atomic.Bool
	drain     chan struct{}
	streams   atomic.Int64
	snapshots chan struct{}
	sent      atomic.Uint64
}

// NewServer returns a server for the versions in the table.
func NewServer(table *rollout.Table) *Server {
	return &Server{
		table:     table,
		drain:     make(chan struct{}),
		snapshots: make(chan struct{}, maxSnapshots),
	}
}

// Drain announces to all children that the node leaves, and ends their
// streams.
func (s *Server) Drain() {
	if s.draining.CompareAndSwap(false, true) {
		close(s.drain)
	}
}

// ServerState is what the server shows in the state dump.
type ServerState struct {
	Streams      int64  `json:"streams"`
	ContentBytes uint64 `json:"contentBytes"`
}

// State returns the state for the dump.
func (s *Server) State() ServerState {
	return ServerState{Streams: s.streams.Load(), ContentBytes: s.sent.Load()}
}

// Peek returns the versions held.
func (s *Server) Peek() map[vanillabarrow.Topic]vanillabarrow.Version {
	versions := map[vanillabarrow.Topic]vanillabarrow.Version{}
	for _, topic := range topics {
		if version := s.version(topic); version > 0 {
			versions[topic] = version
		}
	}
	return versions
}

// version returns the version that can be fetched here.
func (s *Server) version(topic vanillabarrow.Topic) vanillabarrow.Version {
	if b := s.table.HeldBundle(topic); b != nil {
		return b.Version
	}
	return 0
}

// Fetch returns what a node lacks that holds the given version, nil for
// nothing. Whole inventories are limited in number.
func (s *Server) Fetch(held vanillabarrow.TopicState) (*vanillabarrow.Update, error) {
	if held.Version == 0 {
		select {
		case s.snapshots <- struct{}{}:
			defer func() { <-s.snapshots }()
		default:
			return nil, ErrBusy
		}
	}
	update, err := s.table.UpdateFor(held)
	if err != nil {
		return nil, err
	}
	if update != nil {
		s.sent.Add(uint64(update.Size()))
	}
	return update, nil
}

// Serve sends messages until the context ends or sending fails. Each message
// is made against what the child holds by then, so nothing is buffered for a
// slow child: it gets the newest version when it is ready.
func (s *Server) Serve(ctx context.Context, held []vanillabarrow.TopicState, announceOnly bool, send func(vanillabarrow.StreamMessage) error) error {
	if s.streams.Add(1) > maxStreams {
		s.streams.Add(-1)
		return ErrBusy
	}
	defer s.streams.Add(-1)
	child := &child{server: s, held: map[vanillabarrow.Topic]vanillabarrow.TopicState{}, announceOnly: announceOnly, send: send}
	for _, topic := range topics {
		child.held[topic] = vanillabarrow.TopicState{Topic: topic}
	}
	for _, h := range held {
		child.held[h.Topic] = h
	}
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		changed := s.table.Changed()
		if err := child.sendNewer(); err != nil {
			return err
		}
		if s.draining.Load() {
			return send(vanillabarrow.StreamMessage{Draining: true})
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.drain:
		case <-changed:
		case <-ticker.C:
			if err := send(vanillabarrow.StreamMessage{}); err != nil {
				return err
			}
		}
	}
}

// child is one stream to another node.
type child struct {
	server       *Server
	held         map[vanillabarrow.Topic]vanillabarrow.TopicState
	announceOnly bool
	send         func(vanillabarrow.StreamMessage) error
}

// sendNewer sends each topic of which the child holds less.
func (c *child) sendNewer() error {
	for _, topic := range topics {
		version := c.server.version(topic)
		if version <= c.held[topic].Version {
			continue
		}
		if err := c.sendTopic(topic, version); err != nil {
			return err
		}
	}
	return nil
}

func (c *child) sendTopic(topic vanillabarrow.Topic, version vanillabarrow.Version) error {
	if c.announceOnly {
		c.held[topic] = vanillabarrow.TopicState{Topic: topic, Version: version}
		return c.send(vanillabarrow.StreamMessage{Announced: map[vanillabarrow.Topic]vanillabarrow.Version{topic: version}})
	}
	update, err := c.server.Fetch(c.held[topic])
	if err != nil || update == nil {
		return err
	}
	if err := c.send(vanillabarrow.StreamMessage{Update: update}); err != nil {
		return err
	}
	c.held[topic] = heldAfter(update)
	if topic == vanillabarrow.TopicConfig && c.server.table.Status().InForce == update.Version {
		// What is accepted here is most likely accepted there.
		c.held[vanillabarrow.TopicAccepted] = vanillabarrow.TopicState{Topic: vanillabarrow.TopicAccepted, Version: update.Version}
	}
	return nil
}

// heldAfter returns what a child holds once it has applied the update.
func heldAfter(u *vanillabarrow.Update) vanillabarrow.TopicState {
	held := vanillabarrow.TopicState{
		Topic:      u.Topic,
		Version:    u.Version,
		RootDigest: u.Root.Digest,
		Parts:      make(map[string]string, len(u.Parts)),
	}
	for _, p := range u.Parts {
		held.Parts[p.Name] = p.Digest
	}
	return held
}
