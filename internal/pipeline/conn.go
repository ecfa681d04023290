package pipeline

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
)

// aLongTimeAgo is a deadline that interrupts a pending read.
var aLongTimeAgo = time.Unix(1, 0)

// unknown is the offset of a request whose start is not known.
const unknown = -1

// conn is a connection between net/http and the caller. It delivers the bytes that
// it reads unchanged, but never bytes behind an empty line together with those in
// front of it. So when net/http calls the handler, it has read no further than the
// end of the request's head, and the start of the next request is known. The only
// exception is the single byte that net/http reads while a handler runs, to detect
// that the caller closes the connection.
//
// As long as no bytes of a further request arrive while a handler runs, reads go
// directly to the socket. From then on, loopReadAhead reads the socket.
type conn struct {
	net.Conn
	l *Listener
	// ctx is the context of all requests, canceled when the connection breaks.
	ctx    context.Context
	cancel context.CancelFunc
	remote string

	mu *kernel.Mutex
	// changed is signaled when bytes arrive, space becomes free, the deadline changes
	// or the connection closes.
	changed *sync.Cond
	// http2 is set once a request of HTTP/2 was served.
	http2 atomic.Bool
	// buf holds bytes from the stream's offset base on. Those before the offset
	// delivered have been delivered.
	buf       []byte
	base      int64
	delivered int64
	// reserved is the part of the budget taken for buf.
	reserved int64
	line     lineState
	// headEnd is the offset behind the empty line that was delivered last, unknown if
	// other bytes than that single one followed.
	headEnd int64
	// bodyLeft is the undelivered part of the body of the request being served.
	bodyLeft int64
	arrivals marks

	// reading is set once loopReadAhead reads the socket, watching while it waits for
	// space. err is the error that ended it.
	reading  bool
	watching bool
	err      error
	closed   bool
	deadline time.Time
	timer    *time.Timer

	front front
	// next is the offset at which the next request begins that has not been started,
	// or unknown if no request may be started.
	next int64
	// generation changes when next is set to another request.
	generation int
	parsing    bool
	parseAgain bool
	// closing is set when no more requests may be started ahead.
	closing bool
	// waitCounted is set when the request at next has been counted as waiting.
	waitCounted bool
	// queue holds the requests started ahead whose responses have not been written.
	queue []*ahead
	// responseBytes is the size of their responses that wait to be written.
	responseBytes int
}

func newConn(l *Listener, c net.Conn) *conn {
	mu := kernel.NewMutex(kernel.RankPipeline)
	return &conn{
		Conn: c, l: l, ctx: context.Background(), cancel: func() {},
		mu: mu, changed: sync.NewCond(mu), headEnd: unknown, next: unknown,
	}
}

// NetConn returns the connection below.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Context returns the context of the connection's requests.
func (c *conn) Context(parent context.Context) context.Context {
	c.ctx, c.cancel = context.WithCancel(context.WithValue(parent, connKey{}, c))
	return c.ctx
}

// CloseWrite closes the sending side, as net/http does for connections with this
// method before it closes one with unread bytes.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// ReadFrom implements io.ReaderFrom, which net/http uses for large responses.
func (c *conn) ReadFrom(r io.Reader) (int64, error) {
	if w, ok := c.Conn.(io.ReaderFrom); ok {
		return w.ReadFrom(r)
	}
	return io.Copy(struct{ io.Writer }{c.Conn}, r)
}

// Close implements net.Conn. It cancels all requests of the connection.
func (c *conn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.closing = true
	if c.timer != nil {
		c.timer.Stop()
	}
	c.dropQueue()
	c.l.unreserve(c.reserved)
	c.reserved = 0
	c.changed.Broadcast()
	c.mu.Unlock()
	c.cancel()
	return c.Conn.Close()
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.SetWriteDeadline(t); err != nil {
		return err
	}
	return c.SetReadDeadline(t)
}

// SetReadDeadline implements net.Conn. The deadline is that of Read, not that of
// loopReadAhead.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if !c.reading {
		return c.Conn.SetReadDeadline(t)
	}
	c.startTimer()
	c.changed.Broadcast()
	return nil
}

// startTimer wakes Read at the deadline.
func (c *conn) startTimer() {
	if c.timer != nil {
		c.timer.Stop()
	}
	if c.deadline.IsZero() || c.closed {
		return
	}
	d := time.Until(c.deadline)
	if d <= 0 {
		return
	}
	if c.timer == nil {
		c.timer = time.AfterFunc(d, c.wake)
		return
	}
	c.timer.Reset(d)
}

