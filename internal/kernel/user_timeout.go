package kernel

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/vanillabarrow/vanillabarrow/internal/logging"
)

// SetTCPUserTimeout sets TCP_USER_TIMEOUT: the operating system closes the
// connection when sent bytes remain unacknowledged for d, as in a network
// partition. It also does so when the receiver is alive but its receive window
// stays closed for d. 0 restores the default: bytes are retransmitted for minutes,
// and a receiver that acknowledges may pause for any time.
func SetTCPUserTimeout(c syscall.RawConn, d time.Duration) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
	return errors.Join(err, failed)
}

// SetConnTCPUserTimeout sets the TCP_USER_TIMEOUT of an open connection. It does
// nothing for connections without access to their socket.
func SetConnTCPUserTimeout(conn net.Conn, d time.Duration) error {
	c, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	return SetTCPUserTimeout(raw, d)
}

// DisableTCPUserTimeout restores the operating system's default for the connection
// of an HTTP/1.1 request, so that a client that reads the response slowly is not
// taken for an unreachable one. HTTPServer sets the timeout again for the
// connection's next request.
func DisableTCPUserTimeout(ctx context.Context) error {
	conn, ok := ctx.Value(connKey{}).(net.Conn)
	if !ok {
		return nil
	}
	return SetConnTCPUserTimeout(conn, 0)
}

// connContext sets TCP_USER_TIMEOUT on an accepted connection and stores the
// connection in the context of its requests.
func (s *HTTPServer) connContext(ctx context.Context, conn net.Conn) context.Context {
	ctx = context.WithValue(ctx, serverConnKey{}, conn)
	if c, ok := conn.(*IntakeConn); ok {
		ctx = context.WithValue(ctx, intakeKey{}, c)
		conn = c.Conn
	}
	s.setUserTimeout(conn)
	if wrapped, ok := conn.(WrappedConn); ok {
		return wrapped.Context(WithConn(ctx, wrapped.NetConn()))
	}
	return WithConn(ctx, conn)
}

// connState sets TCP_USER_TIMEOUT again when a request arrives, since the previous
// request may have disabled it. It marks the end of a request for the Intake and
// records the state for a stop, during which idle connections are closed.
func (s *HTTPServer) connState(conn net.Conn, state http.ConnState) {
	if s.conns.set(conn, state) {
		_ = conn.Close()
	}
	if c, ok := conn.(*IntakeConn); ok {
		if state == http.StateIdle {
			c.BeginHead()
		}
		conn = c.Conn
	}
	if state == http.StateActive {
		s.setUserTimeout(conn)
	}
}

func (s *HTTPServer) setUserTimeout(conn net.Conn) {
	if s.cfg.TCPUserTimeout == 0 {
		return
	}
	if wrapped, ok := conn.(WrappedConn); ok {
		conn = wrapped.NetConn()
	}
	if err := SetConnTCPUserTimeout(conn, s.cfg.TCPUserTimeout); err != nil {
		s.cfg.Logger.Debug(logging.EventTCPUserTimeoutNotSet, "listener", s.cfg.Name, "error", err)
	}
}
