package kernel

import (
	"context"
	"net"
	"net/http"
	"time"
)

const (
	// newConnTimeout is the time for which a server that stops waits for the first
	// request on an open connection.
	newConnTimeout = time.Second
	// unusedAge is the age from which on a connection without a request is not waited
	// for. Clients also open connections that they don't use.
	unusedAge = 5 * time.Second
	// interruptInterval is the interval at which idle connections are interrupted.
	// http.Server may set the deadline of a connection again that has just become idle.
	interruptInterval = 100 * time.Millisecond
)

// aLongTimeAgo is a deadline that interrupts a pending read.
var aLongTimeAgo = time.Unix(1, 0)

// serverConn is what a server knows about one of its open connections.
type serverConn struct {
	state http.ConnState
	// since is the time at which the connection was opened.
	since time.Time
	// multiplexed is set for a connection that has had a request of HTTP/2.
	multiplexed bool
}

// isNew reports whether the first request of the connection is awaited.
func (c serverConn) isNew() bool { return c.state == http.StateNew }

// isUnused reports whether the connection is old and has had no request.
func (c serverConn) isUnused() bool { return c.isNew() && time.Since(c.since) > unusedAge }

// isUnread reports whether a request may have been sent on the connection, but not read.
func (c serverConn) isUnread() bool { return c.isNew() && !c.isUnused() }

// isIdle reports whether a further request of the connection is awaited.
func (c serverConn) isIdle() bool { return c.state == http.StateIdle && !c.multiplexed }

// isActive reports whether requests of the connection are open.
func (c serverConn) isActive() bool { return c.state == http.StateActive }

// isSequential reports whether the connection has one request at a time.
func (c serverConn) isSequential() bool { return !c.multiplexed }

// serverConns holds the open connections of a server.
type serverConns struct {
	mu    *Mutex
	conns map[net.Conn]serverConn
	// draining is set when connections end with the requests that have been read.
	draining bool
	// changed receives a value when the state of a connection changes.
	changed chan struct{}
}

func newServerConns() *serverConns {
	return &serverConns{mu: NewMutex(RankServerConns), conns: map[net.Conn]serverConn{}, changed: make(chan struct{}, 1)}
}

// set records the state of a connection. It returns true if the connection is to be
// closed: it has become idle, and http.Server has not begun to read the next request.
func (c *serverConns) set(conn net.Conn, state http.ConnState) bool {
	c.mu.Lock()
	known := c.conns[conn]
	known.state = state
	if state == http.StateNew {
		known.since = time.Now()
	}
	if state == http.StateClosed || state == http.StateHijacked {
		delete(c.conns, conn)
	} else {
		c.conns[conn] = known
	}
	end := c.draining && known.isIdle()
	c.mu.Unlock()
	select {
	case c.changed <- struct{}{}:
	default:
	}
	return end
}

// begin records the protocol of a request. It reports whether its response has to
// announce that the connection is closed.
func (c *serverConns) begin(conn net.Conn, r *http.Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.ProtoMajor < 2 {
		return c.draining
	}
	if known, ok := c.conns[conn]; ok {
		known.multiplexed = true
		c.conns[conn] = known
	}
	return false
}

// drain makes connections end with the requests that have been read.
func (c *serverConns) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
}

// count returns the number of connections for which a function returns true.
func (c *serverConns) count(matches func(serverConn) bool) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, conn := range c.conns {
		if matches(conn) {
			n++
		}
	}
	return n
}

// interrupt ends the reads of connections that wait for a request. A connection whose
// read has returned is not affected: its request is served.
func (c *serverConns) interrupt(matches func(serverConn) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, known := range c.conns {
		if matches(known) {
			// An error means that the connection is closed.
			_ = conn.SetReadDeadline(aLongTimeAgo)
		}
	}
}

// await waits until a function returns false for all open connections, at most until the
// context ends. Meanwhile it interrupts idle connections.
func (c *serverConns) await(ctx context.Context, matches func(serverConn) bool) {
	ticker := time.NewTicker(interruptInterval)
	defer ticker.Stop()
	for c.count(matches) > 0 {
		select {
		case <-c.changed:
		case <-ticker.C:
			c.interrupt(serverConn.isIdle)
		case <-ctx.Done():
			return
		}
	}
}

// serverConnKey is the context key of the connection of a request as http.Server knows
// it.
type serverConnKey struct{}

// connsHandler records the protocols of requests and announces the ends of connections.
type connsHandler struct {
	conns *serverConns
	next  http.Handler
}

// ServeHTTP implements http.Handler.
func (h connsHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, _ := r.Context().Value(serverConnKey{}).(net.Conn)
	if h.conns.begin(conn, r) {
		w.Header().Set("Connection", "close")
	}
	h.next.ServeHTTP(w, r)
}

// stopListener stops accepting connections before its server is shut down.
type stopListener struct {
	net.Listener
	stopped, closed chan struct{}
}

func newStopListener(l net.Listener) *stopListener {
	return &stopListener{Listener: l, stopped: make(chan struct{}), closed: make(chan struct{})}
}

// Accept implements net.Listener. After a stop it returns when the server is shut down,
// because http.Server.Serve returns with it.
func (l *stopListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		return conn, nil
	}
	select {
	case <-l.stopped:
		<-l.closed
	default:
	}
	return nil, err
}

// stop closes the listening socket. It is called once.
func (l *stopListener) stop() error {
	close(l.stopped)
	return l.Listener.Close()
}

// Close implements net.Listener. It is called once, by the server.
func (l *stopListener) Close() error {
	close(l.closed)
	select {
	case <-l.stopped:
		return nil
	default:
		return l.Listener.Close()
	}
}
