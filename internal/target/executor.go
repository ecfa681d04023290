// Package target is the HTTP/1.1 client for the target on the node's VM.
package target

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/http1"
	"github.com/vanillabarrow/vanillabarrow/internal/message"
)

const (
	// maxBufferedBytes is the largest response body that is buffered. The rest
	// of a longer one is streamed.
	maxBufferedBytes = 64 << 10
	// dialTimeout limits the time to connect to the target, which runs on the
	// same VM.
	dialTimeout = time.Second
	// healthTimeout limits the duration of a health check.
	healthTimeout = time.Second
)

// errTooManyMismatched is returned when none of maxMismatchedResponses
// responses belongs to the request.
var errTooManyMismatched = errors.New("too many responses to other requests")

// errInvalidResponse describes a response of class ResponseInvalid.
var errInvalidResponse = errors.New("invalid response from the target")

// Executor implements vanillabarrow.Executor.
type Executor struct {
	ownTarget vanillabarrow.TargetRef
	cfg       vanillabarrow.Configuration
	protocol  vanillabarrow.TargetProtocol
	client    atomic.Pointer[client]
}

// client sends requests to one address over a connection pool.
type client struct {
	address     string
	connections int
	pool        *pool
	protocol    vanillabarrow.TargetProtocol
}

// New returns an executor for the target on the node's VM.
func New(ownTarget vanillabarrow.TargetRef, cfg vanillabarrow.Configuration, protocol vanillabarrow.TargetProtocol) *Executor {
	return &Executor{ownTarget: ownTarget, cfg: cfg, protocol: protocol}
}

// currentTarget returns the configuration in force and the node's target in it.
// The error is a *vanillabarrow.Refusal.
func (e *Executor) currentTarget() (*vanillabarrow.Snapshot, *vanillabarrow.Target, error) {
	snapshot := e.cfg.Snapshot()
	if snapshot == nil {
		return nil, nil, vanillabarrow.NotRun(vanillabarrow.ReasonNoConfig, "")
	}
	target := e.ownTarget.Resolve(snapshot)
	if target == nil {
		return nil, nil, vanillabarrow.NotRun(vanillabarrow.ReasonTargetOut, "")
	}
	return snapshot, target, nil
}

// clientFor returns the client for the target's address and number of
// connections. It replaces the client when these changed.
func (e *Executor) clientFor(target *vanillabarrow.Target) *client {
	current := e.client.Load()
	if current != nil && current.address == target.Address && current.connections == target.Connections {
		return current
	}
	updated := &client{
		address:     target.Address,
		connections: target.Connections,
		pool:        newPool(target.Address, target.Connections),
		protocol:    e.protocol,
	}
	if !e.client.CompareAndSwap(current, updated) {
		return e.client.Load()
	}
	if current != nil {
		current.pool.close()
	}
	return updated
}

// Close closes idle connections, and connections in use when they are released.
func (e *Executor) Close() {
	if c := e.client.Load(); c != nil {
		c.pool.close()
	}
}

// Sweep closes connections that have been idle for too long.
func (e *Executor) Sweep(now time.Time) {
	if c := e.client.Load(); c != nil {
		c.pool.sweep(now)
	}
}

// Execute implements vanillabarrow.Executor.
func (e *Executor) Execute(ctx context.Context, a *vanillabarrow.Attempt) (*vanillabarrow.Response, error) {
	snapshot, target, err := e.currentTarget()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithDeadline(ctx, a.Deadline)
	response, err := e.clientFor(target).execute(ctx, a, notRunStatuses(snapshot, target))
	if err != nil || response.Stream == nil {
		cancel()
		return response, err
	}
	response.Stream = &contextStream{ReadCloser: response.Stream, cancel: cancel}
	return response, nil
}

// notRunStatuses returns the statuses with which the target states that it did
// not run a request.
func notRunStatuses(snapshot *vanillabarrow.Snapshot, target *vanillabarrow.Target) []int {
	if service := snapshot.Services[target.Service]; service != nil {
		return service.NotRunStatuses
	}
	return nil
}

