// Package target speaks HTTP/1.1 to the node's own target.
package target

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/message"
)

const (
	// holdBytes is the largest part of an answer that is held.
	holdBytes = 64 << 10
	// dialTimeout bounds a connection set-up with the target.
	dialTimeout = time.Second
	// idleTimeout closes pooled connections.
	idleTimeout = 30 * time.Second
	// maxAnswerHeader bounds the header of an answer, in bytes.
	maxAnswerHeader = 256 << 10
)

// Executor implements vanillabarrow.Executor.
type Executor struct {
	name   string
	cfg    vanillabarrow.Configuration
	client atomic.Pointer[client]
}

// client is the connection pool for one address.
type client struct {
	address     string
	connections int
	http        *http.Client
}

// New returns an executor for the target with the given name.
func New(name string, cfg vanillabarrow.Configuration) *Executor {
	return &Executor{name: name, cfg: cfg}
}

// pool returns the pool for the target as configured now.
func (e *Executor) pool() (*client, error) {
	snapshot := e.cfg.Snapshot()
	if snapshot == nil {
		return nil, vanillabarrow.NotRun(vanillabarrow.ReasonNoConfig, "")
	}
	target, ok := snapshot.Targets[e.name]
	if !ok {
		return nil, vanillabarrow.NotRun(vanillabarrow.ReasonTargetOut, "")
	}
	old := e.client.Load()
	if old != nil && old.address == target.Address && old.connections == target.Connections {
		return old, nil
	}
	fresh := newClient(target)
	if !e.client.CompareAndSwap(old, fresh) {
		return e.client.Load(), nil
	}
	if old != nil {
		old.http.CloseIdleConnections()
	}
	return fresh, nil
}

func newClient(target *vanillabarrow.Target) *client {
	return &client{
		address:     target.Address,
		connections: target.Connections,
		http: &http.Client{
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
			Transport: &http.Transport{
				DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
				DisableCompression:     true,
				MaxConnsPerHost:        target.Connections,
				MaxIdleConnsPerHost:    target.Connections,
				IdleConnTimeout:        idleTimeout,
				MaxResponseHeaderBytes: maxAnswerHeader,
			},
		},
	}
}

// Close closes idle connections.
func (e *Executor) Close() {
	if c := e.client.Load(); c != nil {
		c.http.CloseIdleConnections()
	}
}

// Execute implements vanillabarrow.Executor.
func (e *Executor) Execute(ctx context.Context, a *vanillabarrow.Attempt) (*vanillabarrow.Answer, error) {
	c, err := e.pool()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithDeadline(ctx, a.Deadline)
	answer, err := c.send(ctx, a)
	if err != nil || answer.Stream == nil {
		cancel()
		return answer, err
	}
	answer.Stream = &stream{ReadCloser: answer.Stream, cancel: cancel}
	return answer, nil
}

// stream ends the context of a request with its answer.
type stream struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close closes the stream and cancels the request.
func (s *stream) Close() error {
	defer s.cancel()
	return s.ReadCloser.Close()
}

func (c *client) send(ctx context.Context, a *vanillabarrow.Attempt) (*vanillabarrow.Answer, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := c.request(httptrace.WithClientTrace(ctx, trace), a)
	if err != nil {
		return nil, vanillabarrow.NotRun(vanillabarrow.ReasonTargetDown, err.Error())
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, refusal(ctx, err, connected.Load())
	}
	start, rest, err := message.Split(response.Body, holdBytes)
	if err != nil {
		_ = response.Body.Close()
		return nil, refusal(ctx, err, true)
	}
	answer := &vanillabarrow.Answer{
		Status: response.StatusCode,
		Header: answerHeader(response.Header),
		Body:   start,
		Size:   response.ContentLength,
		Target: a.Target.Name,
	}
	if rest == nil {
		_ = response.Body.Close()
		return answer, nil
	}
	answer.Stream = response.Body
	return answer, nil
}

// answerHeader keeps, of the nodes' own fields, the number of retries below.
func answerHeader(h http.Header) vanillabarrow.Header {
	out := message.EndToEnd(h)
	if retries := h.Get(message.RetriesHeader); retries != "" {
		out.Set(message.RetriesHeader, retries)
	}
	return vanillabarrow.Header(out)
}

func (c *client) request(ctx context.Context, a *vanillabarrow.Attempt) (*http.Request, error) {
	r := a.Request
	request, err := message.NewRequest(ctx, c.address, r)
	if err != nil {
		return nil, err
	}
	request.Header.Set(message.ContextHeader, message.Context{
		Depth:   r.Depth + 1,
		Retries: r.RetriesLeft,
		Budget:  time.Until(a.Deadline),
	}.String())
	return request, nil
}

// refusal gives the verdict on a request without an answer. Without a
// connection nothing was sent.
func refusal(ctx context.Context, err error, connected bool) error {
	reason := vanillabarrow.ReasonTargetFailed
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		reason = vanillabarrow.ReasonDeadline
	case ctx.Err() != nil:
		reason = vanillabarrow.ReasonCanceled
	case !connected:
		reason = vanillabarrow.ReasonTargetDown
	}
	if !connected {
		return vanillabarrow.NotRun(reason, err.Error())
	}
	return vanillabarrow.MayHaveRun(reason, err.Error())
}
