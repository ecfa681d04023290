package kernel

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/vanillabarrow/vanillabarrow/internal/logging"
)

// SetTCPUserTimeout makes the kernel break a connection whose bytes the other side
// does not acknowledge for the time, as in a network partition.
func SetTCPUserTimeout(c syscall.RawConn, d time.Duration) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
	return errors.Join(err, failed)
}

// limitAccepted does the same for a connection that was accepted.
func (s *HTTPServer) limitAccepted(ctx context.Context, conn net.Conn) context.Context {
	if c, ok := conn.(syscall.Conn); ok && s.cfg.TCPUserTimeout > 0 {
		raw, err := c.SyscallConn()
		if err == nil {
			err = SetTCPUserTimeout(raw, s.cfg.TCPUserTimeout)
		}
		if err != nil {
			s.cfg.Logger.Debug(logging.EventConnectionNotLimited, "listener", s.cfg.Name, "error", err)
		}
	}
	return WithConn(ctx, conn)
}