// Check sends the target a health check, limited to healthTimeout. A target
// without a health check path counts as healthy.
func (e *Executor) Check(ctx context.Context) (vanillabarrow.Health, error) {
	snapshot, target, err := e.currentTarget()
	if err != nil {
		return vanillabarrow.Health{}, err
	}
	service := snapshot.Services[target.Service]
	if service == nil || service.HealthPath == "" {
		return vanillabarrow.Health{OK: true, Target: target.Name}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	return e.clientFor(target).check(ctx, service.HealthPath)
}

// contextStream cancels the context of a request when the response body is
// closed.
type contextStream struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close closes the stream and cancels the request.
func (s *contextStream) Close() error {
	defer s.cancel()
	return s.ReadCloser.Close()
}

func (c *client) execute(ctx context.Context, a *vanillabarrow.Attempt, notRunStatuses []int) (*vanillabarrow.Response, error) {
	request, err := newRequest(a, c.address, c.protocol)
	if err != nil {
		return nil, vanillabarrow.NotRun(vanillabarrow.ReasonTargetDown, err.Error())
	}
	conn, err := c.pool.getFor(ctx, a.Request.ID)
	if err != nil {
		return nil, transportRefusal(ctx, err, false)
	}
	stop := conn.interruptOnDone(ctx)
	httpResponse, class, reusable, err := conn.exchange(request, a, c.protocol)
	if err != nil {
		stop()
		conn.resetOnClose()
		c.pool.discard(conn)
		return nil, transportRefusal(ctx, err, conn.wrote.Load())
	}
	refused := isRefusal(class) || slices.Contains(notRunStatuses, httpResponse.Status)
	if refused && !conn.addRefusal(a.Request.ID, c.protocol.NamesRequest(vanillabarrow.Header(httpResponse.Header))) {
		reusable = false
	}
	body := &responseBody{Reader: httpResponse.Body, conn: conn, pool: c.pool, stopInterrupt: stop, reusable: reusable, maxIdle: maxIdle(httpResponse.Header)}
	if err := classRefusal(class); err != nil {
		if isRefusal(class) {
			var brokenErr error
			body.complete, brokenErr = conn.discardRefusalBody(httpResponse.Body)
			if brokenErr != nil {
				err = transportRefusal(ctx, brokenErr, true)
			}
		}
		_ = body.Close()
		return nil, err
	}
	start, rest, err := message.SplitBody(httpResponse.Body, maxBufferedBytes)
	if err != nil {
		_ = body.Close()
		return nil, transportRefusal(ctx, err, true)
	}
	body.complete = rest == nil
	response := &vanillabarrow.Response{
		Status: httpResponse.Status,
		Header: responseHeader(httpResponse.Header),
		Body:   start,
		Size:   httpResponse.Length,
		Target: a.Target.Name,
	}
	if rest == nil {
		_ = body.Close()
		return response, nil
	}
	response.Stream = body
	return response, nil
}

// isRefusal reports whether the class states that the request did not run.
func isRefusal(class vanillabarrow.ResponseClass) bool {
	return class == vanillabarrow.ResponseShed || class == vanillabarrow.ResponseMisdirected
}

// classRefusal returns the refusal for the class of a response, nil for a valid
// response.
func classRefusal(class vanillabarrow.ResponseClass) error {
	switch class {
	case vanillabarrow.ResponseShed:
		return vanillabarrow.NotRun(vanillabarrow.ReasonShed, "the target stated that it did not run the request")
	case vanillabarrow.ResponseMisdirected:
		return vanillabarrow.NotRun(vanillabarrow.ReasonMisdirected, "another target uses the address")
	case vanillabarrow.ResponseInvalid:
		return vanillabarrow.MayHaveRun(vanillabarrow.ReasonTargetFailed, errInvalidResponse.Error())
	default:
		return nil
	}
}

func (c *client) check(ctx context.Context, path string) (vanillabarrow.Health, error) {
	request, err := http.NewRequest(http.MethodGet, "http://"+c.address+path, nil)
	if err != nil {
		return vanillabarrow.Health{}, err
	}
	conn, err := c.pool.getNew(ctx)
	if err != nil {
		return vanillabarrow.Health{}, err
	}
	stop := conn.interruptOnDone(ctx)
	defer stop()
	// Responses to health checks do not name their request, so a late response
	// to an earlier request must not arrive on the connection, nor this one be
	// taken for the response to a later request.
	defer c.pool.discard(conn)
	if err := conn.send(request); err != nil {
		return vanillabarrow.Health{}, err
	}
	response, _, err := conn.receive(request.Method, func(*http1.Response) vanillabarrow.ResponseClass {
		return vanillabarrow.ResponseValid
	})
	if err != nil {
		return vanillabarrow.Health{}, err
	}
	return c.protocol.Health(response.Status, vanillabarrow.Header(response.Header)), nil
}

// responseBody is the body of a response. Close returns a reusable connection to
// the pool if the body was read completely and no input follows it.
type responseBody struct {
	io.Reader
	conn          *conn
	pool          *pool
	stopInterrupt func() bool
	reusable      bool
	maxIdle       time.Duration
	complete      bool
	closeOnce     sync.Once
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		b.complete = true
	}
	return n, err
}

// Close returns the connection to the pool or closes it.
func (b *responseBody) Close() error {
	b.closeOnce.Do(func() {
		uninterrupted := b.stopInterrupt()
		if b.complete && b.reusable && uninterrupted && b.conn.r.Buffered() == 0 && b.maxIdle > 0 {
			b.pool.put(b.conn, time.Now().Add(b.maxIdle))
			return
		}
		if !uninterrupted || !b.complete {
			b.conn.resetOnClose()
		}
		b.pool.discard(b.conn)
	})
	return nil
}

// responseHeader returns the end-to-end fields of a response's header. Of the
// fields that nodes add, it keeps only the number of retries that the target's
// own requests to other services took.
func responseHeader(h http.Header) vanillabarrow.Header {
	out := message.EndToEndHeader(h)
	if retries := h.Get(message.RetriesHeader); retries != "" {
		out.Set(message.RetriesHeader, retries)
	}
	return vanillabarrow.Header(out)
}

// transportRefusal returns the refusal for a request without a complete
// response. The request has not run if none of its bytes were sent.
func transportRefusal(ctx context.Context, err error, sent bool) error {
	reason := vanillabarrow.ReasonTargetFailed
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		reason = vanillabarrow.ReasonDeadline
	case ctx.Err() != nil:
		reason = vanillabarrow.ReasonCanceled
	case !sent:
		reason = vanillabarrow.ReasonTargetDown
	}
	if !sent {
		return vanillabarrow.NotRun(reason, err.Error())
	}
	return vanillabarrow.MayHaveRun(reason, err.Error())
}
