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

// RelayServer serves the Relay service over connect.
type RelayServer struct {
	server *relay.Server
}

// NewRelayServer returns a server that passes other nodes' requests for versions
// to the given one.
func NewRelayServer(server *relay.Server) *RelayServer { return &RelayServer{server: server} }

// Mount implements DistributionService.
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

// Fetch implements the Relay service. The context ends when the response was
// sent or the other node is gone.
func (s *RelayServer) Fetch(ctx context.Context, r *connect.Request[controlv1.FetchRequest]) (*connect.Response[controlv1.Update], error) {
	update, release, err := s.server.Fetch(topicStateFromProto(r.Msg.GetHeld()))
	if err != nil {
		return nil, relayError(err)
	}
	context.AfterFunc(ctx, release)
	return connect.NewResponse(updateToProto(update)), nil
}

// Watch implements the Relay service.
func (s *RelayServer) Watch(ctx context.Context, r *connect.Request[controlv1.WatchRequest], stream *connect.ServerStream[controlv1.Update]) error {
	held := make([]vanillabarrow.TopicState, 0, len(r.Msg.GetHeld()))
	for _, h := range r.Msg.GetHeld() {
		held = append(held, topicStateFromProto(h))
	}
	return relayError(s.server.Serve(ctx, held, r.Msg.GetAnnounceOnly(), func(msg vanillabarrow.StreamMessage) error {
		for _, m := range streamMessageToProto(msg) {
			if err := stream.Send(m); err != nil {
				return err
			}
		}
		return nil
	}))
}

// streamMessageToProto returns one message for each announced topic, or one for
// an update or heartbeat.
func streamMessageToProto(msg vanillabarrow.StreamMessage) []*controlv1.Update {
	if len(msg.Announced) == 0 {
		m := updateToProto(msg.Update)
		m.Draining = msg.Draining
		return []*controlv1.Update{m}
	}
	var messages []*controlv1.Update
	for topic, version := range msg.Announced {
		messages = append(messages, &controlv1.Update{Topic: string(topic), Version: uint64(version), Announced: true})
	}
	return messages
}

// relayError adds a connect code to relay.ErrBusy and returns other errors
// unchanged.
func relayError(err error) error {
	if errors.Is(err, relay.ErrBusy) {
		return connect.NewError(connect.CodeResourceExhausted, err)
	}
	return err
}
