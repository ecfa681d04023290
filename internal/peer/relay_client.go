package peer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
	"github.com/vanillabarrow/vanillabarrow/internal/peer/controlv1"
	"github.com/vanillabarrow/vanillabarrow/internal/peer/controlv1/controlv1connect"
	"github.com/vanillabarrow/vanillabarrow/internal/relay"
)

const (
	// sendPingTimeout is the time without received frames after which a ping is
	// sent. The connection is closed if no response arrives within pingTimeout.
	sendPingTimeout = 2 * time.Second
	pingTimeout     = time.Second
)

// RelayClient implements vanillabarrow.Relay.
type RelayClient struct {
	vm string
	// transport is shared by streams and other calls.
	transport    *http.Transport
	streamClient *http.Client
	callClient   *http.Client
}

// NewRelayClient returns a client for use by the node on the given VM.
func NewRelayClient(vm string, traffic *kernel.Traffic) *RelayClient {
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{
		DialContext:            traffic.Dial(&net.Dialer{Timeout: dialTimeout}),
		Protocols:              protocols,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: sendPingTimeout,
			PingTimeout:     pingTimeout,
		},
	}
	progress := kernel.ProgressTransport{Transport: transport}
	return &RelayClient{
		vm:           vm,
		transport:    transport,
		streamClient: &http.Client{Transport: &streamTransport{progress, maxUpdateBytes}},
		callClient:   &http.Client{Transport: &limitedTransport{progress, maxUpdateBytes}},
	}
}

// Close closes idle connections.
func (c *RelayClient) Close() { c.transport.CloseIdleConnections() }

func (c *RelayClient) clientFor(client *http.Client, address string) controlv1connect.RelayClient {
	return controlv1connect.NewRelayClient(client, "http://"+address, uncompressedClient...)
}

// Peek implements vanillabarrow.Relay.
func (c *RelayClient) Peek(ctx context.Context, address string) (map[vanillabarrow.Topic]vanillabarrow.Version, error) {
	response, err := c.clientFor(c.callClient, address).Peek(ctx, connect.NewRequest(&controlv1.PeekRequest{}))
	if err != nil {
		return nil, err
	}
	versions := map[vanillabarrow.Topic]vanillabarrow.Version{}
	for _, h := range response.Msg.GetHeld() {
		versions[vanillabarrow.Topic(h.GetTopic())] = vanillabarrow.Version(h.GetVersion())
	}
	return versions, nil
}

// Fetch implements vanillabarrow.Relay.
func (c *RelayClient) Fetch(ctx context.Context, address string, held vanillabarrow.TopicState) (*vanillabarrow.Update, error) {
	response, err := c.clientFor(c.callClient, address).Fetch(ctx, connect.NewRequest(&controlv1.FetchRequest{
		Node: c.vm,
		Held: topicStateToProto(held),
	}))
	if err != nil {
		return nil, err
	}
	return updateFromProto(response.Msg), nil
}

// Watch implements vanillabarrow.Relay. It returns an error if no message or
// part of one arrives for relay.HeartbeatTimeout.
func (c *RelayClient) Watch(ctx context.Context, address string, held []vanillabarrow.TopicState, announceOnly bool, receive func(vanillabarrow.StreamMessage) error) error {
	ctx, progress := kernel.WithProgressTimeout(ctx, relay.HeartbeatTimeout)
	defer progress.Stop()
	request := &controlv1.WatchRequest{Node: c.vm, AnnounceOnly: announceOnly}
	for _, h := range held {
		request.Held = append(request.Held, topicStateToProto(h))
	}
	stream, err := c.clientFor(c.streamClient, address).Watch(ctx, connect.NewRequest(request))
	if err != nil {
		return errors.Join(err, context.Cause(ctx))
	}
	defer func() { _ = stream.Close() }()
	for stream.Receive() {
		progress.Pause()
		if err := receive(streamMessageFromProto(stream.Msg())); err != nil {
			return err
		}
		progress.Reset()
	}
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return stream.Err()
}

func streamMessageFromProto(m *controlv1.Update) vanillabarrow.StreamMessage {
	msg := vanillabarrow.StreamMessage{Update: updateFromProto(m), Draining: m.GetDraining()}
	if m.GetAnnounced() {
		msg.Announced = map[vanillabarrow.Topic]vanillabarrow.Version{
			vanillabarrow.Topic(m.GetTopic()): vanillabarrow.Version(m.GetVersion()),
		}
	}
	return msg
}
