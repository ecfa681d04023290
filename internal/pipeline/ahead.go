package pipeline

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"runtime/debug"
	"strings"
	"sync"
	"time"
)

// lateWriteTimeout limits the time to write a response that was complete before its turn,
// if its deadline ends sooner.
const lateWriteTimeout = 5 * time.Second

// copyBuffer is the size in bytes of one read of a streamed response.
const copyBuffer = 16 << 10

// ahead is a request that was started before net/http read it. It is the
// http.ResponseWriter of its handler. The response is kept until net/http calls the
// handler for the request, and then written directly.
type ahead struct {
	conn    *conn
	ctx     context.Context
	cancel  context.CancelFunc
	request *http.Request
	// headEnd is the offset behind the request's head.
	headEnd int64
	// dropped is set when nobody writes the response, ended when the handler has
	// returned. buffered is the size of the response that waits to be written, cost
	// the memory that is reserved for the request until its turn. The connection's
	// lock guards them.
	dropped, ended bool
	buffered       int
	cost           int64
	// joined is closed when net/http has come to the request, done when the handler
	// has returned.
	joined chan struct{}
	done   chan struct{}
	panic  any

	// header is changed by the handler only.
	header http.Header

	mu sync.Mutex
	// w is the connection's response writer, nil before the response's turn.
	w           http.ResponseWriter
	information []informational
	status      int
	// sent is the header at the time of WriteHeader.
	sent     http.Header
	body     []byte
	flushed  bool
	deadline time.Time
}

// informational is a response with a status of 1xx.
type informational struct {
	status int
	header http.Header
}

// run calls the handler.
func (a *ahead) run() {
	defer func() {
		if p := recover(); p != nil {
			a.panic = p
			if err, ok := p.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
				// net/http logs the value, but not where this goroutine panicked.
				a.panic = fmt.Sprintf("%v\n%s", p, debug.Stack())
			}
		}
		a.cancel()
		close(a.done)
		a.conn.endAhead(a)
	}()
	a.conn.l.Handler.ServeHTTP(a, a.request)
}

// endAhead is called when the handler has returned.
func (c *conn) endAhead(a *ahead) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a.ended = true
	c.releaseCost(a)
	if a.dropped {
		c.dropResponse(a)
		c.l.release()
	}
}

// respond writes the response when net/http serves the request. It returns when the
// handler has returned.
func (a *ahead) respond(w http.ResponseWriter, r *http.Request) {
	// The body has been read ahead. net/http watches the connection only after it has
	// read the body, too.
	_, _ = io.Copy(io.Discard, r.Body)
	if a.isLate() {
		// The handler fails, and replaces what it has written.
		<-a.done
	}
	a.join(w)
	<-a.done
	if a.panic != nil {
		panic(a.panic)
	}
	// Trailers are set after the header was sent.
	for name, values := range a.header {
		if _, ok := a.sent[name]; !ok || strings.HasPrefix(name, http.TrailerPrefix) {
			w.Header()[name] = values
		}
	}
}

// join passes on what the handler has written so far. From then on the handler
// writes directly.
func (a *ahead) join(w http.ResponseWriter) {
	a.mu.Lock()
	defer a.mu.Unlock()
	defer close(a.joined)
	a.w = w
	for _, i := range a.information {
		maps.Copy(w.Header(), i.header)
		w.WriteHeader(i.status)
		clear(w.Header())
	}
	if !a.deadline.IsZero() {
		_ = http.NewResponseController(w).SetWriteDeadline(a.writeDeadline())
	}
	if a.status == 0 {
		return
	}
	a.sendHeader()
	if len(a.body) > 0 {
		_, _ = w.Write(a.body)
	}
	a.body = nil
	a.conn.releaseResponse(a)
	if a.flushed {
		_ = http.NewResponseController(w).Flush()
	}
}

// isLate reports whether the deadline of a response has passed.
func (a *ahead) isLate() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.deadline.IsZero() && !time.Now().Before(a.deadline)
}

// writeDeadline returns the deadline for writing the response. One that is complete is
// written although it is late.
func (a *ahead) writeDeadline() time.Time {
	select {
	case <-a.done:
		if late := time.Now().Add(lateWriteTimeout); late.After(a.deadline) {
			return late
		}
	default:
	}
	return a.deadline
}

// sendHeader passes the header on. The last request started on a connection that is
// to be closed announces that.
func (a *ahead) sendHeader() {
	maps.Copy(a.w.Header(), a.sent)
	if a.conn.isLastBeforeClose(a) {
		a.w.Header().Set("Connection", "close")
	}
	a.w.WriteHeader(a.status)
}

// isLastBeforeClose reports whether the connection is closed after the response.
func (c *conn) isLastBeforeClose(a *ahead) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.l.stopping.Load() {
		c.closing = true
	}
	return c.closing && (len(c.queue) == 0 || c.queue[len(c.queue)-1] == a)
}