func (c *conn) wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.changed.Broadcast()
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	c.mu.Lock()
	if c.isBackground(p) {
		bodyRead := c.front.bodyRead
		c.front.bodyRead = true
		switch {
		case c.undelivered() > 0 && !c.reading:
			c.startReading()
		case c.reading && !bodyRead:
			// Requests behind the body may have arrived before it was read.
			c.mu.Unlock()
			c.startReady()
			c.mu.Lock()
		}
	}
	if c.reading || c.undelivered() > 0 {
		defer c.mu.Unlock()
		return c.readBuffered(p)
	}
	if c.bodyLeft > 0 && int64(len(p)) > c.bodyLeft {
		p = p[:c.bodyLeft]
	} else if c.bodyLeft == 0 && len(p) > maxDirectRead {
		p = p[:maxDirectRead]
	}
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	if n == 0 || c.http2.Load() {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	background := c.isBackground(p)
	k := c.deliver(p, p[:n])
	if k < n || background {
		c.keep(p[:n], k, background)
	}
	if background && c.front.active {
		c.front.bodyRead = true
		c.startReading()
	}
	return k, err
}

// maxDirectRead limits one read from the socket, and so what has to be kept of it.
const maxDirectRead = 32 << 10

// isBackground reports whether a read is net/http's read of a single byte while the
// handler runs, or may be that because it follows the head of a request. net/http
// reads nothing else between the end of a request and its handler's return.
func (c *conn) isBackground(p []byte) bool {
	return len(p) == 1 && c.bodyLeft == 0 && (c.front.active || c.headEnd == c.delivered)
}

// undelivered returns the number of buffered bytes that Read has not returned.
func (c *conn) undelivered() int {
	return int(c.base + int64(len(c.buf)) - c.delivered)
}

// deliver returns how many bytes of the stream to return for a read into p, and
// counts them as delivered.
func (c *conn) deliver(p, available []byte) int {
	n := min(len(p), len(available))
	if c.bodyLeft > 0 {
		n = int(min(int64(n), c.bodyLeft))
		c.bodyLeft -= int64(n)
		c.delivered += int64(n)
		c.line = lineOther
		// The end of the head is known to begin by now. Bytes behind it are kept no
		// longer, or a large body would fill the buffer.
		c.headEnd = unknown
		return n
	}
	n, complete := cut(c.line, available[:n])
	c.line = c.line.after(available[:n])
	if !c.isBackground(p) {
		c.headEnd = unknown
		if complete {
			c.headEnd = c.delivered + int64(n)
		}
	}
	c.delivered += int64(n)
	return n
}

// keep buffers the bytes of a direct read of which the first k were delivered. The
// byte of a background read is kept although it was delivered, since it is the first
// one of the next request.
func (c *conn) keep(p []byte, k int, background bool) {
	c.base = c.delivered
	if background {
		c.base -= int64(k)
		k = 0
	}
	if c.buf == nil {
		c.buf = readBuffers.Get().(*[minBuffer]byte)[:0]
	}
	c.buf = append(c.buf[:0], p[k:]...)
}

// readBuffered returns buffered bytes and waits for them if there are none.
func (c *conn) readBuffered(p []byte) (int, error) {
	for c.undelivered() == 0 && !c.closed {
		switch {
		case c.err != nil:
			return 0, c.err
		case !c.deadline.IsZero() && !time.Now().Before(c.deadline):
			return 0, os.ErrDeadlineExceeded
		}
		c.changed.Wait()
	}
	if c.closed {
		return 0, net.ErrClosed
	}
	available := c.buf[c.delivered-c.base:]
	n := c.deliver(p, available)
	copy(p, available[:n])
	c.compact()
	return n, nil
}

// compact removes the bytes from the buffer that are neither to be delivered nor to
// be parsed.
func (c *conn) compact() {
	keep := c.delivered
	if c.next != unknown {
		keep = min(keep, c.next)
	} else if c.headEnd != unknown {
		keep = min(keep, c.headEnd)
	}
	n := min(int(keep-c.base), len(c.buf))
	// Moving the rest for each small request would take time with the square of the
	// buffer's size.
	if n <= 0 || 2*n < len(c.buf) {
		return
	}
	c.buf = c.buf[:copy(c.buf, c.buf[n:])]
	c.base += int64(n)
	c.arrivals = c.arrivals.dropBefore(c.base)
	if len(c.buf) == 0 {
		if cap(c.buf) == minBuffer {
			readBuffers.Put((*[minBuffer]byte)(c.buf[:minBuffer]))
		}
		c.buf = nil
		c.l.unreserve(c.reserved)
		c.reserved = 0
	}
	c.resume()
}
