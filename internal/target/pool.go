package target

import (
	"context"
	"net"
	"time"

	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
)

// pool keeps the connections to one address. The last one used is used next,
// so that those not needed become idle and are closed.
type pool struct {
	address string
	dialer  *net.Dialer
	// open bounds the connections.
	open chan struct{}

	mu     *kernel.Mutex
	idle   []*conn
	closed bool
	// dialed counts connections set up.
	dialed uint64
}

func newPool(address string, connections int) *pool {
	return &pool{
		address: address,
		dialer:  &net.Dialer{Timeout: dialTimeout, KeepAlive: -1},
		open:    make(chan struct{}, max(1, connections)),
		mu:      kernel.NewMutex(kernel.RankTargetPool),
	}
}

// get returns an idle connection that still works, or a new one.
func (p *pool) get(ctx context.Context) (*conn, error) {
	if c := p.takeIdle(time.Now()); c != nil {
		return c, nil
	}
	select {
	case p.open <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	c, err := p.dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		<-p.open
		return nil, err
	}
	p.mu.Lock()
	p.dialed++
	p.mu.Unlock()
	return newConn(c), nil
}

// takeIdle returns the last idle connection that still works, nil for none.
func (p *pool) takeIdle(now time.Time) *conn {
	for {
		c := p.popIdle()
		if c == nil || c.fresh(now) {
			return c
		}
		p.discard(c)
	}
}

func (p *pool) popIdle() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	p.idle = p.idle[:n-1]
	return c
}

// put gives back a connection that may stay idle until the given time.
func (p *pool) put(c *conn, usableUntil time.Time) {
	c.usableUntil, c.wrote = usableUntil, false
	p.mu.Lock()
	if !p.closed {
		p.idle = append(p.idle, c)
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	p.discard(c)
}

// discard closes a connection.
func (p *pool) discard(c *conn) {
	_ = c.Close()
	<-p.open
}

// sweep closes connections that have been idle for too long.
func (p *pool) sweep(now time.Time) {
	p.mu.Lock()
	var old []*conn
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.Before(c.usableUntil) {
			kept = append(kept, c)
		} else {
			old = append(old, c)
		}
	}
	p.idle = kept
	p.mu.Unlock()
	for _, c := range old {
		p.discard(c)
	}
}

// close closes idle connections, and those in use once they are given back.
func (p *pool) close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.mu.Unlock()
	for _, c := range idle {
		p.discard(c)
	}
}
