package peer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

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
	d, err := s.server.Pull(itemRequestFromProto(r.Msg))
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(deltaToProto(d, time.Now())), nil
}

// Follow implements the Discovery service.
func (s *DiscoveryServer) Follow(ctx context.Context, r *connect.Request[controlv1.FollowRequest], stream *connect.ServerStream[controlv1.Delta]) error {
	err := s.server.Serve(ctx, r.Msg.GetNode(), itemRequestFromProto(r.Msg), func(d *vanillabarrow.Delta) error {
		return stream.Send(deltaToProto(d, time.Now()))
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

func (c *DiscoveryClient) request(r vanillabarrow.ItemRequest) *connect.Request[controlv1.FollowRequest] {
	m := &controlv1.FollowRequest{
		Node:                c.vm,
		Incarnation:         r.Cursor.Incarnation,
		Sequence:            r.Cursor.Sequence,
		AnnounceOnly:        r.AnnounceOnly,
		AsOf:                uint64(r.AsOf),
		AcceptsPatches:      r.AcceptsPatches,
		AcceptsPartialLists: !r.CompleteLists,
	}
	for _, held := range r.Held {
		m.Held = append(m.Held, &controlv1.HeldItem{Key: held.Key, Revision: uint64(held.Revision)})
	}
	return connect.NewRequest(m)
}

// Pull implements vanillabarrow.ItemRelay.
func (c *DiscoveryClient) Pull(ctx context.Context, address string, request vanillabarrow.ItemRequest) (*vanillabarrow.Delta, error) {
	ctx, sending := traceSending(ctx)
	response, err := c.clientFor(c.pullClient, address).Pull(ctx, c.request(request))
	if err != nil {
		return nil, err
	}
	return deltaFromProto(response.Msg, sending.startedAt(), time.Now()), nil
}

// Follow implements vanillabarrow.ItemRelay. It returns an error if no message or
// part of one arrives for discovery.HeartbeatTimeout.
func (c *DiscoveryClient) Follow(ctx context.Context, address string, request vanillabarrow.ItemRequest, receive func(*vanillabarrow.Delta) error) error {
	ctx, progress := kernel.WithProgressTimeout(ctx, discovery.HeartbeatTimeout)
	// This cancels the stream; Close would wait for the rest of it.
	defer progress.Stop()
	ctx, sending := traceSending(ctx)
	stream, err := c.clientFor(c.streamClient, address).Follow(ctx, c.request(request))
	if err != nil {
		return errors.Join(err, context.Cause(ctx))
	}
	for stream.Receive() {
		progress.Pause()
		if err := receive(deltaFromProto(stream.Msg(), sending.startedAt(), time.Now())); err != nil {
			return err
		}
		progress.Reset()
	}
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return stream.Err()
}

func itemRequestFromProto(m *controlv1.FollowRequest) vanillabarrow.ItemRequest {
	r := vanillabarrow.ItemRequest{
		Cursor:         vanillabarrow.Cursor{Incarnation: m.GetIncarnation(), Sequence: m.GetSequence()},
		AsOf:           vanillabarrow.Version(m.GetAsOf()),
		AcceptsPatches: m.GetAcceptsPatches(),
		AnnounceOnly:   m.GetAnnounceOnly(),
		CompleteLists:  !m.GetAcceptsPartialLists(),
	}
	for _, held := range m.GetHeld() {
		r.Held = append(r.Held, vanillabarrow.HeldItem{Key: held.GetKey(), Revision: vanillabarrow.Version(held.GetRevision())})
	}
	return r
}

// deltaToProto encodes points in time as durations from now, so that the clocks
// of the two nodes need not agree.
func deltaToProto(d *vanillabarrow.Delta, now time.Time) *controlv1.Delta {
	m := &controlv1.Delta{
		Incarnation: d.Cursor.Incarnation,
		Sequence:    d.Cursor.Sequence,
		AsOf:        uint64(d.AsOf),
		Full:        d.Full,
		FullAfter:   uint64(d.FullAfter),
		SourceAgeMs: uint64(max(0, d.SourceAge).Milliseconds()),
		Draining:    d.Draining,
		SentAfterMs: proto.Uint64(uint64(d.SentAfter.Milliseconds())),
	}
	for _, item := range d.Items {
		m.Items = append(m.Items, itemToProto(item, now))
	}
	return m
}

func itemToProto(item vanillabarrow.Item, now time.Time) *controlv1.Item {
	if item.Unchanged {
		return &controlv1.Item{Key: item.Key, Revision: uint64(item.Revision), Unchanged: true}
	}
	m := &controlv1.Item{
		Key:      item.Key,
		Value:    item.Value,
		Revision: uint64(item.Revision),
		Created:  uint64(item.Created),
		Removed:  item.Removed,
		KeepMs:   uint64(max(0, item.KeepUntil.Sub(now)).Milliseconds()),
		AgeMs:    uint64(max(0, now.Sub(item.FirstSeenAt)).Milliseconds()),
	}
	if item.Patch != nil {
		m.Patch, m.PatchBase = item.Patch.Content, uint64(item.Patch.Base)
	}
	return m
}

// deltaFromProto decodes a delta that was requested and received at the given times.
func deltaFromProto(m *controlv1.Delta, requestedAt, now time.Time) *vanillabarrow.Delta {
	d := &vanillabarrow.Delta{
		Cursor:    vanillabarrow.Cursor{Incarnation: m.GetIncarnation(), Sequence: m.GetSequence()},
		AsOf:      vanillabarrow.Version(m.GetAsOf()),
		Full:      m.GetFull(),
		FullAfter: vanillabarrow.Version(m.GetFullAfter()),
		SourceAge: milliseconds(m.GetSourceAgeMs()),
		Draining:  m.GetDraining(),
	}
	if m.SentAfterMs != nil {
		d.SentAfter, d.RequestedAt = milliseconds(m.GetSentAfterMs()), requestedAt
	}
	for _, item := range m.GetItems() {
		d.Items = append(d.Items, itemFromProto(item, now))
	}
	return d
}

func itemFromProto(m *controlv1.Item, now time.Time) vanillabarrow.Item {
	item := vanillabarrow.Item{
		Key:         m.GetKey(),
		Value:       m.GetValue(),
		Revision:    vanillabarrow.Version(m.GetRevision()),
		Created:     vanillabarrow.Version(m.GetCreated()),
		Removed:     m.GetRemoved(),
		KeepUntil:   now.Add(milliseconds(m.GetKeepMs())),
		FirstSeenAt: now.Add(-milliseconds(m.GetAgeMs())),
		Unchanged:   m.GetUnchanged(),
	}
	if len(m.GetPatch()) > 0 {
		item.Patch = &vanillabarrow.ValuePatch{Base: vanillabarrow.Version(m.GetPatchBase()), Content: m.GetPatch()}
	}
	return item
}

func milliseconds(n uint64) time.Duration { return time.Duration(n) * time.Millisecond }
