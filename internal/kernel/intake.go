package kernel

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// ConnCost is the memory of an open connection in bytes: its goroutine, its read
	// and write buffers, and its structures.
	ConnCost = 10 << 10
	// LineCost is the memory of a header line in bytes in addition to its text: the
	// map entry, the slice and the strings of its name and value. Up to 116 bytes stay
	// in use and up to 195 are allocated, see TestLineCost.
	LineCost = 200
	// handlerCopies is how often a header is held while its request is handled: as it
	// was received, and as it is sent on.
	handlerCopies = 2
	// bodyBuffer is the part of a body in bytes that is held whatever its size.
	bodyBuffer = 64 << 10
	// SmallCost is the largest cost of a connection that may use the whole budget. The
	// last quarter of the budget is left to such connections, so that large heads do
	// not displace ordinary ones.
	SmallCost = 64 << 10
	// IdleReuse is the time after which no client is expected to use an idle
	// connection again: the idle timeout of the users' deployments, of which clients
	// use four fifths.
	IdleReuse = 15 * time.Second
	// stallTime is the time for which a read of a body may wait before the connection
	// may be closed in favour of others: the header timeout of the users' deployments.
	stallTime = 3 * time.Second
)

// IntakeState is what a connection is used for.
type IntakeState int

// States of a connection.
const (
	// IntakeHead is the time until a head is complete, idle time included.
	IntakeHead IntakeState = iota
	// IntakeBody is the time from the start of the handler to the end of the body.
	IntakeBody
	// IntakeHandled is the time from the end of the body to the end of the response.
	IntakeHandled
)

// IntakeEntry is one connection in the table.
type IntakeEntry struct {
	State IntakeState
	// Cost is the memory that is reserved for the connection, in bytes.
	Cost int64
	// Received is the number of bytes of the current head, or those of the body that
	// were charged.
	Received int64
	// Served is the number of requests that were handled on the connection.
	Served int
	// Multiplexed is set for HTTP/2, where requests overlap, and Active is the number
	// of its requests that are handled.
	Multiplexed bool
	Active      int
	// LastActive is the time of the accept, of the last byte received or sent, or of
	// the end of the last request.
	LastActive time.Time
	// ReadSince and WriteSince are the times since which a read or a write waits for
	// the client, zero if none does.
	ReadSince, WriteSince time.Time
	// Close closes the connection. It is called without the lock of the table.
	Close func()

	closed bool
}

// IntakeStats counts what the limits did.
type IntakeStats struct {
	Connections int
	MemoryBytes int64
	// RefusedConnections and RefusedRequests were refused as not run, and
	// ClosedConnections were closed in favour of others.
	RefusedConnections, RefusedRequests, ClosedConnections uint64
}

// Intake decides which clients may hold connections and memory. It does no I/O. It
// implements vanillabarrow.MemoryBudget.
type Intake struct {
	limits  IntakeLimits
	mu      *Mutex
	entries map[*IntakeEntry]bool
	used    int64

	refusedConnections, refusedRequests, closedConnections atomic.Uint64
}

// NewIntake returns an empty table.
func NewIntake(limits IntakeLimits) *Intake {
	return &Intake{limits: limits, mu: NewMutex(RankConnections), entries: map[*IntakeEntry]bool{}}
}

// Stats returns the counts.
func (t *Intake) Stats() IntakeStats {
	t.mu.Lock()
	defer t.mu.Unlock()
	return IntakeStats{
		Connections: len(t.entries), MemoryBytes: t.used, RefusedConnections: t.refusedConnections.Load(),
		RefusedRequests: t.refusedRequests.Load(), ClosedConnections: t.closedConnections.Load(),
	}
}

// Reserve implements vanillabarrow.MemoryBudget.
func (t *Intake) Reserve(n int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.used+n > t.limits.MemoryBytes-t.limits.MemoryBytes/4 {
		return false
	}
	t.used += n
	return true
}

