package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxPageItems is the number of items of one page of a list.
const maxPageItems = 500

// item is an item of the store, or the tombstone of a removed one.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created,omitempty"`
	Lease     uint64 `json:"lease,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is the platform's metadata store. It serves the read calls of the pages.
type store struct {
	address string

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	changed  chan struct{}
}

// newStore starts a store at an address.
func newStore(address string) (*store, error) {
	s := &store{address: address, revision: 10, items: map[string]item{}, changed: make(chan struct{})}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.serveKey)
	mux.HandleFunc("GET /kv-range", s.serveRange)
	mux.HandleFunc("GET /kv-watch", s.serveWatch)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(listener) }()
	return s, nil
}

// put writes an item.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	s.items[key] = item{Key: key, Value: value, Revision: s.revision, Created: created}
	s.append(s.items[key])
}

// remove removes an item.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.append(item{Key: key, Revision: s.revision, Tombstone: true})
}

func (s *store) append(event item) {
	s.history = append(s.history, event)
	close(s.changed)
	s.changed = make(chan struct{})
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// A failed write means that the client is gone.
	_ = json.NewEncoder(w).Encode(value)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	found, ok := s.items[r.URL.Query().Get("key")]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, struct {
		item
		Current uint64 `json:"current_rev"`
	}{found, revision})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	prefix, after := query.Get("prefix"), query.Get("after")
	s.mu.Lock()
	keys := make([]string, 0, len(s.items))
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	page := struct {
		Items   []item `json:"items"`
		HasMore bool   `json:"has_more"`
		Current uint64 `json:"current_rev"`
	}{Items: []item{}, HasMore: len(keys) > maxPageItems, Current: s.revision}
	for _, key := range keys[:min(len(keys), maxPageItems)] {
		page.Items = append(page.Items, s.items[key])
	}
	s.mu.Unlock()
	writeJSON(w, page)
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	deadline := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer deadline.Stop()
	for {
		response := struct {
			Events  []item `json:"events"`
			Current uint64 `json:"current_rev"`
		}{Events: []item{}}
		s.mu.Lock()
		changed := s.changed
		response.Current = s.revision
		for _, event := range s.history {
			if event.Revision > after && strings.HasPrefix(event.Key, query.Get("prefix")) {
				response.Events = append(response.Events, event)
			}
		}
		s.mu.Unlock()
		if len(response.Events) > 0 {
			writeJSON(w, response)
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			writeJSON(w, response)
			return
		case <-r.Context().Done():
			return
		}
	}
}
