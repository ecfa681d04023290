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
	// heartbeatInterval is the maximum time between two messages of a stream.
	heartbeatInterval = time.Second
	// HeartbeatTimeout is the time without a message after which a stream
	// counts as broken.
	HeartbeatTimeout = 3 * heartbeatInterval
	// maxStreams bounds the streams that a node serves.
	maxStreams = 64
	// maxFullTransfers bounds the updates with the full content of a topic,
	// such as an inventory, that a node prepares and sends concurrently.
	maxFullTransfers = 4
)

// ErrBusy is returned to a node that opens a stream while maxStreams are open,
// or that needs the full content of a topic while maxFullTransfers are being
// sent. That node queries another one instead.
var ErrBusy = errors.New("too many open streams or full transfers")

// Server sends the versions that a node holds to other nodes.
type Server struct {
	table            *rollout.Table
	draining         atomic.Bool
	drainStarted     chan struct{}
	streams          atomic.Int64
	fullTransfers    chan struct{}
	contentBytesSent atomic.Uint64
}

// NewServer returns a server for the versions in the table.
func NewServer(table *rollout.Table) *Server {
	return &Server{
		table:         table,
		drainStarted:  make(chan struct{}),
		fullTransfers: make(chan struct{}, maxFullTransfers),
	}
}

// Drain announces to all child nodes that this node is shutting down, and
// ends their streams. It does not wait for them.
func (s *Server) Drain() {
	if s.draining.CompareAndSwap(false, true) {
		close(s.drainStarted)
	}
}

// ServerState is the state of the server in the state dump.
type ServerState struct {
	// Streams is the number of open streams.
	Streams int64 `json:"streams"`
	// ContentBytes is the compressed size of all updates prepared for other
	// nodes since the start.
	ContentBytes uint64 `json:"contentBytes"`
}

// State returns the state for the state dump.
func (s *Server) State() ServerState {
	return ServerState{Streams: s.streams.Load(), ContentBytes: s.contentBytesSent.Load()}
}

// Peek returns the held version of each topic.
func (s *Server) Peek() map[vanillabarrow.Topic]vanillabarrow.Version {
	versions := map[vanillabarrow.Topic]vanillabarrow.Version{}
	for _, topic := range topics {
		if version := s.heldVersion(topic); version > 0 {
			versions[topic] = version
		}
	}
	return versions
}

// heldVersion returns the version that can be fetched here, 0 for none.
func (s *Server) heldVersion(topic vanillabarrow.Topic) vanillabarrow.Version {
	if b := s.table.HeldBundle(topic); b != nil {
		return b.Version
	}
	return 0
}

// Fetch returns the update from the given state of a topic to the held version,
// nil if there is nothing newer. The caller has to call release once the update
// was sent. A state without a version needs the full content; while
// maxFullTransfers of these are not released, Fetch fails with ErrBusy.
func (s *Server) Fetch(held vanillabarrow.TopicState) (update *vanillabarrow.Update, release func(), err error) {
	release = func() {}
	if held.Version == 0 {
		select {
		case s.fullTransfers <- struct{}{}:
			release = func() { <-s.fullTransfers }
		default:
			return nil, nil, ErrBusy
		}
	}
	update, err = s.table.UpdateFor(held)
	if err != nil {
		release()
		return nil, nil, err
	}
	if update != nil {
		s.contentBytesSent.Add(uint64(update.Size()))
	}
	return update, release, nil
}

// Serve sends updates or, with announceOnly set, announcements of versions, and
// heartbeats, until the context ends, send fails or the node drains. It fails
// with ErrBusy if too many streams are open or too many children need the full
// content of a topic. Each message is computed from what the child then holds,
// so nothing is buffered for a slow child: it gets the newest version when it
// is ready to receive.
func (s *Server) Serve(ctx context.Context, held []vanillabarrow.TopicState, announceOnly bool, send func(vanillabarrow.StreamMessage) error) error {
	if s.streams.Add(1) > maxStreams {
		s.streams.Add(-1)
		return ErrBusy
	}
	defer s.streams.Add(-1)
	child := &childStream{server: s, held: map[vanillabarrow.Topic]vanillabarrow.TopicState{}, announceOnly: announceOnly, send: send}
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
		case <-s.drainStarted:
		case <-changed:
		case <-ticker.C:
			if err := send(vanillabarrow.StreamMessage{}); err != nil {
				return err
			}
		}
	}
}

// childStream is a stream to a child node, with what the child holds.
type childStream struct {
	server       *Server
	held         map[vanillabarrow.Topic]vanillabarrow.TopicState
	announceOnly bool
	send         func(vanillabarrow.StreamMessage) error
}

// sendNewer sends every topic of which the child holds an older version.
func (c *childStream) sendNewer() error {
	for _, topic := range topics {
		version := c.server.heldVersion(topic)
		if version <= c.held[topic].Version {
			continue
		}
		if err := c.sendTopic(topic, version); err != nil {
			return err
		}
	}
	return nil
}

func (c *childStream) sendTopic(topic vanillabarrow.Topic, version vanillabarrow.Version) error {
	if c.announceOnly {
		c.held[topic] = vanillabarrow.TopicState{Topic: topic, Version: version}
		return c.send(vanillabarrow.StreamMessage{Announced: map[vanillabarrow.Topic]vanillabarrow.Version{topic: version}})
	}
	update, release, err := c.server.Fetch(c.held[topic])
	if err != nil {
		return err
	}
	defer release()
	if update == nil {
		return nil
	}
	if err := c.send(vanillabarrow.StreamMessage{Update: update}); err != nil {
		return err
	}
	c.held[topic] = topicStateAfter(update)
	if topic == vanillabarrow.TopicConfig && c.server.table.Status().InForce == update.Version {
		// The child most likely accepts the version too, so it need not get it
		// again as the accepted one.
		c.held[vanillabarrow.TopicAccepted] = vanillabarrow.TopicState{Topic: vanillabarrow.TopicAccepted, Version: update.Version}
	}
	return nil
}

// topicStateAfter returns what a child holds once it has applied the update.
func topicStateAfter(u *vanillabarrow.Update) vanillabarrow.TopicState {
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
