package kernel

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
)

// SharedConn is a connection that one goroutine reads while one other writes. The
// operating system reports the failure of a connection once, to the first read or
// write after it. If that is the write, the read gets io.EOF, as if the other side
// had ended the connection in an orderly way. Read returns the failure also then.
type SharedConn struct {
	net.Conn
	// raw gives access to the socket. Without it, Write is that of the connection.
	raw syscall.RawConn
	// unwritten and writeErr are the state of a Write, and writeSocket is the method
	// writeUnwritten, which is stored so that a Write does not allocate it.
	unwritten   []byte
	writeErr    error
	writeSocket func(fd uintptr) bool
	// mu is held from the start of each system call that writes until its error is
	// in failure, but not while the writer waits for room in the socket's buffer. A
	// read that got io.EOF thus sees the error of the write that took it.
	mu      *Mutex
	failure error
}

// NewSharedConn returns a SharedConn of a connection, which has to be read and written
// through it from then on.
func NewSharedConn(conn net.Conn) *SharedConn {
	c := &SharedConn{Conn: conn, mu: NewMutex(RankSharedConn)}
	c.writeSocket = c.writeUnwritten
	if s, ok := conn.(syscall.Conn); ok {
		// Without an error, raw is not nil.
		c.raw, _ = s.SyscallConn()
	}
	return c
}

// DialShared wraps a dial function so that its connections are SharedConns.
func DialShared(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewSharedConn(conn), nil
	}
}

// Read implements net.Conn.
func (c *SharedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if failure := c.writeFailure(); failure != nil {
		return n, failure
	}
	return n, err
}

// writeFailure returns the failure of the connection that a write took, nil if there
// is none. EPIPE is none: a write gets it first only if the other side had ended the
// connection before it was reset, so that all that was sent has arrived.
func (c *SharedConn) writeFailure() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if errors.Is(c.failure, syscall.EPIPE) {
		return nil
	}
	return c.failure
}

// Write implements net.Conn.
func (c *SharedConn) Write(p []byte) (int, error) {
	if c.raw == nil {
		return c.Conn.Write(p)
	}
	c.unwritten, c.writeErr = p, nil
	err := c.raw.Write(c.writeSocket)
	n := len(p) - len(c.unwritten)
	c.unwritten = nil
	if err == nil && c.writeErr != nil {
		err = &net.OpError{Op: "write", Net: c.LocalAddr().Network(), Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: c.writeErr}
	}
	return n, err
}

// writeUnwritten writes until all is written, a write fails or the socket's buffer is
// full. It returns false in the last case.
func (c *SharedConn) writeUnwritten(fd uintptr) bool {
	for len(c.unwritten) > 0 {
		n, err := c.writeOnce(int(fd))
		switch err {
		case nil:
			c.unwritten = c.unwritten[n:]
		case syscall.EINTR:
		case syscall.EAGAIN:
			return false
		default:
			c.writeErr = err
			return true
		}
	}
	return true
}

// writeOnce makes one system call and notes the failure of the connection.
func (c *SharedConn) writeOnce(fd int) (int, error) {
	c.mu.Lock()
	n, err := syscall.Write(fd, c.unwritten)
	if err != nil && err != syscall.EINTR && err != syscall.EAGAIN {
		c.failure = err
	}
	c.mu.Unlock()
	return n, err
}
