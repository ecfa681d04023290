// Package target speaks HTTP/1.1 to the node's own target.
package target

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/message"
)

const (
	// holdBytes is the largest part of an answer that is held.
	holdBytes = 64 << 10
	// dialTimeout bounds a connection set-up with the target, which runs on
	// the same VM.
	dialTimeout = time.Second
	// healthTimeout bounds a health check.
	healthTimeout = time.Second
)

// errStrays is the error for a connection with too many answers to other
// requests.
var errStrays = errors.New("too many answers to other requests")

// errNotAnAnswer is the error for bytes that no target sends.
var errNotAnAnswer = errors.New("not an answer of the target")

// Executor implements vanillabarrow.Executor.
type Executor struct {
	own      vanillabarrow.TargetRef
	cfg      vanillabarrow.Configuration
	protocol vanillabarrow.TargetProtocol
	client   atomic.Pointer[client]
}

// client is the connection pool for one address.
type client struct {
	address     string
	connections int
	pool        *pool
	protocol    vanillabarrow.TargetProtocol
}

// New returns an executor for a target.
func New(own vanillabarrow.TargetRef, cfg vanillabarrow.Configuration, protocol vanillabarrow.TargetProtocol) *Executor {
	return &Executor{own: own, cfg: cfg, protocol: protocol}
}

// current returns the client for the target as configured now.
func (e *Executor) current() (*client, error) {
	snapshot := e.cfg.Snapshot()
	if snapshot == nil {
		return nil, vanillabarrow.NotRun(vanillabarrow.ReasonNoConfig, "")
	}
	target := e.own.Resolve(snapshot)
	if target == nil {
		return nil, vanillabarrow.NotRun(vanillabarrow.ReasonTargetOut, "")
	}
	old := e.client.Load()
	if old != nil && old.address == target.Address && old.connections == target.Connections {
		return old, nil
	}
	fresh := &client{
		address:     target.Address,
		connections: target.Connections,
		pool:        newPool(target.Address, target.Connections),
		protocol:    e.protocol,
	}
	if !e.client.CompareAndSwap(old, fresh) {
		return e.client.Load(), nil
	}
	if old != nil {
		old.pool.close()
	}
	return fresh, nil
}

// Close closes idle connections.
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
	c, err := e.current()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithDeadline(ctx, a.Deadline)
	answer, err := c.execute(ctx, a)
	if err != nil || answer.Stream == nil {
		cancel()
		return answer, err
	}
	answer.Stream = &stream{ReadCloser: answer.Stream, cancel: cancel}
	return answer, nil
}

// Check asks the target for its health.
func (e *Executor) Check(ctx context.Context) (vanillabarrow.Health, error) {
	c, err := e.current()
	if err != nil {
		return vanillabarrow.Health{}, err
	}
	snapshot := e.cfg.Snapshot()
	target := e.own.Resolve(snapshot)
	service := snapshot.Services[target.Service]
	if service == nil || service.HealthPath == "" {
		return vanillabarrow.Health{OK: true, Target: target.Name}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	return c.check(ctx, service.HealthPath)
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

func (c *client) execute(ctx context.Context, a *vanillabarrow.Attempt) (*vanillabarrow.Response, error) {
	request, err := newRequest(a, c.address, c.protocol)
	if err != nil {
		return nil, vanillabarrow.NotRun(vanillabarrow.ReasonTargetDown, err.Error())
	}
	n, err := c.pool.get(ctx)
	if err != nil {
		return nil, refusal(ctx, err, false)
	}
	stop := n.watchCancel(ctx)
	response, class, reusable, err := n.exchange(request, a, c.protocol)
	if err != nil {
		stop()
		n.abandon()
		c.pool.discard(n)
		return nil, refusal(ctx, err, n.wrote)
	}
	body := &body{ReadCloser: response.Body, conn: n, pool: c.pool, stop: stop, reusable: reusable, idle: idleFor(response.Header)}
	start, rest, err := message.SplitBody(response.Body, holdBytes)
	if err != nil {
		_ = body.Close()
		return nil, refusal(ctx, err, true)
	}
	body.whole = rest == nil
	if err := refusalFor(class); err != nil {
		_ = body.Close()
		return nil, err
	}
	answer := &vanillabarrow.Response{
		Status: response.StatusCode,
		Header: answerHeader(response.Header),
		Body:   start,
		Size:   response.ContentLength,
		Target: a.Target.Name,
	}
	if rest == nil {
		_ = body.Close()
		return answer, nil
	}
	answer.Stream = body
	return answer, nil
}

// refusalFor returns the refusal for answers that are not the request's.
func refusalFor(class vanillabarrow.ResponseClass) error {
	switch class {
	case vanillabarrow.ResponseShed:
		return vanillabarrow.NotRun(vanillabarrow.ReasonShed, "the target stated that it did not run the request")
	case vanillabarrow.ResponseMisdirected:
		return vanillabarrow.NotRun(vanillabarrow.ReasonMisdirected, "another target has the address")
	case vanillabarrow.ResponseInvalid:
		return vanillabarrow.MayHaveRun(vanillabarrow.ReasonTargetFailed, errNotAnAnswer.Error())
	default:
		return nil
	}
}

func (c *client) check(ctx context.Context, path string) (vanillabarrow.Health, error) {
	request, err := http.NewRequest(http.MethodGet, "http://"+c.address+path, nil)
	if err != nil {
		return vanillabarrow.Health{}, err
	}
	n, err := c.pool.get(ctx)
	if err != nil {
		return vanillabarrow.Health{}, err
	}
	stop := n.watchCancel(ctx)
	defer stop()
	// A health check is rare, so its connection is not kept.
	defer c.pool.discard(n)
	if err := n.send(request); err != nil {
		return vanillabarrow.Health{}, err
	}
	response, err := http.ReadResponse(n.r, request)
	if err != nil {
		return vanillabarrow.Health{}, err
	}
	defer func() { _ = response.Body.Close() }()
	return c.protocol.Health(response.StatusCode, vanillabarrow.Header(response.Header)), nil
}

// body is the body of an answer. Its connection goes back to the pool when the
// answer was read whole and nothing follows it.
type body struct {
	io.ReadCloser
	conn     *conn
	pool     *pool
	stop     func() bool
	reusable bool
	idle     time.Duration
	whole    bool
	once     sync.Once
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.whole = true
	}
	return n, err
}

// Close gives the connection back or closes it.
func (b *body) Close() error {
	b.once.Do(func() {
		intact := b.stop()
		if b.whole && b.reusable && intact && b.conn.r.Buffered() == 0 && b.idle > 0 {
			b.pool.put(b.conn, time.Now().Add(b.idle))
			return
		}
		if !intact || !b.whole {
			b.conn.abandon()
		}
		b.pool.discard(b.conn)
	})
	return nil
}

// answerHeader keeps, of the nodes' own fields, the number of retries below.
func answerHeader(h http.Header) vanillabarrow.Header {
	out := message.EndToEndHeader(h)
	if retries := h.Get(message.RetriesHeader); retries != "" {
		out.Set(message.RetriesHeader, retries)
	}
	return vanillabarrow.Header(out)
}

// refusal gives the verdict on a request without an answer. Unless bytes were
// sent, it did not run.
func refusal(ctx context.Context, err error, sent bool) error {
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
