package pipeline

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/vanillabarrow/vanillabarrow/internal/logging"
)

// minBuffer is the size of one read. Two of them take nothing from the budget, so that
// the bytes that net/http waits for can always be read.
const minBuffer = 4 << 10

var readBuffers = sync.Pool{New: func() any { return new([minBuffer]byte) }}

// startReading lets loopReadAhead read the socket.
func (c *conn) startReading() {
	if c.reading || c.closed || c.http2.Load() {
		return
	}
	c.reading = true
	if len(c.buf) > 0 {
		c.arrivals = c.arrivals.add(c.base+int64(len(c.buf)), time.Now())
	}
	// A deadline of Read does not end loopReadAhead.
	_ = c.Conn.SetReadDeadline(time.Time{})
	c.startTimer()
	go c.loopReadAhead()
}

// loopReadAhead reads the socket until it fails or the caller closes the connection.
func (c *conn) loopReadAhead() {
	c.startReady()
	p := readBuffers.Get().(*[minBuffer]byte)
	defer readBuffers.Put(p)
	for {
		if !c.awaitSpace() {
			return
		}
		n, err := c.Conn.Read(p[:])
		c.mu.Lock()
		if n > 0 {
			c.buf = append(c.buf, p[:n]...)
			c.arrivals = c.arrivals.add(c.base+int64(len(c.buf)), time.Now())
		}
		if errors.Is(err, os.ErrDeadlineExceeded) && !c.closed {
			// A wake-up of watch that came late.
			err = c.Conn.SetReadDeadline(time.Time{})
		}
		c.err = err
		c.changed.Broadcast()
		c.mu.Unlock()
		if err != nil {
			c.cancel()
			return
		}
		c.startReady()
	}
}

// hasSpace reports whether one more read fits into the buffer, and reserves memory
// for it.
func (c *conn) hasSpace() bool {
	size := len(c.buf) + minBuffer
	if size <= 2*minBuffer {
		return true
	}
	if size > c.l.MaxBytes {
		return false
	}
	need := int64(size) - c.reserved
	if need <= 0 {
		return true
	}
	if !c.l.reserve(need) {
		return false
	}
	c.reserved += need
	return true
}

// awaitSpace waits until more bytes may be read ahead. It cancels the requests of the
// connection if the caller closes it meanwhile. It returns false when the connection
// is closed.
func (c *conn) awaitSpace() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	counted := false
	for !c.closed && !c.hasSpace() {
		// A body that arrives faster than it is read is not read ahead.
		if !counted && c.bodyLeft == 0 {
			counted = true
			c.countBound("bytes")
		}
		raw := c.rawConn()
		if raw == nil || c.ctx.Err() != nil {
			c.changed.Wait()
			continue
		}
		c.watching = true
		c.mu.Unlock()
		gone := false
		// The function is called once, and again after each event of the socket, not
		// as long as there are unread bytes.
		err := raw.Read(func(fd uintptr) bool {
			gone = isPeerClosed(int(fd))
			return gone
		})
		if gone || err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			c.cancel()
		}
		c.mu.Lock()
		c.watching = false
		if !c.closed {
			_ = c.Conn.SetReadDeadline(time.Time{})
		}
	}
	return !c.closed
}

// resume ends the wait for space.
func (c *conn) resume() {
	if c.watching {
		_ = c.Conn.SetReadDeadline(aLongTimeAgo)
	}
	c.changed.Broadcast()
}

// countBound counts and logs that no more may be read or started ahead.
func (c *conn) countBound(reason string) {
	c.l.bound.Inc(1)
	c.l.Logger.Info(logging.EventReadAheadBound, "reason", reason, "client", c.RemoteAddr().String(),
		"requests", len(c.queue), "bytes", len(c.buf), "responseBytes", c.responseBytes)
}

// rawConn returns access to the socket, nil if there is none.
func (c *conn) rawConn() syscall.RawConn {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// isPeerClosed reports whether the peer has closed or reset the connection, also
// while received bytes are unread.
func isPeerClosed(fd int) bool {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(fds, 0)
	return err == nil && n > 0
}

var _ net.Conn = (*conn)(nil)
