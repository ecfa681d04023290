package kernel

import (
	"context"
	"net"
	"syscall"
)

// connKey is the context key of the connection that a request came over.
type connKey struct{}

// WithConn keeps the connection in the context of its requests. It fits
// http.Server.ConnContext.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// IsClientGone reports whether the sender of a request has closed its
// connection. The server cancels the request's context only once it has read
// the close, which may be a while after the request when both waited in the
// socket of a process that was busy or starting.
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
	// Control does not wait for the server's own read of the connection.
	err = raw.Control(func(fd uintptr) { gone = endsNext(int(fd)) })
	return err != nil || gone
}

// endsNext reports whether the next read of a socket gives its end or an error.
func endsNext(fd int) bool {
	var b [1]byte
	n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	if err != nil {
		return err != syscall.EAGAIN && err != syscall.EINTR
	}
	return n == 0
}
