package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"sync"
	"time"
)

// run is one request that an upstream ran.
type run struct {
	upstream, method, target, body, caller string
	at                                     time.Time
}

// record holds what clients and upstreams saw. It is written to a file at the end.
type record struct {
	start time.Time

	mu    sync.Mutex
	lines []string
	runs  map[string][]run
	// invalids counts what upstreams received that is no request.
	invalids int
}

func newRecord() *record { return &record{start: time.Now(), runs: map[string][]run{}} }

// add adds a line.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addLocked(format, args...)
}

func (r *record) addLocked(format string, args ...any) {
	r.lines = append(r.lines, fmt.Sprintf("%9.3f s  ", time.Since(r.start).Seconds())+fmt.Sprintf(format, args...))
}

// ran records that an upstream runs a request.
func (r *record) ran(u *upstream, request *request) {
	id, body := request.id, request.body
	digest := sha256.Sum256(body)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id] = append(r.runs[id], run{
		upstream: u.id, method: request.Method, target: request.RequestURI, body: hex.EncodeToString(digest[:8]),
		caller: request.Header.Get("X-Caller-Service"), at: time.Now(),
	})
	r.addLocked("upstream %s runs %s: %s %s, %d bytes, X-Caller-Service %s", u.id, id, request.Method, request.RequestURI, len(body), request.Header.Get("X-Caller-Service"))
}

// invalid counts bytes at an upstream that are no request.
func (r *record) invalid() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.invalids++
}

// runsOf returns the runs of a request.
func (r *record) runsOf(id string) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

// write writes the record to a file.
func (r *record) write(name string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	f, err := os.Create(name)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	for _, line := range r.lines {
		if _, err := fmt.Fprintln(f, line); err != nil {
			return err
		}
	}
	return nil
}