// Header implements http.ResponseWriter.
func (a *ahead) Header() http.Header { return a.header }

// WriteHeader implements http.ResponseWriter.
func (a *ahead) WriteHeader(status int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.writeHeader(status)
}

func (a *ahead) writeHeader(status int) {
	if status >= 100 && status < 200 && status != http.StatusSwitchingProtocols {
		if a.w == nil {
			a.information = append(a.information, informational{status, a.header.Clone()})
			return
		}
		maps.Copy(a.w.Header(), a.header)
		a.w.WriteHeader(status)
		clear(a.w.Header())
		return
	}
	if a.status != 0 {
		return
	}
	a.status, a.sent = status, a.header.Clone()
	if a.w != nil {
		a.sendHeader()
	}
}

// Write implements http.ResponseWriter. If the response's turn has not come and the
// connection's bound for responses is reached, it waits for the turn.
func (a *ahead) Write(p []byte) (int, error) {
	a.mu.Lock()
	if a.status == 0 {
		a.writeHeader(http.StatusOK)
	}
	if a.w == nil && a.conn.reserveResponse(a, len(p)) {
		defer a.mu.Unlock()
		a.body = append(a.body, p...)
		return len(p), nil
	}
	a.mu.Unlock()
	if err := a.awaitTurn(); err != nil {
		return 0, err
	}
	return a.w.Write(p)
}

// awaitTurn waits until net/http serves the request, at most until the write
// deadline.
func (a *ahead) awaitTurn() error {
	if a.isJoined() {
		return nil
	}
	a.mu.Lock()
	deadline := a.deadline
	a.mu.Unlock()
	var expired <-chan time.Time
	if !deadline.IsZero() {
		timer := time.NewTimer(time.Until(deadline))
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-a.joined:
		return nil
	case <-a.ctx.Done():
		return a.ctx.Err()
	case <-expired:
		return os.ErrDeadlineExceeded
	}
}

// ReadFrom implements io.ReaderFrom. As much of a streamed response is read before its
// turn as the connection's bound for responses allows, so that one that breaks off can be
// replaced.
func (a *ahead) ReadFrom(r io.Reader) (int64, error) {
	total := int64(0)
	p := make([]byte, copyBuffer)
	for !a.isJoined() {
		n, err := r.Read(p)
		if n > 0 {
			if _, err := a.Write(p[:n]); err != nil {
				return total, err
			}
			total += int64(n)
		}
		if errors.Is(err, io.EOF) {
			return total, nil
		}
		if err != nil {
			return total, err
		}
	}
	n, err := io.Copy(a.w, r)
	return total + n, err
}

// isJoined reports whether the response's turn has come.
func (a *ahead) isJoined() bool {
	select {
	case <-a.joined:
		return true
	default:
		return false
	}
}

// Reset discards the response that a handler has written so far, so that it can write
// another one. It returns false if a part of the response may have been sent, or if the
// request was not started ahead.
func Reset(w http.ResponseWriter) bool {
	a, ok := w.(*ahead)
	if !ok {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.w != nil {
		return false
	}
	clear(a.header)
	a.status, a.sent, a.information = 0, nil, nil
	a.body, a.flushed, a.deadline = nil, false, time.Time{}
	a.conn.releaseResponse(a)
	return true
}

// FlushError is used by http.ResponseController.
func (a *ahead) FlushError() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.status == 0 {
		a.writeHeader(http.StatusOK)
	}
	if a.w == nil {
		a.flushed = true
		return nil
	}
	return http.NewResponseController(a.w).Flush()
}

// Flush implements http.Flusher.
func (a *ahead) Flush() { _ = a.FlushError() }

// SetWriteDeadline is used by http.ResponseController.
func (a *ahead) SetWriteDeadline(t time.Time) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.deadline = t
	if a.w == nil {
		return nil
	}
	return http.NewResponseController(a.w).SetWriteDeadline(t)
}

// reserveResponse takes bytes from the connection's bound for responses.
func (c *conn) reserveResponse(a *ahead, n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.responseBytes+n > c.l.MaxBytes || !c.l.reserve(int64(n)) {
		return false
	}
	c.responseBytes += n
	a.buffered += n
	return true
}

// releaseCost returns the memory that is reserved for a request until its turn.
func (c *conn) releaseCost(a *ahead) {
	c.l.unreserve(a.cost)
	a.cost = 0
}

// releaseResponse returns the bytes of a response that has been written.
func (c *conn) releaseResponse(a *ahead) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropResponse(a)
}

func (c *conn) dropResponse(a *ahead) {
	c.responseBytes -= a.buffered
	c.l.unreserve(int64(a.buffered))
	a.buffered = 0
}
