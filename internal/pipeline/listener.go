// Package pipeline runs pipelined requests of a connection at the same time.
// net/http keeps serving the connection: it parses each request, refuses what it
// refuses and writes each response. A connection in between reads ahead while a
// request is served, starts the idempotent requests that follow, and keeps their
// responses until net/http has come to these requests itself.
package pipeline

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/uber-go/tally/v4"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
)

// Config holds the dependencies and limits of a Listener.
type Config struct {
	Listener net.Listener
	Handler  http.Handler
	// IsIdempotent reports whether a request may be started before the requests in
	// front of it are answered. It returns false if this can't be determined.
	IsIdempotent func(method, host, target string) bool
	// MaxRequests is the number of requests of a connection that are started ahead
	// and whose responses have not been written.
	MaxRequests int
	// MaxBytes is the number of bytes that are read ahead on a connection, and the
	// number of bytes of its responses that wait to be written.
	MaxBytes int
	// MaxHeaderBytes is the maximum size of the head of a request that is started
	// ahead.
	MaxHeaderBytes int
	// Budget bounds the memory of all connections, nil for no bound.
	Budget vanillabarrow.MemoryBudget
	Scope  tally.Scope
	Logger *slog.Logger
}

// Listener accepts connections whose requests are started ahead. It is also the
// handler of the server that serves the listener.
type Listener struct {
	Config
	started  tally.Counter
	waiting  tally.Counter
	bound    tally.Counter
	stopping atomic.Bool
	// open is the number of requests started ahead whose responses have not been
	// written or, if they won't be, whose handlers have not returned.
	open     atomic.Int64
	finished chan struct{}
}

// New returns a listener.
func New(cfg Config) *Listener {
	scope := cfg.Scope.SubScope("pipeline")
	return &Listener{
		Config: cfg, started: scope.Counter("started"), waiting: scope.Counter("waiting"), bound: scope.Counter("boundReached"),
		finished: make(chan struct{}, 1),
	}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newConn(l, c), nil
}

// Close implements net.Listener.
func (l *Listener) Close() error { return l.Listener.Close() }

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return l.Listener.Addr() }

// Stop implements kernel.Stopper. It stops starting requests ahead, and waits until the
// responses to those started are written, because the server closes each connection
// after its next response once it is shut down.
func (l *Listener) Stop(ctx context.Context) {
	l.stopping.Store(true)
	for l.open.Load() > 0 {
		select {
		case <-l.finished:
		case <-ctx.Done():
			return
		}
	}
}

// admit counts a request as started ahead, unless the listener is stopping.
func (l *Listener) admit() bool {
	l.open.Add(1)
	if l.stopping.Load() {
		l.release()
		return false
	}
	return true
}

func (l *Listener) release() {
	if l.open.Add(-1) > 0 || !l.stopping.Load() {
		return
	}
	select {
	case l.finished <- struct{}{}:
	default:
	}
}

func (l *Listener) reserve(n int64) bool { return l.Budget == nil || l.Budget.Reserve(n) }

func (l *Listener) unreserve(n int64) {
	if l.Budget != nil && n > 0 {
		l.Budget.Release(n)
	}
}

// connKey and aheadKey are the context keys of a request's connection and, if it
// was started ahead, of its state.
type (
	connKey  struct{}
	aheadKey struct{}
)

// ServeHTTP implements http.Handler.
func (l *Listener) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if ok && r.ProtoMajor != 1 {
		c.http2.Store(true)
		ok = false
	}
	if !ok {
		l.Handler.ServeHTTP(w, r)
		return
	}
	started, arrived := c.begin(r)
	defer c.end(started)
	if started != nil {
		started.respond(w, r)
		return
	}
	if !arrived.IsZero() {
		r = r.WithContext(withArrival(r.Context(), arrived))
	}
	l.Handler.ServeHTTP(w, r)
}

// KeepOpen is called for the response to a request after which the node wants to
// close the connection. It reports whether requests behind it have been started, so
// that a later response has to announce the close. No more requests of the
// connection are started ahead.
func KeepOpen(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return false
	}
	a, _ := ctx.Value(aheadKey{}).(*ahead)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	return len(c.queue) > 0 && c.queue[len(c.queue)-1] != a
}

// AwaitTurn waits until all requests in front of a request are answered. It returns
// at once for a request that was not started ahead.
func AwaitTurn(ctx context.Context) error {
	a, ok := ctx.Value(aheadKey{}).(*ahead)
	if !ok {
		return nil
	}
	select {
	case <-a.joined:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