// Release implements vanillabarrow.MemoryBudget.
func (t *Intake) Release(n int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.used -= n
}

// Add admits a new connection, and closes another one for it if a limit is reached.
// It returns nil if the new connection has to be refused.
func (t *Intake) Add(now time.Time, closeConn func()) *IntakeEntry {
	e := &IntakeEntry{Cost: ConnCost, LastActive: now, Close: closeConn}
	t.mu.Lock()
	var victim *IntakeEntry
	if len(t.entries) >= t.limits.Connections || t.used+ConnCost > t.limits.MemoryBytes {
		victim = t.victim(now, e, intakeRank{class: math.MaxInt})
		if victim == nil {
			t.mu.Unlock()
			t.refusedConnections.Add(1)
			return nil
		}
		t.remove(victim)
	}
	t.entries[e] = true
	t.used += e.Cost
	t.mu.Unlock()
	t.close(victim)
	return e
}

// Remove forgets a connection that has been closed.
func (t *Intake) Remove(e *IntakeEntry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.remove(e)
}

func (t *Intake) remove(e *IntakeEntry) {
	e.closed = true
	if t.entries[e] {
		delete(t.entries, e)
		t.used -= e.Cost
	}
}

func (t *Intake) close(e *IntakeEntry) {
	if e != nil {
		t.closedConnections.Add(1)
		e.Close()
	}
}

// IsInHead reports whether no request of a connection with HTTP/1 is handled.
func (t *Intake) IsInHead(e *IntakeEntry) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return e.State == IntakeHead && !e.Multiplexed
}

// BeginRead marks that a read waits for the client.
func (t *Intake) BeginRead(e *IntakeEntry, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.ReadSince = now
}

// BeginWrite marks that a write waits for the client.
func (t *Intake) BeginWrite(e *IntakeEntry, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.WriteSince = now
}

// EndWrite marks that a write has ended.
func (t *Intake) EndWrite(e *IntakeEntry, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.LastActive, e.WriteSince = now, time.Time{}
}

// Receive charges bytes with a number of line ends to the head of a connection. It
// returns false if the connection has to be refused, whose request has not run.
func (t *Intake) Receive(e *IntakeEntry, n, lines int, now time.Time) bool {
	t.mu.Lock()
	e.LastActive, e.ReadSince = now, time.Time{}
	switch {
	case e.Multiplexed || e.State == IntakeHandled:
		t.mu.Unlock()
		return true
	case e.State == IntakeBody:
		buffered := min(int64(n), bodyBuffer-e.Received)
		e.Received += buffered
		return t.charge(e, buffered, now)
	}
	e.Received += int64(n)
	return t.charge(e, int64(n)+int64(lines)*LineCost, now)
}

// Touch marks that bytes were received that are not charged.
func (t *Intake) Touch(e *IntakeEntry, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.LastActive, e.ReadSince = now, time.Time{}
}

// BeginRequest charges the header of a request for the time of its handler. The
// connection leaves the state IntakeHead. It returns the charge, and false if the
// request has to be refused.
func (t *Intake) BeginRequest(e *IntakeEntry, headerCost int64, hasBody bool, now time.Time) (int64, bool) {
	t.mu.Lock()
	n := headerCost * handlerCopies
	if e.Multiplexed {
		e.Active++
		e.Served++
	} else {
		// What the head was charged is part of it.
		n = max(0, n-(e.Cost-ConnCost))
		e.State = IntakeHandled
		if hasBody {
			e.State, e.Received = IntakeBody, 0
		}
	}
	return n, t.charge(e, n, now)
}

// EndBody marks that the body of the request has been received.
func (t *Intake) EndBody(e *IntakeEntry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e.State == IntakeBody {
		e.State = IntakeHandled
	}
}

// EndRequest returns the charge of a request on a multiplexed connection.
func (t *Intake) EndRequest(e *IntakeEntry, charge int64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.Active--
	e.LastActive = now
	if t.entries[e] {
		e.Cost -= charge
		t.used -= charge
	}
}

