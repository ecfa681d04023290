package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Header fields of clients and upstreams.
const (
	headerAttempt    = "X-Attempt-Id"
	headerDeadline   = "X-Deadline-Ms"
	headerSignature  = "X-Response-Signature"
	headerExpected   = "X-Expected-Instance"
	headerNotRun     = "X-Not-Executed"
	headerInstance   = "X-Instance-Id"
	headerCaller     = "X-Caller-Service"
	healthPath       = "/health"
	upstreamSlots    = 12
	upstreamConns    = 130
	upstreamIdleTime = 10 * time.Second
)

// upstreamRun is one request that an upstream ran.
type upstreamRun struct {
	attempt, method, path, caller string
	upstream                      *upstream
	at                            time.Time
}

// upstream is a stand-in of an application upstream.
type upstream struct {
	record      *record
	id, service string
	zone        string
	work        time.Duration
	listener    net.Listener
	server      *http.Server
	slots       chan struct{}

	mu      sync.Mutex
	leaving bool
	// loseEvery makes the upstream run each request of that number and reset the
	// connection in place of an answer, 0 for none.
	loseEvery int
	runs      []upstreamRun
}

func newUpstream(r *record, id, service, zone, address string) (*upstream, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	u := &upstream{
		record: r, id: id, service: service, zone: zone, work: 20 * time.Millisecond,
		listener: l, slots: make(chan struct{}, upstreamSlots),
	}
	u.server = &http.Server{Handler: u, IdleTimeout: upstreamIdleTime}
	go u.loop()
	return u, nil
}

func (u *upstream) loop() { _ = u.server.Serve(u.listener) }

func (u *upstream) address() string { return u.listener.Addr().String() }

// entry is the upstream's registration in the store.
func (u *upstream) entry(state string) map[string]any {
	return map[string]any{
		"service": u.service, "address": u.address(), "zone": u.zone, "version": "v1",
		"max_concurrency": upstreamSlots, "state": state, "warmup_remaining": "0ms", "sequence": 1,
		"born": u.record.start.UnixMilli(),
	}
}

// leave makes the upstream answer status checks as one that is leaving.
func (u *upstream) leave() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.leaving = true
}

// ServeHTTP implements http.Handler.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	if r.URL.Path == healthPath {
		h.Set(headerInstance, u.id)
		u.mu.Lock()
		leaving := u.leaving
		u.mu.Unlock()
		if leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	attempt := r.Header.Get(headerAttempt)
	h.Set(headerAttempt, attempt)
	h.Set("Keep-Alive", "timeout="+strconv.Itoa(int(upstreamIdleTime/time.Second)))
	if expected := r.Header.Get(headerExpected); expected != "" && expected != u.id {
		h.Set(headerInstance, u.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	ms, _ := strconv.Atoi(r.Header.Get(headerDeadline))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
	defer cancel()
	select {
	case u.slots <- struct{}{}:
		defer func() { <-u.slots }()
	case <-ctx.Done():
		h.Set(headerNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	lost := u.addRun(r, attempt)
	time.Sleep(u.work)
	if lost {
		u.record.note("lost  %s: %s resets the connection in place of an answer", attempt, u.id)
		resetConnection(w)
		return
	}
	answer := []byte(u.service + " " + u.id + " " + r.Method + " " + r.URL.RequestURI() + " " + strconv.Itoa(len(body)))
	digest := sha256.Sum256(answer)
	h.Set(headerSignature, hex.EncodeToString(digest[:8]))
	_, _ = w.Write(answer)
}

// resetConnection resets the connection of a request.
func resetConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// setLoseEvery sets which answers are lost.
func (u *upstream) setLoseEvery(n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.loseEvery = n
}

// addRun records a run and reports whether its answer is to be lost.
func (u *upstream) addRun(r *http.Request, attempt string) (lost bool) {
	run := upstreamRun{
		attempt: attempt, method: r.Method, path: r.URL.RequestURI(), caller: r.Header.Get(headerCaller),
		upstream: u, at: time.Now(),
	}
	u.mu.Lock()
	u.runs = append(u.runs, run)
	lost = u.loseEvery > 0 && len(u.runs)%u.loseEvery == 0
	u.mu.Unlock()
	u.record.note("run   %s %s %s at %s (%s)", attempt, r.Method, r.URL.RequestURI(), u.id, u.service)
	return lost
}

// takeRuns returns the runs so far.
func (u *upstream) takeRuns() []upstreamRun {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]upstreamRun(nil), u.runs...)
}
