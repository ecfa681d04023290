package target

import (
	"context"
	"net"
	"slices"
	"time"

	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
)

// pool is a pool of connections to one address. It reuses the most recently
// used connection first, so that surplus connections reach their idle time and
// are closed.
type pool struct {
	address string
	dialer  *net.Dialer
	// semaphore limits the number of open connections. It holds one element for
	// each.
	semaphore chan struct{}

	mu   *kernel.Mutex
	idle []*conn
	// waiters hold the channels of callers that wait for a connection, in the
	// order in which they arrived. Each channel has room for one connection.
	waiters []chan *conn
	closed  bool
	// dialed is the number of connections established.
	dialed uint64
}

func newPool(address string, connections int) *pool {
	return &pool{
		address:   address,
		dialer:    &net.Dialer{Timeout: dialTimeout, KeepAlive: -1},
		semaphore: make(chan struct{}, max(1, connections)),
		mu:        kernel.NewMutex(kernel.RankTargetPool),
	}
}

// get returns a usable idle connection, or dials a new one. If the maximum
// number of connections is open, it waits until one is put back or closed.
func (p *pool) get(ctx context.Context) (*conn, error) {
	for {
		c, returned := p.popIdleOrWait()
		if c == nil {
			select {
			case c = <-returned:
			case p.semaphore <- struct{}{}:
				p.stopWaiting(returned)
				return p.dial(ctx)
			case <-ctx.Done():
				p.stopWaiting(returned)
				return nil, ctx.Err()
			}
		}
		if c.isUsable(time.Now()) {
			return c, nil
		}
		p.discard(c)
	}
}

// getFor returns a connection as get does, but none on which the request was
// refused before.
func (p *pool) getFor(ctx context.Context, requestID string) (*conn, error) {
	for {
		c, err := p.get(ctx)
		if err != nil || !c.refused[requestID] {
			return c, err
		}
		p.discard(c)
	}
}

// getNew dials a new connection. If the maximum number of connections is open,
// it returns one as get does.
func (p *pool) getNew(ctx context.Context) (*conn, error) {
	select {
	case p.semaphore <- struct{}{}:
		return p.dial(ctx)
	default:
		return p.get(ctx)
	}
}

// dial establishes a connection, for which the caller has acquired the semaphore.
func (p *pool) dial(ctx context.Context) (*conn, error) {
	c, err := p.dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		<-p.semaphore
		return nil, err
	}
	p.mu.Lock()
	p.dialed++
	p.mu.Unlock()
	return newConn(c), nil
}

// popIdleOrWait returns the most recently used idle connection. If there is none,
// it adds the caller to the waiters and returns the channel on which the caller
// receives the next connection that is put back.
func (p *pool) popIdleOrWait() (*conn, chan *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		returned := make(chan *conn, 1)
		p.waiters = append(p.waiters, returned)
		return nil, returned
	}
	c := p.idle[n-1]
	p.idle = p.idle[:n-1]
	return c, nil
}

// stopWaiting removes a waiter. A connection that it has received meanwhile is
// returned to the pool.
func (p *pool) stopWaiting(returned chan *conn) {
	p.mu.Lock()
	i := slices.Index(p.waiters, returned)
	if i >= 0 {
		p.waiters = slices.Delete(p.waiters, i, i+1)
	}
	p.mu.Unlock()
	if i < 0 {
		p.release(<-returned)
	}
}

// put returns a connection to the pool, to be used again until the given time.
func (p *pool) put(c *conn, usableUntil time.Time) {
	c.usableUntil = usableUntil
	c.wrote.Store(false)
	p.release(c)
}

// release passes a connection to the first waiter or keeps it as idle. It closes
// the connection if the pool is closed.
func (p *pool) release(c *conn) {
	if !p.keep(c) {
		p.discard(c)
	}
}

func (p *pool) keep(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.waiters) > 0 {
		p.waiters[0] <- c
		p.waiters = p.waiters[1:]
		return true
	}
	if p.closed {
		return false
	}
	p.idle = append(p.idle, c)
	return true
}

// discard closes a connection and lets another be dialed.
func (p *pool) discard(c *conn) {
	_ = c.Close()
	<-p.semaphore
}

// sweep closes connections that have been idle for too long.
func (p *pool) sweep(now time.Time) {
	p.mu.Lock()
	var expired []*conn
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.Before(c.usableUntil) {
			kept = append(kept, c)
		} else {
			expired = append(expired, c)
		}
	}
	p.idle = kept
	p.mu.Unlock()
	for _, c := range expired {
		p.discard(c)
	}
}

// close closes idle connections, and connections in use when they are returned.
func (p *pool) close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.mu.Unlock()
	for _, c := range idle {
		p.discard(c)
	}
}
