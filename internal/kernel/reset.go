package kernel

import (
	"context"
	"net"
)

// DialFunc opens a connection, like net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// DialResetOnClose wraps a dial function so that its connections are reset when
// they are closed. An abandoned request may still be unread in the receive
// buffer of the other side: after an orderly close the other side would read
// and run it.
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

// ResetOnClose sets SO_LINGER to 0, so that closing the connection sends a TCP
// reset. It does nothing for connections without SetLinger.
func ResetOnClose(conn net.Conn) error {
	c, ok := conn.(interface{ SetLinger(sec int) error })
	if !ok {
		return nil
	}
	return c.SetLinger(0)
}

// ResetConnOnClose makes the close of the connection on which a request of HTTP/1 arrived
// send a TCP reset.
func ResetConnOnClose(ctx context.Context) error {
	conn, ok := ctx.Value(connKey{}).(net.Conn)
	if !ok {
		return nil
	}
	return ResetOnClose(conn)
}
