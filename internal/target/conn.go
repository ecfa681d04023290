package target

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/http1"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
	"github.com/vanillabarrow/vanillabarrow/internal/message"
)

const (
	// bufferBytes is the size of a connection's write buffer.
	bufferBytes = http1.BufferBytes
	// maxInlineBodyBytes is the largest body that is written before the
	// response is read. It fits into a socket buffer, so that the write does
	// not block.
	maxInlineBodyBytes = 8 << 10
	// defaultMaxIdle is how long a connection may be idle before its next use
	// if the target does not announce its idle timeout.
	defaultMaxIdle = 30 * time.Second
	// idleTimeoutMargin is how long before the announced idle timeout a
	// connection is no longer used: the target might close it while a request
	// is in transit.
	idleTimeoutMargin = 1500 * time.Millisecond
	// maxMismatchedResponses limits the responses that are read for one request,
	// including informational ones (1xx). The request fails if none of them
	// belongs to it.
	maxMismatchedResponses = 4
	// maxDiscardedBytes is the maximum size of a body that is read and discarded
	// so that the connection can still be used.
	maxDiscardedBytes = 1 << 20
	// refusalBodyTimeout limits the time for which a refusal waits for its body.
	// The target runs on the same VM and usually sends it with the header.
	refusalBodyTimeout = 50 * time.Millisecond
	// maxResponseHeaderBytes is the maximum size of a response's status line and
	// header. It is below the limit of internal/peer, so that the fields that nodes
	// add fit too.
	maxResponseHeaderBytes = 128 << 10
	// maxRefusalsPerConn is the number of refusals after which a connection is
	// no longer used. It limits the ids that a connection keeps.
	maxRefusalsPerConn = 16
)

// errDiscardedTooLarge is returned when a body to be discarded exceeds
// maxDiscardedBytes.
var errDiscardedTooLarge = errors.New("the body to be discarded exceeds the size limit")

// errSendPanicked is returned when sending a request panicked.
var errSendPanicked = errors.New("panic while the request was sent")

// conn is a connection to the target. It carries one request at a time.
type conn struct {
	*kernel.SharedConn
	r *http1.Reader
	w *bufio.Writer
	// usableUntil is the time until which the idle connection may be used.
	usableUntil time.Time
	// wrote is set before bytes of the current request are sent. A requestWriter
	// may set it concurrently, so it proves that no bytes were sent only once the
	// connection is closed.
	wrote atomic.Bool
	// refused holds the ids of the requests that were refused on the connection.
	// A faulty target may send such a refusal again. It would be taken for the
	// refusal of the request if that were sent here once more.
	refused map[string]bool
}

func newConn(c net.Conn) *conn {
	shared := kernel.NewSharedConn(c)
	n := &conn{SharedConn: shared, r: http1.NewReader(shared, maxResponseHeaderBytes)}
	n.w = bufio.NewWriterSize(n, bufferBytes)
	return n
}

// Write implements io.Writer and records that bytes may have been sent.
func (c *conn) Write(p []byte) (int, error) {
	c.wrote.Store(true)
	return c.SharedConn.Write(p)
}

// isUsable reports whether the idle connection can carry another request: it is
// open, has not been idle for too long, and has no unread input.
func (c *conn) isUsable(now time.Time) bool {
	return now.Before(c.usableUntil) && c.r.Buffered() == 0 && !hasPendingInput(c.Conn)
}

// addRefusal records that the target refused a request. It reports whether the
// connection can carry another request: a refusal that does not name its
// request could arrive again and be taken for that of any other.
func (c *conn) addRefusal(requestID string, named bool) bool {
	if !named || len(c.refused) >= maxRefusalsPerConn {
		return false
	}
	if c.refused == nil {
		c.refused = map[string]bool{}
	}
	c.refused[requestID] = true
	return true
}

// hasPendingInput reports whether a read would return immediately with data,
// end of file or an error.
func hasPendingInput(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return true
	}
	var b [1]byte
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = err == syscall.EAGAIN
		return true
	})
	return err != nil || !empty
}

// requestWriter writes a request concurrently with reading the response.
type requestWriter struct {
	conn    *conn
	request *http.Request
	done    chan error
}

func (w *requestWriter) run() { w.done <- w.send() }

// send sends the request. A panic, such as one of the body's reader, ends only
// the request.
func (w *requestWriter) send() (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("%w: %v", errSendPanicked, r)
			_ = w.conn.Close()
		}
	}()
	return w.conn.send(w.request)
}

func (c *conn) send(request *http.Request) error {
	if err := request.Write(c.w); err != nil {
		return err
	}
	return c.w.Flush()
}

