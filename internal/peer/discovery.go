package peer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/discovery"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
	"github.com/vanillabarrow/vanillabarrow/internal/peer/controlv1"
	"github.com/vanillabarrow/vanillabarrow/internal/peer/controlv1/controlv1connect"
)

// DiscoveryServer serves the Discovery service over connect.
type DiscoveryServer struct {
	server *discovery.Server
}

// NewDiscoveryServer returns a server that passes other nodes' requests for items
// to the given one.
func NewDiscoveryServer(server *discovery.Server) *DiscoveryServer {
	return &DiscoveryServer{server: server}
}

// Mount implements DistributionService.
func (s *DiscoveryServer) Mount() (string, http.Handler) {
	return controlv1connect.NewDiscoveryHandler(s, uncompressed...)
}

// Pull implements the Discovery service.
func (s *DiscoveryServer) Pull(_ context.Context, r *connect.Request[controlv1.FollowRequest]) (*connect.Response[controlv1.Delta], error) {
	request, err := itemRequestFromProto(r.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	d, err := s.server.Pull(request)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(deltaToProto(d, request.WithoutEras, time.Now())), nil
}

// Follow implements the Discovery service.
func (s *DiscoveryServer) Follow(ctx context.Context, r *connect.Request[controlv1.FollowRequest], stream *connect.ServerStream[controlv1.Delta]) error {
	request, err := itemRequestFromProto(r.Msg)
	if err != nil {
		return connect.NewError(connect.CodeInvalidArgument, err)
	}
	err = s.server.Serve(ctx, r.Msg.GetNode(), request, func(d *vanillabarrow.Delta) error {
		return stream.Send(deltaToProto(d, request.WithoutEras, time.Now()))
	})
	if errors.Is(err, discovery.ErrBusy) {
		return connect.NewError(connect.CodeResourceExhausted, err)
	}
	return err
}

// DiscoveryClient implements vanillabarrow.ItemRelay.
type DiscoveryClient struct {
	vm string
	// transport is shared by streams and pulls.
	transport    *http.Transport
	streamClient *http.Client
	pullClient   *http.Client
}

// NewDiscoveryClient returns a client for use by the node on the given VM.
func NewDiscoveryClient(vm string, traffic *kernel.Traffic) *DiscoveryClient {
	transport := &http.Transport{
		DialContext:            traffic.Dial(&net.Dialer{Timeout: dialTimeout}),
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
	progress := kernel.ProgressTransport{Transport: transport}
	return &DiscoveryClient{
		vm:           vm,
		transport:    transport,
		streamClient: &http.Client{Transport: &streamTransport{progress, maxDeltaBytes}},
		pullClient:   &http.Client{Transport: &limitedTransport{progress, maxDeltaBytes}},
	}
}

// Close closes idle connections.
func (c *DiscoveryClient) Close() { c.transport.CloseIdleConnections() }

// clientFor returns the client for a node. A delta has at most maxDeltaBytes.
func (c *DiscoveryClient) clientFor(client *http.Client, address string) controlv1connect.DiscoveryClient {
	options := append([]connect.ClientOption{connect.WithReadMaxBytes(maxDeltaBytes)}, uncompressedClient...)
	return controlv1connect.NewDiscoveryClient(client, "http://"+address, options...)
}

// Pull implements vanillabarrow.ItemRelay.
func (c *DiscoveryClient) Pull(ctx context.Context, address string, request vanillabarrow.ItemRequest) (*vanillabarrow.Delta, error) {
	ctx, sending := traceSending(ctx)
	response, err := c.clientFor(c.pullClient, address).Pull(ctx, connect.NewRequest(itemRequestToProto(c.vm, request)))
	if err != nil {
		return nil, err
	}
	return deltaFromProto(response.Msg, sending.startedAt(), time.Now())
}

// Follow implements vanillabarrow.ItemRelay. It returns an error if no message or
// part of one arrives for discovery.HeartbeatTimeout.
func (c *DiscoveryClient) Follow(ctx context.Context, address string, request vanillabarrow.ItemRequest, receive func(*vanillabarrow.Delta) error) error {
	ctx, progress := kernel.WithProgressTimeout(ctx, discovery.HeartbeatTimeout)
	// This cancels the stream; Close would wait for the rest of it.
	defer progress.Stop()
	ctx, sending := traceSending(ctx)
	stream, err := c.clientFor(c.streamClient, address).Follow(ctx, connect.NewRequest(itemRequestToProto(c.vm, request)))
	if err != nil {
		return errors.Join(err, context.Cause(ctx))
	}
	for stream.Receive() {
		progress.Pause()
		d, err := deltaFromProto(stream.Msg(), sending.startedAt(), time.Now())
		if err != nil {
			return err
		}
		if err := receive(d); err != nil {
			return err
		}
		progress.Reset()
	}
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return stream.Err()
}
