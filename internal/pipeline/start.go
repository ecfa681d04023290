package pipeline

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
)

// maxAheadLines is the largest number of lines in the head of a request that is started
// ahead. A line takes far more memory than it has bytes, and is parsed before memory is
// reserved for the request. Heads with more lines wait for net/http.
const maxAheadLines = 64

// aheadCost is the memory of a request started ahead apart from its bytes: the
// goroutine's stack, the header map, the buffers of its attempt.
const aheadCost = 16<<10 + 2*maxAheadLines*kernel.LineCost

// candidate is the next request that might be started.
type candidate struct {
	generation int
	request    *http.Request
	headEnd    int64
	end        int64
}

// startReady starts the requests that have arrived completely, in their order, until
// one has to wait.
func (c *conn) startReady() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.parsing {
		c.parseAgain = true
		return
	}
	c.parsing = true
	defer func() { c.parsing = false }()
	for {
		c.parseAgain = false
		next, ok := c.nextCandidate()
		if !ok {
			if c.parseAgain {
				continue
			}
			return
		}
		front, check := c.front, c.front.active && !c.front.checked
		// The configuration has locks of its own.
		c.mu.Unlock()
		overlaps := !check || c.l.IsIdempotent(front.method, front.host, front.target)
		idempotent := overlaps && c.l.IsIdempotent(next.request.Method, next.request.Host, next.request.RequestURI)
		c.mu.Lock()
		if c.generation != next.generation || c.closing || c.closed {
			continue
		}
		c.front.checked = true
		if !idempotent {
			c.block()
			return
		}
		if !c.start(next) {
			return
		}
	}
}

// nextCandidate returns the next request if it has arrived completely and may be
// started as far as the connection is concerned.
func (c *conn) nextCandidate() (candidate, bool) {
	if c.next == unknown || c.closing || c.closed || c.ctx.Err() != nil || c.l.stopping.Load() {
		return candidate{}, false
	}
	if c.front.active && !c.front.bodyRead && len(c.queue) == 0 {
		return candidate{}, false
	}
	if !c.front.active && len(c.queue) == 0 || c.next < c.base {
		return candidate{}, false
	}
	offset := c.next - c.base
	if offset >= int64(len(c.buf)) {
		return candidate{}, false
	}
	rest := c.buf[offset:]
	n, complete := cut(lineEnd, rest)
	if !complete {
		if n > c.l.MaxHeaderBytes {
			c.block()
		}
		return candidate{}, false
	}
	if n > c.l.MaxHeaderBytes {
		c.block()
		return candidate{}, false
	}
	if bytes.Count(rest[:n], []byte{'\n'}) > maxAheadLines {
		c.block()
		return candidate{}, false
	}
	request := parseHead(rest[:n])
	if request == nil {
		c.block()
		return candidate{}, false
	}
	length := int(request.ContentLength)
	if len(rest) < n+length {
		return candidate{}, false
	}
	if length > 0 {
		request.Body = io.NopCloser(bytes.NewReader(bytes.Clone(rest[n : n+length])))
	}
	return candidate{generation: c.generation, request: request, headEnd: c.next + int64(n), end: c.next + int64(n+length)}, true
}

// block keeps the request at next, and those behind it, from being started until
// net/http serves it.
func (c *conn) block() {
	c.l.waiting.Inc(1)
	c.next = unknown
	c.generation++
	c.compact()
}

// start starts a request ahead. It returns false if the bound of the connection or
// of all connections is reached.
func (c *conn) start(next candidate) bool {
	waiting := len(c.queue)
	if c.front.active && c.front.startedAhead {
		waiting--
	}
	if waiting >= c.l.MaxRequests {
		if !c.waitCounted {
			c.waitCounted = true
			c.countBound("requests")
		}
		return false
	}
	cost := next.end - c.next + aheadCost
	if !c.l.reserve(cost) {
		if !c.waitCounted {
			c.waitCounted = true
			c.countBound("memory")
		}
		return false
	}
	if !c.l.admit() {
		c.l.unreserve(cost)
		return false
	}
	if c.remote == "" {
		c.remote = c.RemoteAddr().String()
	}
	a := &ahead{
		conn: c, headEnd: next.headEnd, cost: cost,
		header: http.Header{}, joined: make(chan struct{}), done: make(chan struct{}),
	}
	ctx := context.WithValue(c.ctx, aheadKey{}, a)
	if arrived := c.arrivals.find(next.end); !arrived.IsZero() {
		ctx = withArrival(ctx, arrived)
	}
	a.ctx, a.cancel = context.WithCancel(ctx)
	a.request = next.request.WithContext(a.ctx)
	a.request.RemoteAddr = c.remote
	c.queue = append(c.queue, a)
	c.waitCounted = false
	c.l.started.Inc(1)
	c.next = next.end
	if next.request.Close {
		c.next = unknown
		c.generation++
	}
	c.compact()
	go a.run()
	return true
}
