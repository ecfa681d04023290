package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxWatchWait bounds the wait of a watch.
const maxWatchWait = 30 * time.Second

// storeItem is an item, or the tombstone of a removed one.
type storeItem struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created,omitempty"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// tombstone is the encoding of an event that reports a removal.
type tombstone struct {
	Key       string `json:"key"`
	Revision  uint64 `json:"revision"`
	Tombstone bool   `json:"tombstone"`
}

// store is a stand-in of the platform's store. Each node reads it through a
// listener of its own, so that a test sees and controls the calls of one node.
type store struct {
	record *record

	mu       sync.Mutex
	revision uint64
	items    map[string]storeItem
	history  []storeItem
	changed  chan struct{}
	fronts   []*front
}

// front is the listener through which one node reads the store.
type front struct {
	store    *store
	node     string
	server   *http.Server
	listener net.Listener
	// proxy stands between the node and the listener.
	proxy *proxy

	mu sync.Mutex
	// waiting is the number of watches that wait, the last of which began at
	// waitingSince.
	waiting      int
	waitingSince time.Time
	// cutWatches is closed and replaced when the waiting watches are cut.
	cutWatches chan struct{}
}

func newStore(r *record) *store {
	return &store{record: r, items: map[string]storeItem{}, changed: make(chan struct{})}
}

// newFront opens a listener for the calls of a node on a loopback address.
func (s *store) newFront(node, ip string) (*front, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	f := &front{store: s, node: node, listener: l, cutWatches: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", f.key)
	mux.HandleFunc("GET /kv-range", f.list)
	mux.HandleFunc("GET /kv-watch", f.watch)
	f.server = &http.Server{Handler: mux}
	if f.proxy, err = newProxy(l.Addr().String()); err != nil {
		return nil, err
	}
	go f.run()
	s.fronts = append(s.fronts, f)
	return f, nil
}

func (f *front) run() { _ = f.server.Serve(f.listener) }

func (f *front) url() string { return "http://" + f.proxy.listener.Addr().String() }

func (s *store) close() {
	for _, f := range s.fronts {
		f.proxy.close()
		_ = f.server.Close()
	}
}

// put writes an item and returns its revision. The write is acknowledged when
// put returns.
func (s *store) put(key string, value any) uint64 {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	item := storeItem{Key: key, Value: b, Revision: s.revision, Created: s.revision}
	if old, ok := s.items[key]; ok {
		item.Created = old.Created
	}
	s.items[key] = item
	s.add(item)
	return s.revision
}

// remove removes an item and returns the revision of the removal.
func (s *store) remove(key string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.items, key)
	s.add(storeItem{Key: key, Revision: s.revision, Tombstone: true})
	return s.revision
}

func (s *store) add(item storeItem) {
	s.history = append(s.history, item)
	close(s.changed)
	s.changed = make(chan struct{})
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func (f *front) key(w http.ResponseWriter, r *http.Request) {
	s := f.store
	s.mu.Lock()
	item, ok := s.items[r.URL.Query().Get("key")]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	writeJSON(w, struct {
		storeItem
		Current uint64 `json:"current_rev"`
	}{item, revision})
}

// pageItems is the number of items of a page.
const pageItems = 500

func (f *front) list(w http.ResponseWriter, r *http.Request) {
	s := f.store
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	var items []storeItem
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, item)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > pageItems
	if more {
		items = items[:pageItems]
	}
	writeJSON(w, map[string]any{"items": items, "has_more": more, "current_rev": revision})
}

// events returns the changes after a revision, the store's revision, and a
// channel that is closed at the next change.
func (s *store) events(prefix string, after uint64) ([]any, uint64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var events []any
	for _, item := range s.history {
		switch {
		case item.Revision <= after || !strings.HasPrefix(item.Key, prefix):
		case item.Tombstone:
			events = append(events, tombstone{item.Key, item.Revision, true})
		default:
			events = append(events, item)
		}
	}
	return events, s.revision, s.changed
}

func (f *front) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	ms, _ := strconv.Atoi(query.Get("wait_ms"))
	timer := time.NewTimer(min(time.Duration(ms)*time.Millisecond, maxWatchWait))
	defer timer.Stop()
	cut := f.beginWatch()
	defer f.endWatch()
	for {
		events, revision, changed := f.store.events(query.Get("prefix"), after)
		if len(events) > 0 {
			writeJSON(w, map[string]any{"events": events, "current_rev": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeJSON(w, map[string]any{"events": []any{}, "current_rev": revision})
			return
		case <-cut:
			// The connection ends without a response.
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

// beginWatch counts a waiting watch.
func (f *front) beginWatch() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.waiting++
	f.waitingSince = time.Now()
	return f.cutWatches
}

func (f *front) endWatch() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.waiting--
}

// isWatching reports whether the node has a watch that waits.
func (f *front) isWatching() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.waiting > 0
}

// hasWaited reports whether a watch has waited for some time.
func (f *front) hasWaited(d time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.waiting > 0 && time.Since(f.waitingSince) > d
}

// watchesSince reports whether a watch waits that began after a time.
func (f *front) watchesSince(t time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.waiting > 0 && f.waitingSince.After(t)
}

// cut cuts the watches that wait.
func (f *front) cut() {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.cutWatches)
	f.cutWatches = make(chan struct{})
}
