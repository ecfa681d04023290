package kernel

import (
	"context"
	"net"
	"syscall"
)

// connKey is the context key of the connection on which a request arrived.
type connKey struct{}

// WithConn stores the connection in the context of its requests. Its signature
// is that of http.Server.ConnContext.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// IsClientGone reports whether the client has closed the connection of a
// request. net/http cancels the request's context only after it has read the
// end of the connection. That may be long after the request, if both were in
// the receive buffer while the process was busy or starting.
func IsClientGone(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	conn, ok := ctx.Value(connKey{}).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	gone := false
	// Unlike raw.Read, Control does not block while the server reads the
	// connection.
	err = raw.Control(func(fd uintptr) { gone = isClosed(int(fd)) })
	return err != nil || gone
}

// isClosed reports whether the next read of the socket returns EOF or an error.
func isClosed(fd int) bool {
	var b [1]byte
	n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	if err != nil {
		return err != syscall.EAGAIN && err != syscall.EINTR
	}
	return n == 0
}