// exchange sends the request and returns its response. reusable is set if the
// connection can carry another request once the response body was read.
func (c *conn) exchange(request *http.Request, a *vanillabarrow.Attempt, protocol vanillabarrow.TargetProtocol) (response *http1.Response, class vanillabarrow.ResponseClass, reusable bool, err error) {
	w := &requestWriter{conn: c, request: request, done: make(chan error, 1)}
	if request.ContentLength >= 0 && request.ContentLength <= maxInlineBodyBytes {
		if err := c.send(request); err != nil {
			return nil, 0, false, err
		}
		w.done <- nil
	} else {
		go w.run()
	}
	response, class, err = c.receive(request.Method, func(response *http1.Response) vanillabarrow.ResponseClass {
		return protocol.Classify(a, response.Status, vanillabarrow.Header(response.Header))
	})
	if err != nil {
		return nil, 0, false, err
	}
	select {
	case sendErr := <-w.done:
		reusable = sendErr == nil && response.KeepAlive
	default:
		// The target responded before the complete request body was written. It
		// would take the rest of the body for the next request.
	}
	return response, class, reusable, nil
}

// receive reads responses until it finds the one to the request. It discards
// informational ones and those that classify takes for responses to other requests.
func (c *conn) receive(method string, classify func(*http1.Response) vanillabarrow.ResponseClass) (*http1.Response, vanillabarrow.ResponseClass, error) {
	for range maxMismatchedResponses {
		response, err := c.r.ReadResponse(method)
		if err != nil {
			return nil, 0, err
		}
		if !http1.IsFinalStatus(response.Status) {
			continue
		}
		class := classify(response)
		if class != vanillabarrow.ResponseMismatched {
			return response, class, nil
		}
		if !response.KeepAlive {
			// No other response can follow.
			return nil, 0, io.ErrUnexpectedEOF
		}
		if err := discardBody(response.Body); err != nil {
			return nil, 0, err
		}
	}
	return nil, 0, errTooManyMismatched
}

// discardBody reads a body of at most maxDiscardedBytes to its end.
func discardBody(body io.Reader) error {
	_, err := io.CopyN(io.Discard, body, maxDiscardedBytes+1)
	switch {
	case errors.Is(err, io.EOF):
		return nil
	case err == nil:
		return errDiscardedTooLarge
	default:
		return err
	}
}

// discardRefusalBody reads the body of a refusal, and reports whether it is complete, so
// that the connection can still be used. An error means that the body broke off or is
// malformed. One that is too large, or not complete within refusalBodyTimeout, is
// neither complete nor an error.
func (c *conn) discardRefusalBody(body io.Reader) (complete bool, err error) {
	if err := c.SetReadDeadline(time.Now().Add(refusalBodyTimeout)); err != nil {
		return false, err
	}
	err = discardBody(body)
	if errors.Is(err, errDiscardedTooLarge) || errors.Is(err, os.ErrDeadlineExceeded) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	return true, c.SetReadDeadline(time.Time{})
}

// resetOnClose makes the close of a connection with an abandoned request send a
// TCP reset, so that the target does not read the request from its receive
// buffer.
func (c *conn) resetOnClose() {
	// An error means that the connection is already closed.
	_ = kernel.ResetOnClose(c.Conn)
}

// interruptOnDone makes reads and writes fail once the context is done. The
// returned function stops this and returns false if the context was done
// before.
func (c *conn) interruptOnDone(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
}

// maxIdle returns how long the connection may be idle after a response with the
// given header and still be used. It must not be reused if the result is not
// positive.
func maxIdle(h http.Header) time.Duration {
	for _, field := range h["Keep-Alive"] {
		for part := range strings.SplitSeq(field, ",") {
			name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
			seconds, err := strconv.Atoi(strings.TrimSpace(value))
			if ok && err == nil && strings.EqualFold(name, "timeout") {
				return time.Duration(seconds)*time.Second - idleTimeoutMargin
			}
		}
	}
	return defaultMaxIdle
}

// newRequest returns the HTTP request for an attempt, without the header fields
// that net/http adds by default.
func newRequest(a *vanillabarrow.Attempt, address string, protocol vanillabarrow.TargetProtocol) (*http.Request, error) {
	request, err := message.NewRequest(context.Background(), address, a.Request)
	if err != nil {
		return nil, err
	}
	protocol.EncodeRequest(vanillabarrow.Header(request.Header), a, time.Now())
	if _, ok := request.Header["User-Agent"]; !ok {
		// net/http adds its own value unless the field is present and empty.
		request.Header["User-Agent"] = []string{""}
	}
	if len(a.Request.Body) == 0 && a.Request.Stream == nil {
		request.Body, request.ContentLength = nil, 0
	}
	return request, nil
}
