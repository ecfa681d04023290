package kernel

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/vanillabarrow/vanillabarrow/internal/logging"
)

// ErrIntakeRefused is the error of a read from a connection whose request was
// refused for lack of memory. The request has not run.
var ErrIntakeRefused = errors.New("clients hold too much memory")

const (
	// refusal is the response to a request that was refused before its head was
	// complete.
	refusal = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n"
	// refusalTimeout limits the time to write a refusal.
	refusalTimeout = 100 * time.Millisecond
	// http2Preface begins a connection with HTTP/2.
	http2Preface = "PRI "
)

// intakeListener admits connections.
type intakeListener struct {
	net.Listener
	name   string
	intake *Intake
	logger *slog.Logger
}

// Accept implements net.Listener. Connections that are refused are closed.
func (l *intakeListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &IntakeConn{Conn: conn, listener: l}
		entry := l.intake.Add(time.Now(), c.evict)
		if entry == nil {
			l.logger.Warn(logging.EventConnectionRefused, "listener", l.name, "peer", conn.RemoteAddr())
			writeRefusal(conn)
			_ = conn.Close()
			continue
		}
		c.entry = entry
		return c, nil
	}
}

// writeRefusal sends the refusal of a request that has not been read. The client may
// have disconnected.
func writeRefusal(conn net.Conn) {
	if conn.SetWriteDeadline(time.Now().Add(refusalTimeout)) == nil {
		_, _ = io.WriteString(conn, refusal)
	}
}

// IntakeConn is an accepted connection that charges what it receives to the Intake.
// A server other than net/http's calls BeginRequest, EndBody and BeginHead itself.
type IntakeConn struct {
	net.Conn
	listener *intakeListener
	entry    *IntakeEntry
	// begun is set once the first bytes were received.
	begun atomic.Bool
	// reports is set if the server responds to ErrIntakeRefused itself.
	reports atomic.Bool
	// refused is set once a read was refused. All later reads fail as well.
	refused atomic.Bool
}

// ReportRefusals makes the server responsible for the response to a request whose
// read returned ErrIntakeRefused, because earlier responses have to be sent first.
func (c *IntakeConn) ReportRefusals() { c.reports.Store(true) }

// Read implements net.Conn. The error is ErrIntakeRefused within a net.OpError if the
// request was refused.
func (c *IntakeConn) Read(p []byte) (int, error) {
	if c.refused.Load() {
		return 0, c.refusedError()
	}
	intake := c.listener.intake
	intake.BeginRead(c.entry, time.Now())
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	if !c.begun.Swap(true) && bytes.HasPrefix(p[:n], []byte(http2Preface)) {
		intake.SetMultiplexed(c.entry)
	}
	if c.startedAhead() {
		intake.Touch(c.entry, time.Now())
		return n, err
	}
	if intake.Receive(c.entry, n, bytes.Count(p[:n], []byte{'\n'}), time.Now()) {
		return n, err
	}
	c.refused.Store(true)
	c.listener.logger.Warn(logging.EventClientClosed, "listener", c.listener.name, "peer", c.RemoteAddr(), "reason", "memory")
	if intake.IsInHead(c.entry) && !c.reports.Load() {
		writeRefusal(c.Conn)
	}
	return 0, c.refusedError()
}

// startedAhead reports whether the request that is read next has been started, so that
// it can't be refused as not run. The memory of such a request is reserved by the
// connection below.
func (c *IntakeConn) startedAhead() bool {
	ahead, ok := c.Conn.(AheadConn)
	return ok && ahead.StartedAhead()
}

// refusedError is one to which net/http does not respond.
func (c *IntakeConn) refusedError() error {
	return &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: ErrIntakeRefused}
}

// Write implements net.Conn.
func (c *IntakeConn) Write(p []byte) (int, error) {
	c.listener.intake.BeginWrite(c.entry, time.Now())
	defer func() { c.listener.intake.EndWrite(c.entry, time.Now()) }()
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *IntakeConn) Close() error {
	c.listener.intake.Remove(c.entry)
	return c.Conn.Close()
}

// CloseWrite shuts the sending side down, so that a refusal reaches a client that
// still sends.
func (c *IntakeConn) CloseWrite() error {
	if tcp, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// evict closes the connection in favour of others. It is called without locks.
func (c *IntakeConn) evict() {
	c.listener.logger.Warn(logging.EventClientClosed, "listener", c.listener.name, "peer", c.RemoteAddr(), "reason", "displaced")
	_ = c.Conn.Close()
}

// BeginRequest charges a request whose handler starts. It returns the request for
// the handler, whose body reports its end to the Intake, the charge for EndRequest,
// and false if the request has to be refused as not run. net/http decides by the
// type of the body of its own request whether it may respond before it has read the
// body, so that one is not changed.
func (c *IntakeConn) BeginRequest(r *http.Request) (*http.Request, int64, bool) {
	intake := c.listener.intake
	multiplexed := r.ProtoMajor > 1
	if multiplexed {
		intake.SetMultiplexed(c.entry)
	}
	hasBody := !multiplexed && r.Body != nil && r.Body != http.NoBody
	cost := HeaderCost(r.Header)
	if c.startedAhead() {
		cost = 0
	}
	charge, ok := intake.BeginRequest(c.entry, cost, hasBody, time.Now())
	if ok && hasBody {
		withBody := *r
		withBody.Body = &intakeBody{ReadCloser: r.Body, conn: c}
		r = &withBody
	}
	if !ok {
		c.listener.logger.Warn(logging.EventClientClosed, "listener", c.listener.name, "peer", c.RemoteAddr(), "reason", "memory")
	}
	return r, charge, ok
}

// EndRequest ends a request of HTTP/2. That of HTTP/1 ends with BeginHead or Close.
func (c *IntakeConn) EndRequest(r *http.Request, charge int64) {
	if r.ProtoMajor > 1 {
		c.listener.intake.EndRequest(c.entry, charge, time.Now())
	}
}

// EndBody marks the end of the body.
func (c *IntakeConn) EndBody() { c.listener.intake.EndBody(c.entry) }

// BeginHead marks that the response was sent and the next head is awaited.
func (c *IntakeConn) BeginHead() { c.listener.intake.BeginHead(c.entry, time.Now()) }

// HeaderCost returns the memory of a header in bytes.
func HeaderCost(h http.Header) int64 {
	cost := 0
	for name, values := range h {
		cost += len(name)
		for _, value := range values {
			cost += len(value) + LineCost
		}
	}
	return int64(cost)
}

// intakeBody is the body of a request in the state IntakeBody.
type intakeBody struct {
	io.ReadCloser
	conn *IntakeConn
}

// Read implements io.Reader.
func (b *intakeBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.conn.EndBody()
	}
	return n, err
}

// intakeKey is the context key of the IntakeConn on which a request arrived.
type intakeKey struct{}

// IntakeConnOf returns the connection of a request, nil if the server has no Intake.
func IntakeConnOf(ctx context.Context) *IntakeConn {
	c, _ := ctx.Value(intakeKey{}).(*IntakeConn)
	return c
}

// intakeHandler refuses requests for which there is no memory.
type intakeHandler struct{ next http.Handler }

// ServeHTTP implements http.Handler.
func (h intakeHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := IntakeConnOf(r.Context())
	if c == nil {
		h.next.ServeHTTP(w, r)
		return
	}
	handled, charge, ok := c.BeginRequest(r)
	if !ok {
		w.Header().Set("Connection", "close")
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer c.EndRequest(r, charge)
	h.next.ServeHTTP(w, handled)
}
