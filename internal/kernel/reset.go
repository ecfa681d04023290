package kernel

import (
	"context"
	"net"
)

// DialFunc sets up a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// DialResetOnClose returns a dial whose connections are reset when they are closed.
// A request that is given up may still wait, unread, in the other side's socket:
// after an orderly close it would be read and run.
func DialResetOnClose(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if err := ResetOnClose(conn); err != nil {
			_ = conn.Close()
			return nil, err
		}
		return conn, nil
	}
}

// ResetOnClose makes a later close of the connection reset it.
func ResetOnClose(conn net.Conn) error {
	c, ok := conn.(interface{ SetLinger(sec int) error })
	if !ok {
		return nil
	}
	return c.SetLinger(0)
}
