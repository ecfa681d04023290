package pipeline

import (
	"net/http"
	"time"
)

// front is the request that net/http serves.
type front struct {
	active               bool
	method, host, target string
	// checked is set once the request is known to be idempotent. That is determined
	// when the first request behind it arrives.
	checked bool
	// startedAhead is set if it is the first request of the queue.
	startedAhead bool
	// bodyRead is set when net/http has read the whole body.
	bodyRead bool
}

// StartedAhead implements kernel.AheadConn.
func (c *conn) StartedAhead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.front.active && len(c.queue) > 0
}

// begin is called when net/http calls the handler. It returns the state of the
// request if it was started ahead, and the time of its arrival if it waited.
func (c *conn) begin(r *http.Request) (*ahead, time.Time) {
	started, arrived, more := c.setFront(r)
	if more {
		c.startReady()
	}
	return started, arrived
}

// setFront sets the request that net/http serves. It also returns whether requests
// behind it may have arrived.
func (c *conn) setFront(r *http.Request) (started *ahead, arrived time.Time, more bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.front = front{active: true, method: r.Method, host: r.Host, target: r.RequestURI}
	headEnd := c.headEnd
	c.bodyLeft = max(0, r.ContentLength)
	if len(c.queue) > 0 {
		if a := c.queue[0]; a.headEnd == headEnd {
			c.front.checked, c.front.startedAhead = true, true
			c.releaseCost(a)
			return a, time.Time{}, c.next != unknown
		}
		c.dropQueue()
	}
	if headEnd != unknown && len(c.arrivals) > 0 {
		arrived = c.arrivals.find(headEnd)
		c.arrivals = c.arrivals.dropBefore(headEnd)
	}
	c.generation++
	c.waitCounted = false
	c.next = unknown
	if headEnd != unknown && r.ContentLength >= 0 && r.ProtoAtLeast(1, 1) && !r.Close {
		c.next = headEnd + r.ContentLength
	}
	c.front.bodyRead = r.ContentLength == 0
	if c.front.bodyRead && (c.undelivered() > 0 || headEnd != unknown && c.delivered > headEnd) {
		c.startReading()
	}
	if c.reading {
		c.compact()
	}
	return nil, arrived, c.reading && c.front.bodyRead && c.next != unknown
}

// dropQueue cancels the requests started ahead, because the connection closes or
// net/http did not read the first of them as it was parsed here.
func (c *conn) dropQueue() {
	for _, a := range c.queue {
		a.dropped = true
		a.cancel()
		if a.ended {
			c.dropResponse(a)
			c.l.release()
		}
	}
	c.queue = nil
}

// end is called when the handler has returned.
func (c *conn) end(started *ahead) {
	c.mu.Lock()
	c.front.active = false
	if started != nil && len(c.queue) > 0 && c.queue[0] == started {
		c.queue = c.queue[1:]
		c.l.release()
	}
	if len(c.queue) == 0 {
		c.next, c.headEnd = unknown, unknown
		c.generation++
		c.compact()
	}
	more := c.next != unknown
	c.mu.Unlock()
	if more {
		c.startReady()
	}
}
