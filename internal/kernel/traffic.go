package kernel

import (
	"context"
	"net"
	"sync/atomic"
)

// Traffic counts the bytes of outgoing control connections. Only the side that
// opens a connection counts it.
type Traffic struct {
	received atomic.Uint64
	sent     atomic.Uint64
}

// NewTraffic returns a counter at zero.
func NewTraffic() *Traffic { return &Traffic{} }

// Bytes returns the bytes received and sent so far.
func (t *Traffic) Bytes() (received, sent uint64) {
	return t.received.Load(), t.sent.Load()
}

// Dial returns a dial function for a transport whose connections are counted.
func (t *Traffic) Dial(dialer *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: c, traffic: t}, nil
	}
}

type countingConn struct {
	net.Conn
	traffic *Traffic
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.received.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.sent.Add(uint64(n))
	return n, err
}
