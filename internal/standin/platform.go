// Package standin holds small stand-ins for the platform and for targets. They
// exist for tests, measurements and the demo.
package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// ReadsPerSecond is the rate that the platform allows to all readers.
	ReadsPerSecond = 2000
	valuesPath     = "/v1/values/"
	adminPath      = "/admin/"
	maxWait        = 60 * time.Second
	maxValueBytes  = 1 << 20
)

// Faults says how the platform stand-in misbehaves.
type Faults struct {
	// Down refuses every read.
	Down bool `json:"down"`
	// Frozen makes reads see the values as they were when it was set.
	Frozen bool `json:"frozen"`
	// AlternateStale makes every second read of a key see the value before the
	// newest.
	AlternateStale bool `json:"crossed"`
	// Hang makes watches never return.
	Hang bool `json:"hang"`
	// DelayMillis is added to each read, in milliseconds.
	DelayMillis int `json:"delay"`
	// DisconnectedDataCentres lists data centres whose reads fail.
	DisconnectedDataCentres []string `json:"cut"`
}

type value struct {
	revision uint64
	bytes    []byte
}

// Platform is a stand-in for the configuration service. Publish is the
// operators' side; nodes only read.
type Platform struct {
	limiter *rate.Limiter
	reads   atomic.Uint64
	refused atomic.Uint64
	turn    atomic.Uint64

	mu       sync.Mutex
	revision uint64
	values   map[string][]value
	frozen   map[string]value
	changed  chan struct{}
	faults   Faults
}

// NewPlatform returns a platform without values.
func NewPlatform() *Platform {
	return &Platform{
		limiter: rate.NewLimiter(ReadsPerSecond, ReadsPerSecond),
		values:  map[string][]value{},
		changed: make(chan struct{}),
	}
}

// Publish sets a value and returns its revision.
func (p *Platform) Publish(key string, b []byte) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	history := append(p.values[key], value{p.revision, b})
	// Two values are enough for crossed reads.
	p.values[key] = history[max(0, len(history)-2):]
	close(p.changed)
	p.changed = make(chan struct{})
	return p.revision
}

// PublishIfAbsent sets a value unless the key has one. Parts are named by their
// digest and never change.
func (p *Platform) PublishIfAbsent(key string, b []byte) {
	p.mu.Lock()
	_, ok := p.values[key]
	p.mu.Unlock()
	if !ok {
		p.Publish(key, b)
	}
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f.Frozen && !p.faults.Frozen {
		p.frozen = map[string]value{}
		for key, history := range p.values {
			p.frozen[key] = history[len(history)-1]
		}
	}
	p.faults = f
	close(p.changed)
	p.changed = make(chan struct{})
}

// PlatformStats counts reads.
type PlatformStats struct {
	Reads   uint64 `json:"reads"`
	Refused uint64 `json:"refused"`
}

// Stats returns the counts. A waiting watch is one read.
func (p *Platform) Stats() PlatformStats {
	return PlatformStats{Reads: p.reads.Load(), Refused: p.refused.Load()}
}

// Handler returns the platform's HTTP interface.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+valuesPath, p.read)
	mux.HandleFunc("PUT "+adminPath+"values/", p.adminPublish)
	mux.HandleFunc("PUT "+adminPath+"faults", p.adminFaults)
	mux.HandleFunc("GET "+adminPath+"stats", p.adminStats)
	return mux
}

func (p *Platform) read(w http.ResponseWriter, r *http.Request) {
	p.reads.Add(1)
	if !p.limiter.Allow() {
		p.refused.Add(1)
		http.Error(w, "read rate exceeded", http.StatusTooManyRequests)
		return
	}
	key := strings.TrimPrefix(r.URL.Path, valuesPath)
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	timer := time.NewTimer(min(wait, maxWait))
	defer timer.Stop()
	for {
		v, ok, changed, faults := p.look(key)
		if !p.misbehave(w, r, faults) {
			return
		}
		if ok && (wait == 0 || v.revision > after) {
			w.Header().Set("Revision", strconv.FormatUint(v.revision, 10))
			_, _ = w.Write(v.bytes)
			return
		}
		if wait == 0 {
			http.Error(w, "no such key", http.StatusNotFound)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			w.WriteHeader(http.StatusNoContent)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) look(key string) (value, bool, <-chan struct{}, Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.Frozen {
		v, ok := p.frozen[key]
		return v, ok, p.changed, p.faults
	}
	history := p.values[key]
	if len(history) == 0 {
		return value{}, false, p.changed, p.faults
	}
	v := history[len(history)-1]
	if p.faults.AlternateStale && p.turn.Add(1)%2 == 0 {
		v = history[0]
	}
	return v, true, p.changed, p.faults
}

// misbehave applies the faults. It returns false when the read has ended.
func (p *Platform) misbehave(w http.ResponseWriter, r *http.Request, f Faults) bool {
	if f.Hang && r.URL.Query().Has("wait") {
		<-r.Context().Done()
		return false
	}
	if f.DelayMillis > 0 {
		timer := time.NewTimer(time.Duration(f.DelayMillis) * time.Millisecond)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-r.Context().Done():
			return false
		}
	}
	from := r.Header.Get("From-Data-Centre")
	for _, dc := range f.DisconnectedDataCentres {
		if dc == from {
			// A cut network gives no answer at all.
			panic(http.ErrAbortHandler)
		}
	}
	if f.Down {
		http.Error(w, "platform is down", http.StatusServiceUnavailable)
		return false
	}
	return true
}

func (p *Platform) adminPublish(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(io.LimitReader(r.Body, maxValueBytes+1))
	if err != nil || len(b) > maxValueBytes {
		http.Error(w, "value can't be read or is too large", http.StatusBadRequest)
		return
	}
	revision := p.Publish(strings.TrimPrefix(r.URL.Path, adminPath+"values/"), b)
	_, _ = fmt.Fprintln(w, revision)
}

func (p *Platform) adminFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) adminStats(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(p.Stats())
}
