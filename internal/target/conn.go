package target

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
	"github.com/vanillabarrow/vanillabarrow/internal/message"
)

const (
	// bufferBytes is the size of a connection's read and write buffers.
	bufferBytes = 4 << 10
	// inlineBody is the largest body, in bytes, that is written before the
	// answer is read. It fits a socket buffer, so that writing does not block.
	inlineBody = 8 << 10
	// defaultIdle is how long an idle connection is used when the target does
	// not announce its idle timeout.
	defaultIdle = 30 * time.Second
	// idleMargin is how long before the announced idle timeout a connection is
	// no longer used, since the target may close it while a request is on its
	// way.
	idleMargin = 1500 * time.Millisecond
	// maxStrays bounds the answers to other requests that are skipped.
	maxStrays = 4
)

// conn is one connection to the target. It carries one request at a time.
type conn struct {
	net.Conn
	r *bufio.Reader
	w *bufio.Writer
	// usableUntil is when the connection has been idle for too long.
	usableUntil time.Time
	// wrote is set once bytes of a request may have left the process.
	wrote bool
}

func newConn(c net.Conn) *conn {
	n := &conn{Conn: c, r: bufio.NewReaderSize(c, bufferBytes)}
	n.w = bufio.NewWriterSize(n, bufferBytes)
	return n
}

// Write implements io.Writer and notes that bytes left.
func (c *conn) Write(p []byte) (int, error) {
	c.wrote = true
	return c.Conn.Write(p)
}

// fresh reports whether the idle connection can carry another request: it is
// open, not idle for too long, and has no bytes that belong to no request.
func (c *conn) fresh(now time.Time) bool {
	return now.Before(c.usableUntil) && c.r.Buffered() == 0 && !pending(c.Conn)
}

// pending reports whether a read would return at once: with bytes, an end of
// stream or an error.
func pending(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return true
	}
	var b [1]byte
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
		return true
	})
	return err != nil || !quiet
}

// writer writes one request while its answer is awaited.
type writer struct {
	conn    *conn
	request *http.Request
	done    chan error
}

func (w *writer) run() { w.done <- w.conn.send(w.request) }

func (c *conn) send(request *http.Request) error {
	if err := request.Write(c.w); err != nil {
		return err
	}
	return c.w.Flush()
}

// exchange sends the request and returns its answer. Reusable is set when the
// connection can carry another request once the body has been read.
func (c *conn) exchange(request *http.Request, a *vanillabarrow.Attempt, protocol vanillabarrow.TargetProtocol) (response *http.Response, class vanillabarrow.ResponseClass, reusable bool, err error) {
	w := &writer{conn: c, request: request, done: make(chan error, 1)}
	if request.ContentLength >= 0 && request.ContentLength <= inlineBody {
		if err := c.send(request); err != nil {
			return nil, 0, false, err
		}
		w.done <- nil
	} else {
		go w.run()
	}
	response, class, err = c.receive(request, a, protocol)
	if err != nil {
		return nil, 0, false, err
	}
	select {
	case sendErr := <-w.done:
		reusable = sendErr == nil && keepsOpen(response)
	default:
		// The target answered before it had the whole body. What is left of it
		// must not be taken for the next request.
	}
	return response, class, reusable, nil
}

// receive reads answers up to the one for the request.
func (c *conn) receive(request *http.Request, a *vanillabarrow.Attempt, protocol vanillabarrow.TargetProtocol) (*http.Response, vanillabarrow.ResponseClass, error) {
	for range maxStrays {
		response, err := http.ReadResponse(c.r, request)
		if err != nil {
			return nil, 0, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		class := protocol.Classify(a, response.StatusCode, vanillabarrow.Header(response.Header))
		if class != vanillabarrow.ResponseMismatched {
			return response, class, nil
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, 0, err
		}
		if !keepsOpen(response) {
			return nil, 0, io.ErrUnexpectedEOF
		}
	}
	return nil, 0, errStrays
}

// keepsOpen reports whether the connection outlasts the answer.
func keepsOpen(response *http.Response) bool {
	return !response.Close && (response.ContentLength >= 0 || len(response.TransferEncoding) > 0)
}

// abandon closes a connection on which a request is given up. It is reset, so
// that the target does not read what still waits in its socket.
func (c *conn) abandon() {
	// A connection that is gone already needs no reset.
	_ = kernel.ResetOnClose(c.Conn)
}

// watchCancel breaks the connection off when the context ends. The returned
// function stops the watch and reports whether it came in time.
func (c *conn) watchCancel(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
}

// idleFor returns how long the connection may stay idle after the answer.
func idleFor(h http.Header) time.Duration {
	for _, field := range h["Keep-Alive"] {
		for part := range strings.SplitSeq(field, ",") {
			name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
			seconds, err := strconv.Atoi(strings.TrimSpace(value))
			if ok && err == nil && strings.EqualFold(name, "timeout") {
				return time.Duration(seconds)*time.Second - idleMargin
			}
		}
	}
	return defaultIdle
}

// newRequest returns the HTTP request for an attempt, without a client's
// behaviour beside.
func newRequest(a *vanillabarrow.Attempt, address string, protocol vanillabarrow.TargetProtocol) (*http.Request, error) {
	request, err := message.NewRequest(context.Background(), address, a.Request)
	if err != nil {
		return nil, err
	}
	protocol.EncodeRequest(vanillabarrow.Header(request.Header), a, time.Now())
	if _, ok := request.Header["User-Agent"]; !ok {
		// An empty value keeps the library from adding its own.
		request.Header["User-Agent"] = []string{""}
	}
	if len(a.Request.Body) == 0 && a.Request.Stream == nil {
		request.Body, request.ContentLength = nil, 0
	}
	return request, nil
}
