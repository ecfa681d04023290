package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeatInterval is how often an upstream writes its entry.
const heartbeatInterval = 1500 * time.Millisecond

// request is one request that an upstream runs.
type request struct {
	*http.Request
	id   string
	body []byte
	conn net.Conn
	// gone is closed when the connection is closed by the other side or broken.
	gone <-chan struct{}
}

// serveFunc runs a request and writes its response. It returns false if the
// connection is to be closed.
type serveFunc func(u *upstream, r *request) bool

// upstream is an application server. It registers itself in the store.
type upstream struct {
	id, service, zone, address string
	slots                      int
	store                      *store
	record                     *record
	serve                      serveFunc
	// early is called before the body is read, if it is set. It returns true if it has
	// answered the request.
	early func(u *upstream, r *request) bool

	mu       sync.Mutex
	state    string
	sequence int
	stopped  chan struct{}
	running  atomic.Int64
	listener net.Listener
	conns    map[net.Conn]bool
	born     int64
}

// start begins to listen and to write the entry.
func (u *upstream) start() error {
	listener, err := net.Listen("tcp", u.address)
	if err != nil {
		return err
	}
	u.mu.Lock()
	u.state, u.stopped, u.born = "ready", make(chan struct{}), time.Now().UnixMilli()
	u.listener, u.conns, u.sequence = listener, map[net.Conn]bool{}, 0
	stopped := u.stopped
	u.mu.Unlock()
	go u.loopAccept(listener)
	u.setState("ready")
	go u.loopReport(stopped)
	return nil
}

// crash closes the listener and resets all connections.
func (u *upstream) crash() {
	u.mu.Lock()
	defer u.mu.Unlock()
	close(u.stopped)
	_ = u.listener.Close()
	for conn := range u.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}

func (u *upstream) loopAccept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		u.mu.Lock()
		u.conns[conn] = true
		u.mu.Unlock()
		go u.loopServe(conn)
	}
}

// loopReport is the heartbeat. An entry whose state is the same is not written again,
// as its change would be in the sequence only.
func (u *upstream) loopReport(stopped chan struct{}) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			u.mu.Lock()
			u.sequence++
			u.mu.Unlock()
		case <-stopped:
			return
		}
	}
}

// setState writes the entry with a state.
func (u *upstream) setState(state string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.state = state
	u.sequence++
	entry, _ := json.Marshal(map[string]any{
		"service": u.service, "address": u.address, "zone": u.zone, "version": "v1", "max_concurrency": u.slots,
		"state": u.state, "warmup_remaining": "0ms", "sequence": u.sequence, "born": u.born,
	})
	u.store.put("servers/"+u.id, entry)
}

// watchedConn reports when the other side closes the connection while no request is
// read.
type watchedConn struct {
	net.Conn
	in   chan []byte
	rest []byte
	gone chan struct{}
}

func newWatchedConn(conn net.Conn) *watchedConn {
	c := &watchedConn{Conn: conn, in: make(chan []byte, 64), gone: make(chan struct{})}
	go c.loopRead()
	return c
}

func (c *watchedConn) loopRead() {
	defer close(c.in)
	defer close(c.gone)
	for {
		p := make([]byte, 16<<10)
		n, err := c.Conn.Read(p)
		if n > 0 {
			c.in <- p[:n]
		}
		if err != nil {
			return
		}
	}
}

// Read implements io.Reader.
func (c *watchedConn) Read(p []byte) (int, error) {
	if len(c.rest) == 0 {
		b, ok := <-c.in
		if !ok {
			return 0, io.EOF
		}
		c.rest = b
	}
	n := copy(p, c.rest)
	c.rest = c.rest[n:]
	return n, nil
}

// loopServe serves the requests of a connection one after the other.
func (u *upstream) loopServe(conn net.Conn) {
	watched := newWatchedConn(conn)
	defer func() {
		_ = conn.Close()
		u.mu.Lock()
		delete(u.conns, conn)
		u.mu.Unlock()
		for range watched.in {
			// The reader of the connection ends once nothing blocks it.
			continue
		}
	}()
	reader := bufio.NewReader(watched)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			if !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
				u.record.add("upstream %s reads no request: %v", u.id, err)
				u.record.invalid()
			}
			return
		}
		if !u.handle(&request{Request: r, id: r.Header.Get("X-Attempt-Id"), conn: conn, gone: watched.gone}) {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
	}
}

// handle serves one request as the pages say.
func (u *upstream) handle(r *request) bool {
	if r.URL.Path == "/health" && r.id == "" {
		return write(r.conn, "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", u.id)
	}
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != u.id {
		return write(r.conn, "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: %s\r\nX-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", u.id, r.id)
	}
	if r.id == "" {
		return write(r.conn, "HTTP/1.1 400 Bad Request\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	}
	defer u.running.Add(-1)
	if u.running.Add(1) > int64(u.slots)+4 {
		return u.shed(r)
	}
	if u.early != nil && u.early(u, r) {
		return true
	}
	var err error
	if r.body, err = io.ReadAll(r.Body); err != nil {
		u.record.add("upstream %s reads an incomplete body of %s: %v", u.id, r.id, err)
		return false
	}
	u.record.ran(u, r)
	return u.serve(u, r)
}

// shed answers that the request was not run.
func (u *upstream) shed(r *request) bool {
	u.record.add("upstream %s sheds %s", u.id, r.id)
	return write(r.conn, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nX-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", r.id)
}

// write writes to a connection and reports whether that succeeded.
func write(conn net.Conn, format string, args ...any) bool {
	_, err := fmt.Fprintf(conn, format, args...)
	return err == nil
}

// head returns the head of a successful response.
func (u *upstream) head(r *request, body []byte) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: %s\r\nContent-Length: %d\r\n\r\n",
		r.id, signature(u.id, body), len(body))
}

// respond sends a body with its signature.
func (u *upstream) respond(r *request, body []byte) bool {
	return write(r.conn, "%s%s", u.head(r, body), body)
}

func signature(id string, body []byte) string {
	return fmt.Sprintf("%s.%d.%08x", id, len(body), crc32.ChecksumIEEE(body))
}