// BeginHead returns a connection to the state IntakeHead after a response, and
// returns its charges.
func (t *Intake) BeginHead(e *IntakeEntry, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e.Multiplexed {
		// The server reports an idle connection also before the first request and
		// while handlers of reset streams still run. EndRequest returns their charges.
		if e.Served > 0 {
			e.LastActive = now
		}
		return
	}
	e.State, e.Received, e.LastActive = IntakeHead, 0, now
	e.Served++
	if t.entries[e] {
		t.used -= e.Cost - ConnCost
	}
	e.Cost = ConnCost
}

// SetMultiplexed marks an HTTP/2 connection, whose heads the server bounds itself.
func (t *Intake) SetMultiplexed(e *IntakeEntry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.Multiplexed = true
}

// charge adds to the cost of a connection, and closes others for it if the budget is
// exceeded. It unlocks the table.
func (t *Intake) charge(e *IntakeEntry, n int64, now time.Time) bool {
	if e.closed {
		t.mu.Unlock()
		return false
	}
	if n == 0 {
		// What adds nothing can't exceed the budget, whoever did.
		t.mu.Unlock()
		return true
	}
	limit := t.limits.MemoryBytes
	if e.Cost+n > SmallCost {
		limit -= limit / 4
	}
	e.Cost += n
	t.used += n
	var victims []*IntakeEntry
	for t.used > limit && !e.closed {
		victim := t.victim(now, e, rank(e, now))
		if victim == nil {
			victim = e
		}
		t.remove(victim)
		if victim != e {
			victims = append(victims, victim)
		}
	}
	ok := !e.closed
	t.mu.Unlock()
	for _, victim := range victims {
		t.close(victim)
	}
	if !ok {
		t.refusedRequests.Add(1)
	}
	return ok
}

// victim returns the connection to close for another one, nil if none comes before the
// given rank. See rank for the order.
func (t *Intake) victim(now time.Time, e *IntakeEntry, best intakeRank) *IntakeEntry {
	var victim *IntakeEntry
	for other := range t.entries {
		if other == e {
			continue
		}
		if r := rank(other, now); r.isBefore(best) {
			victim, best = other, r
		}
	}
	return victim
}

// intakeRank is the position of a connection in the order in which connections are
// closed.
type intakeRank struct {
	class int
	cost  int64
	since time.Time
}

// rank orders the connections: first those that have had no request, by cost and
// then by their time without a byte, then requests that wait for a client which sends
// no body or reads no response, heads that follow a request, idle connections that no
// client is expected to use, and HTTP/2 requests without a byte in either direction.
// Other connections are not closed.
func rank(e *IntakeEntry, now time.Time) intakeRank {
	r := intakeRank{class: math.MaxInt, cost: e.Cost, since: e.LastActive}
	waits := func(since time.Time, limit time.Duration) bool { return !since.IsZero() && now.Sub(since) > limit }
	switch {
	case e.Served == 0 && (e.State == IntakeHead || e.Multiplexed):
		r.class = 0
	case e.Multiplexed:
		if now.Sub(e.LastActive) > IdleReuse {
			r.class = 3
			if e.Active > 0 {
				r.class = 4
			}
		}
	case e.State == IntakeBody && waits(e.ReadSince, stallTime), waits(e.WriteSince, IdleReuse):
		r.class = 1
	case e.State == IntakeHead && e.Received > 0:
		r.class = 2
	case e.State == IntakeHead && now.Sub(e.LastActive) > IdleReuse:
		r.class = 3
	}
	return r
}

func (r intakeRank) isBefore(other intakeRank) bool {
	switch {
	case r.class != other.class:
		return r.class < other.class
	case r.class == math.MaxInt:
		return false
	case r.cost != other.cost:
		return r.cost > other.cost
	default:
		return r.since.Before(other.since)
	}
}
