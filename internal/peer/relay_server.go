package peer

import (
	"context"
	"errors"
	"net/http"

	"connectrpc.com/connect"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/peer/controlv1"
	"github.com/vanillabarrow/vanillabarrow/internal/peer/controlv1/controlv1connect"
	"github.com/vanillabarrow/vanillabarrow/internal/relay"
)

// RelayServer encodes what a relay server sends.
type RelayServer struct {
	server *relay.Server
}

// NewRelayServer returns a server in front of the relay.
func NewRelayServer(server *relay.Server) *RelayServer { return &RelayServer{server: server} }

// Mount implements Distribution.
func (s *RelayServer) Mount() (string, http.Handler) {
	return controlv1connect.NewRelayHandler(s, uncompressed...)
}

// Peek implements the Relay service.
func (s *RelayServer) Peek(context.Context, *connect.Request[controlv1.PeekRequest]) (*connect.Response[controlv1.PeekReply], error) {
	reply := &controlv1.PeekReply{}
	for topic, version := range s.server.Peek() {
		reply.Held = append(reply.Held, &controlv1.Held{Topic: string(topic), Version: uint64(version)})
	}
	return connect.NewResponse(reply), nil
}

// Fetch implements the Relay service.
func (s *RelayServer) Fetch(_ context.Context, r *connect.Request[controlv1.FetchRequest]) (*connect.Response[controlv1.Update], error) {
	update, err := s.server.Fetch(heldFromProto(r.Msg.GetHeld()))
	if err != nil {
		return nil, relayError(err)
	}
	return connect.NewResponse(updateToProto(update)), nil
}

// Watch implements the Relay service.
func (s *RelayServer) Watch(ctx context.Context, r *connect.Request[controlv1.WatchRequest], stream *connect.ServerStream[controlv1.Update]) error {
	held := make([]vanillabarrow.TopicState, 0, len(r.Msg.GetHeld()))
	for _, h := range r.Msg.GetHeld() {
		held = append(held, heldFromProto(h))
	}
	return relayError(s.server.Serve(ctx, held, r.Msg.GetAnnounceOnly(), func(beat vanillabarrow.StreamMessage) error {
		for _, m := range heartbeatToProto(beat) {
			if err := stream.Send(m); err != nil {
				return err
			}
		}
		return nil
	}))
}

func heartbeatToProto(beat vanillabarrow.StreamMessage) []*controlv1.Update {
	if len(beat.Announced) == 0 {
		m := updateToProto(beat.Update)
		m.Draining = beat.Draining
		return []*controlv1.Update{m}
	}
	var messages []*controlv1.Update
	for topic, version := range beat.Announced {
		messages = append(messages, &controlv1.Update{Topic: string(topic), Version: uint64(version), Announced: true})
	}
	return messages
}

func relayError(err error) error {
	if errors.Is(err, relay.ErrBusy) {
		return connect.NewError(connect.CodeResourceExhausted, err)
	}
	return err
}
