// Package standin simulates the platform's configuration service and the
// targets, for tests, measurements and the demo. It also describes the
// deployments that they run.
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
	// ReadsPerSecond is the rate limit of the platform for the reads of all
	// nodes together.
	ReadsPerSecond = 2000
	valuesPath     = "/v1/values/"
	adminPath      = "/admin/"
	// maxWait bounds the wait time of a watch.
	maxWait = 60 * time.Second
	// maxValueBytes bounds a value that is published over HTTP.
	maxValueBytes = 1 << 20
)

// Faults selects the faults that the simulated platform injects into reads.
type Faults struct {
	// Down makes every read fail with status 503.
	Down bool `json:"down"`
	// Frozen makes reads return the values as they were when it was set.
	Frozen bool `json:"frozen"`
	// AlternateStale makes every second read return the value before the
	// newest.
	AlternateStale bool `json:"crossed"`
	// Hang keeps watches open without a response until the client ends them.
	Hang bool `json:"hang"`
	// DelayMillis delays each read, in milliseconds.
	DelayMillis int `json:"delay"`
	// DisconnectedDataCentres lists the data centres whose reads end without a
	// response.
	DisconnectedDataCentres []string `json:"cut"`
}

type value struct {
	revision uint64
	bytes    []byte
}

// Platform simulates the configuration service. Operators call Publish, or use
// the handler's /admin/ paths; nodes read and watch values by key.
type Platform struct {
	limiter *rate.Limiter
	reads   atomic.Uint64
	refused atomic.Uint64
	// alternateReads counts the lookups made while AlternateStale is set. Every
	// second one returns the value before the newest.
	alternateReads atomic.Uint64

	mu       sync.Mutex
	revision uint64
	// values holds the newest value of each key and the one before it, oldest
	// first.
	values map[string][]value
	// frozen holds the values to read while Faults.Frozen is set.
	frozen map[string]value
	// changed is closed and replaced when a value or the faults change.
	changed chan struct{}
	faults  Faults
}

// NewPlatform returns a Platform without values or faults.
func NewPlatform() *Platform {
	return &Platform{
		limiter: rate.NewLimiter(ReadsPerSecond, ReadsPerSecond),
		values:  map[string][]value{},
		changed: make(chan struct{}),
	}
}

// Publish sets the value of a key and returns its revision. Revisions increase
// over all keys.
func (p *Platform) Publish(key string, b []byte) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	history := append(p.values[key], value{p.revision, b})
	// AlternateStale needs the previous value too.
	p.values[key] = history[max(0, len(history)-2):]
	close(p.changed)
	p.changed = make(chan struct{})
	return p.revision
}

// PublishIfAbsent sets the value of a key that has none. It is meant for parts
// of a configuration: their keys hold the digest, so their values never change.
func (p *Platform) PublishIfAbsent(key string, b []byte) {
	p.mu.Lock()
	_, ok := p.values[key]
	p.mu.Unlock()
	if !ok {
		p.Publish(key, b)
	}
}

// SetFaults replaces the faults, also for watches that are open.
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

// PlatformStats counts reads since the start.
type PlatformStats struct {
	Reads uint64 `json:"reads"`
	// Refused counts the reads above the rate limit.
	Refused uint64 `json:"refused"`
}

// Stats returns the counts. A watch counts as one read.
func (p *Platform) Stats() PlatformStats {
	return PlatformStats{Reads: p.reads.Load(), Refused: p.refused.Load()}
}

// Handler returns the platform's HTTP API.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+valuesPath, p.read)
	mux.HandleFunc("PUT "+adminPath+"values/", p.adminPublish)
	mux.HandleFunc("PUT "+adminPath+"faults", p.adminFaults)
	mux.HandleFunc("GET "+adminPath+"stats", p.adminStats)
	return mux
}

// read serves a read, or a watch if the query has a wait time. A watch responds
// when the revision is greater than "after", or with status 204 after the wait
// time.
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
		v, ok, changed, faults := p.lookup(key)
		if !p.applyFaults(w, r, faults) {
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

// lookup returns the value to read for a key, whether there is one, the channel
// that is closed at the next change, and the faults.
func (p *Platform) lookup(key string) (value, bool, <-chan struct{}, Faults) {
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
	if p.faults.AlternateStale && p.alternateReads.Add(1)%2 == 0 {
		v = history[0]
	}
	return v, true, p.changed, p.faults
}

// applyFaults applies the faults that delay or fail a read. It returns false if
// the read has ended.
func (p *Platform) applyFaults(w http.ResponseWriter, r *http.Request, f Faults) bool {
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
	dataCentre := r.Header.Get("From-Data-Centre")
	for _, dc := range f.DisconnectedDataCentres {
		if dc == dataCentre {
			// The client sees a closed connection, as after a network failure.
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
