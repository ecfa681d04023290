package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// RunIDHeader names a request for the account of runs.
const RunIDHeader = "Run-Id"

// TargetConfig sizes a target stand-in.
type TargetConfig struct {
	Name string
	// Slots is the number of requests that the warm target runs at once.
	Slots int
	// Connections is the number of connections that it accepts.
	Connections int
	// ConnectDelay delays the first answer on a new connection.
	ConnectDelay time.Duration
	// ServiceTime is the time of one request in a slot.
	ServiceTime time.Duration
	// ColdSlots is what the target bears after a start, 0 for all its slots.
	ColdSlots int
	// ResponsesPerWarmSlot is the number of answers that add one slot to a cold target.
	ResponsesPerWarmSlot int
	// CollapseDuration is how long the target is down after it was given more than
	// it bears.
	CollapseDuration time.Duration
}

// Target is a stand-in for one back end. It keeps account of what it ran.
type Target struct {
	cfg         TargetConfig
	connections atomic.Int64
	refused     atomic.Uint64
	collapses   atomic.Uint64

	mu       sync.Mutex
	served   int
	inFlight int
	peak     int
	downTill time.Time
	runs     map[string]int
	slots    chan struct{}
}

// NewTarget returns a target that just started.
func NewTarget(cfg TargetConfig) *Target {
	return &Target{cfg: cfg, runs: map[string]int{}, slots: make(chan struct{}, cfg.Slots)}
}

// ResetWarmUp makes the target cold again, as if it had restarted.
func (t *Target) ResetWarmUp() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.served = 0
}

// Runs returns how often each request ran.
func (t *Target) Runs() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]int, len(t.runs))
	for id, n := range t.runs {
		out[id] = n
	}
	return out
}

// TargetStats counts what a target did.
type TargetStats struct {
	Name               string `json:"name"`
	Served             int    `json:"served"`
	Peak               int    `json:"peak"`
	Collapses          uint64 `json:"collapses"`
	RefusedConnections uint64 `json:"refusedConnections"`
}

// Stats returns the counts.
func (t *Target) Stats() TargetStats {
	t.mu.Lock()
	defer t.mu.Unlock()
	return TargetStats{
		Name:               t.cfg.Name,
		Served:             t.served,
		Peak:               t.peak,
		Collapses:          t.collapses.Load(),
		RefusedConnections: t.refused.Load(),
	}
}

// Capacity returns the number of requests that the target bears now.
func (t *Target) Capacity() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.bears()
}

func (t *Target) bears() int {
	if t.cfg.ColdSlots == 0 {
		return t.cfg.Slots
	}
	return min(t.cfg.Slots, t.cfg.ColdSlots+t.served/max(1, t.cfg.ResponsesPerWarmSlot))
}

// Server returns an HTTP server for the target.
func (t *Target) Server() *http.Server {
	return &http.Server{
		Handler:           http.HandlerFunc(t.serve),
		ReadHeaderTimeout: 10 * time.Second,
		ConnState:         t.connState,
	}
}

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

// Response is the body that a target sends.
type Response struct {
	Target string `json:"target"`
	RunID  string `json:"run"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Bytes  int64  `json:"bytes"`
}

func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		// The endpoint misleads: it says nothing of load or of a cold start.
		_, _ = fmt.Fprintln(w, "ok")
		return
	}
	if !t.enter() {
		panic(http.ErrAbortHandler)
	}
	defer t.leave()
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
	t.ran(id)
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

// enter counts a request in. It returns false when the target is down, or
// falls down under it.
func (t *Target) enter() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if now.Before(t.downTill) {
		return false
	}
	t.inFlight++
	t.peak = max(t.peak, t.inFlight)
	if t.cfg.ColdSlots > 0 && t.inFlight > 2*t.bears() {
		t.inFlight--
		t.served = 0
		t.downTill = now.Add(t.cfg.CollapseDuration)
		t.collapses.Add(1)
		return false
	}
	return true
}

func (t *Target) leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight--
	t.served++
}

func (t *Target) ran(id string) {
	if id == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs[id]++
}
