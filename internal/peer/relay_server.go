package peer

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/peer/controlv1"
	"github.com/vanillabarrow/vanillabarrow/internal/rollout"
)

const (
	// HeartbeatInterval is the period of messages on a quiet stream.
	HeartbeatInterval = time.Second
	// maxStreams bounds the streams that a node serves.
	maxStreams = 64
	// maxSnapshots bounds the large transfers that a node makes at once.
	maxSnapshots = 4
)

// topics lists what is relayed.
var topics = []vanillabarrow.Topic{vanillabarrow.TopicConfig, vanillabarrow.TopicVMs}

// RelayServer serves published versions to other nodes.
type RelayServer struct {
	table     *rollout.Table
	draining  atomic.Bool
	drain     chan struct{}
	streams   atomic.Int64
	snapshots chan struct{}
	sent      atomic.Uint64
}

// NewRelayServer returns a server for the versions in the table.
func NewRelayServer(table *rollout.Table) *RelayServer {
	return &RelayServer{
		table:     table,
		drain:     make(chan struct{}),
		snapshots: make(chan struct{}, maxSnapshots),
	}
}

// Drain announces to all children that the node leaves.
func (s *RelayServer) Drain() {
	if s.draining.CompareAndSwap(false, true) {
		close(s.drain)
	}
}

// RelayState is what the server shows in the state dump.
type RelayState struct {
	Streams      int64  `json:"streams"`
	ContentBytes uint64 `json:"contentBytes"`
}

// State returns the state for the dump.
func (s *RelayServer) State() RelayState {
	return RelayState{Streams: s.streams.Load(), ContentBytes: s.sent.Load()}
}

// Peek implements the Relay service.
func (s *RelayServer) Peek(context.Context, *connect.Request[controlv1.PeekRequest]) (*connect.Response[controlv1.PeekReply], error) {
	reply := &controlv1.PeekReply{Draining: s.draining.Load()}
	for _, topic := range topics {
		if version := s.table.HeldVersion(topic); version > 0 {
			reply.Held = append(reply.Held, &controlv1.Held{Topic: string(topic), Version: uint64(version)})
		}
	}
	return connect.NewResponse(reply), nil
}

// Fetch implements the Relay service.
func (s *RelayServer) Fetch(_ context.Context, r *connect.Request[controlv1.FetchRequest]) (*connect.Response[controlv1.Update], error) {
	update, err := s.updateFor(heldFromProto(r.Msg.GetHeld()))
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(updateToProto(update)), nil
}

// updateFor makes an update. Large ones are limited in number, and a node that
// is refused asks another.
func (s *RelayServer) updateFor(held vanillabarrow.Held) (*vanillabarrow.Update, error) {
	large := held.Version == 0
	if large {
		select {
		case s.snapshots <- struct{}{}:
			defer func() { <-s.snapshots }()
		default:
			return nil, connect.NewError(connect.CodeResourceExhausted, fmt.Errorf("%d snapshots are being made", maxSnapshots))
		}
	}
	update, err := s.table.UpdateFor(held)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	if update != nil {
		s.sent.Add(uint64(update.Size()))
	}
	return update, nil
}

// Watch implements the Relay service. Each message is made against what the
// child holds by then, so a slow child is never buffered for: it gets the
// newest version when it is ready.
func (s *RelayServer) Watch(ctx context.Context, r *connect.Request[controlv1.WatchRequest], stream *connect.ServerStream[controlv1.Update]) error {
	if s.streams.Add(1) > maxStreams {
		s.streams.Add(-1)
		return connect.NewError(connect.CodeResourceExhausted, fmt.Errorf("%d streams are open", maxStreams))
	}
	defer s.streams.Add(-1)
	held := map[vanillabarrow.Topic]vanillabarrow.Held{}
	for _, topic := range topics {
		held[topic] = vanillabarrow.Held{Topic: topic}
	}
	for _, h := range r.Msg.GetHeld() {
		held[vanillabarrow.Topic(h.GetTopic())] = heldFromProto(h)
	}
	ticker := time.NewTicker(HeartbeatInterval)
	defer ticker.Stop()
	for {
		changed := s.table.Changed()
		if err := s.sendNewer(held, r.Msg.GetAnnounceOnly(), stream); err != nil {
			return err
		}
		if s.draining.Load() {
			return stream.Send(&controlv1.Update{Draining: true})
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.drain:
		case <-changed:
		case <-ticker.C:
			if err := stream.Send(&controlv1.Update{}); err != nil {
				return err
			}
		}
	}
}

// sendNewer sends each topic of which the child holds less.
func (s *RelayServer) sendNewer(held map[vanillabarrow.Topic]vanillabarrow.Held, announceOnly bool, stream *connect.ServerStream[controlv1.Update]) error {
	for _, topic := range topics {
		version := s.table.HeldVersion(topic)
		if version <= held[topic].Version {
			continue
		}
		if announceOnly {
			held[topic] = vanillabarrow.Held{Topic: topic, Version: version}
			if err := stream.Send(&controlv1.Update{Topic: string(topic), Version: uint64(version), Announced: true}); err != nil {
				return err
			}
			continue
		}
		update, err := s.updateFor(held[topic])
		if err != nil {
			return err
		}
		if update == nil {
			continue
		}
		if err := stream.Send(updateToProto(update)); err != nil {
			return err
		}
		held[topic] = heldAfter(update)
	}
	return nil
}

// heldAfter returns what a child holds once it has applied the update.
func heldAfter(u *vanillabarrow.Update) vanillabarrow.Held {
	held := vanillabarrow.Held{
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
