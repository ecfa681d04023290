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

// SetTCPUserTimeout sets TCP_USER_TIMEOUT: the operating system closes the
// connection when sent bytes remain unacknowledged for d, as in a network
// partition.
func SetTCPUserTimeout(c syscall.RawConn, d time.Duration) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
	return errors.Join(err, failed)
}

// connContext sets TCP_USER_TIMEOUT on an accepted connection and stores the
// connection in the context of its requests.
func (s *HTTPServer) connContext(ctx context.Context, conn net.Conn) context.Context {
	if c, ok := conn.(syscall.Conn); ok && s.cfg.TCPUserTimeout > 0 {
		raw, err := c.SyscallConn()
		if err == nil {
			err = SetTCPUserTimeout(raw, s.cfg.TCPUserTimeout)
		}
		if err != nil {
			s.cfg.Logger.Debug(logging.EventTCPUserTimeoutNotSet, "listener", s.cfg.Name, "error", err)
		}
	}
	return WithConn(ctx, conn)
}
