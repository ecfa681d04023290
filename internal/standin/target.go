package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// RunIDHeader is the header field with the id under which a target counts the
// runs of a request.
const RunIDHeader = "Run-Id"

// TargetConfig configures a simulated target.
type TargetConfig struct {
	Name string
	// Slots is the number of requests that the target runs concurrently.
	Slots int
	// Connections is the number of connections that the target accepts.
	Connections int
	// ConnectDelay is the delay of the first response on a new connection.
	ConnectDelay time.Duration
	// ServiceTime is the time for which a request occupies a slot.
	ServiceTime time.Duration
	// ColdSlots is the capacity of the target after a start, in concurrent
	// requests. If it is 0, the target is warm from the start and never
	// collapses.
	ColdSlots int
	// ResponsesPerWarmSlot is the number of ended requests after which the
	// capacity of a cold target grows by one slot.
	ResponsesPerWarmSlot int
	// CollapseDuration is the time for which the target is down after more than
	// twice its capacity was in flight. It aborts the connections of requests
	// that arrive in this time.
	CollapseDuration time.Duration
}

// Target simulates one target. It counts how often it ran each request.
type Target struct {
	cfg         TargetConfig
	connections atomic.Int64
	refused     atomic.Uint64
	collapses   atomic.Uint64

	mu sync.Mutex
	// served counts the requests that ended since the last start, collapse or
	// call of ResetWarmUp.
	served       int
	inFlight     int
	peakInFlight int
	downUntil    time.Time
	// runs counts runs by request id.
	runs map[string]int
	// slots holds one element for each occupied slot.
	slots chan struct{}
}

// NewTarget returns a Target that has just started.
func NewTarget(cfg TargetConfig) *Target {
	return &Target{cfg: cfg, runs: map[string]int{}, slots: make(chan struct{}, cfg.Slots)}
}

// ResetWarmUp makes the target cold again, as after a restart.
func (t *Target) ResetWarmUp() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.served = 0
}

// Runs returns the number of runs of each request by its id.
func (t *Target) Runs() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	runs := make(map[string]int, len(t.runs))
	for id, n := range t.runs {
		runs[id] = n
	}
	return runs
}

// TargetStats holds the counts of a target.
type TargetStats struct {
	Name string `json:"name"`
	// Served counts the requests that ended since the last start, collapse or
	// call of ResetWarmUp.
	Served int `json:"served"`
	// Peak is the highest number of requests in flight.
	Peak               int    `json:"peak"`
	Collapses          uint64 `json:"collapses"`
	RefusedConnections uint64 `json:"refusedConnections"`
}

// Stats returns the target's counts.
func (t *Target) Stats() TargetStats {
	t.mu.Lock()
	defer t.mu.Unlock()
	return TargetStats{
		Name:               t.cfg.Name,
		Served:             t.served,
		Peak:               t.peakInFlight,
		Collapses:          t.collapses.Load(),
		RefusedConnections: t.refused.Load(),
	}
}

// Capacity returns the number of concurrent requests that the target has the
// capacity for, which grows while it warms up.
func (t *Target) Capacity() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.capacity()
}

func (t *Target) capacity() int {
	if t.cfg.ColdSlots == 0 {
		return t.cfg.Slots
	}
	return min(t.cfg.Slots, t.cfg.ColdSlots+t.served/max(1, t.cfg.ResponsesPerWarmSlot))
}

// Server returns an HTTP server that serves the target's requests and limits
// its connections.
func (t *Target) Server() *http.Server {
	return &http.Server{
		Handler:           http.HandlerFunc(t.serve),
		ReadHeaderTimeout: 10 * time.Second,
		ConnState:         t.connState,
		ConnContext:       newConnContext,
	}
}

// connKey is the key of the context value of a connection, an *atomic.Bool that
// is set once the connection has had a request.
type connKey struct{}

func newConnContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, new(atomic.Bool))
}

// delayFirst waits for ConnectDelay if the context's connection has had no
// request before.
func (t *Target) delayFirst(ctx context.Context) {
	used, ok := ctx.Value(connKey{}).(*atomic.Bool)
	if t.cfg.ConnectDelay == 0 || !ok || used.Swap(true) {
		return
	}
	timer := time.NewTimer(t.cfg.ConnectDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// connState closes new connections above the limit.
func (t *Target) connState(c net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		if t.connections.Add(1) > int64(t.cfg.Connections) {
			t.refused.Add(1)
			_ = c.Close()
		}
	case http.StateClosed, http.StateHijacked:
		t.connections.Add(-1)
	}
}

// Response is the JSON body of a target's responses, which describes the
// request.
type Response struct {
	Target string `json:"target"`
	// RunID is the value of RunIDHeader.
	RunID  string `json:"run"`
	Method string `json:"method"`
	Path   string `json:"path"`
	// Bytes is the size of the request body.
	Bytes int64 `json:"bytes"`
}

func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	t.delayFirst(r.Context())
	if r.URL.Path == "/health" {
		// The health check succeeds also during an overload or a cold start, so
		// a node can't infer the capacity from it.
		_, _ = fmt.Fprintln(w, "ok")
		return
	}
	if !t.admit() {
		panic(http.ErrAbortHandler)
	}
	defer t.finish()
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	select {
	case t.slots <- struct{}{}:
		defer func() { <-t.slots }()
	case <-r.Context().Done():
		return
	}
	id := r.Header.Get(RunIDHeader)
	t.recordRun(id)
	timer := time.NewTimer(t.cfg.ServiceTime)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Response{
		Target: t.cfg.Name,
		RunID:  id,
		Method: r.Method,
		Path:   r.URL.RequestURI(),
		Bytes:  n,
	})
}

// admit adds a request to those in flight. It returns false if the target is
// down or collapses under the request.
func (t *Target) admit() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if now.Before(t.downUntil) {
		return false
	}
	t.inFlight++
	t.peakInFlight = max(t.peakInFlight, t.inFlight)
	if t.cfg.ColdSlots > 0 && t.inFlight > 2*t.capacity() {
		t.inFlight--
		t.served = 0
		t.downUntil = now.Add(t.cfg.CollapseDuration)
		t.collapses.Add(1)
		return false
	}
	return true
}

func (t *Target) finish() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight--
	t.served++
}

func (t *Target) recordRun(id string) {
	if id == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs[id]++
}
