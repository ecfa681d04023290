package main

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// reportWork is the usual work of a report, and slowFactor how much longer the slow
	// upstream takes for all it does.
	reportWork = 120 * time.Millisecond
	slowFactor = 12
	// fileLimit is the time limit of a file, reportLimit that of reports and reads.
	fileLimit   = 800 * time.Millisecond
	reportLimit = 4 * time.Second
	// lateClients is the number of clients, and lateTime the time for which each of them
	// sends.
	lateClients = 24
	lateTime    = 5 * time.Second
)

// playLate slows one of three upstreams down while clients have pipelined reads in
// flight: a report, a large file with a short time limit, and small reads.
func playLate(rec *record, trouble bool) (bool, error) {
	var slow atomic.Pointer[upstream]
	large := bytes.Repeat([]byte("0123456789abcdef"), largeBytes/16)
	serve := func(u *upstream, r *request) bool {
		work, body := smallWork, []byte("read "+r.id)
		switch {
		case strings.HasPrefix(r.URL.Path, "/report/"):
			work, body = reportWork, []byte("report "+r.id)
		case strings.HasPrefix(r.URL.Path, "/file/"):
			body = large
		}
		if slow.Load() == u {
			work *= slowFactor
		}
		time.Sleep(work)
		return u.respond(r, body)
	}
	d, err := newDeployment(rec, []route{
		{Prefix: "/report/", Kind: "safe", Timeout: "5000ms", Objective: "2000ms", Priority: 1, Service: "desk", MaxAttempts: 2, Name: "r-report"},
		{Prefix: "/file/", Kind: "safe", Timeout: "5000ms", Objective: "300ms", Priority: 1, Service: "desk", MaxAttempts: 2, Name: "r-file"},
		{Prefix: "/read/", Kind: "safe", Timeout: "5000ms", Objective: "2000ms", Priority: 1, Service: "desk", MaxAttempts: 2, Name: "r-read"},
	}, []machine{
		{zone: "zone-a", service: "front", slots: 18, serve: serve},
		{zone: "zone-b", service: "desk", slots: 18, serve: serve},
		{zone: "zone-c", service: "desk", slots: 18, serve: serve},
		{zone: "zone-b", service: "desk", slots: 18, serve: serve},
	})
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return false, err
	}
	// Longer than the stability window, so that all machines are in touch.
	time.Sleep(5 * time.Second)
	if trouble {
		slow.Store(d.nodes[1].upstream)
		rec.add("from now on, upstream %s takes %d times as long", d.nodes[1].upstream.id, slowFactor)
	}
	var wg sync.WaitGroup
	lost := make([]int, lateClients)
	for i := range lateClients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for end := time.Now().Add(lateTime); time.Now().Before(end); {
				lost[i] += playOneLate(rec, d, i, d.nodes[1].upstream.id)
			}
		}()
	}
	wg.Wait()
	total := 0
	for _, n := range lost {
		total += n
	}
	rec.add("small reads that an upstream other than the slow one ran, and whose connection was closed without an answer before their time limit: %d", total)
	return total > 3, nil
}

// playOneLate sends reads on a kept connection and returns the number of small ones that
// ran at another upstream than the slow one and whose connection was closed without an
// answer before their time limit.
func playOneLate(rec *record, d *deployment, i int, slow string) int {
	c, err := dial(d.callerAddress(d.nodes[0]))
	if err != nil {
		rec.add("client %d: %v", i, err)
		return 0
	}
	defer func() { _ = c.Close() }()
	id := newID()
	rec.add("client %d: first read %s on the connection: %s", i, id, c.exchange("GET", "/read/first", id, reportLimit, nil, false))
	paths := []string{"/report/x", "/file/x", "/read/1", "/read/2", "/read/3", "/read/4"}
	ids, text := []string{}, ""
	for j, path := range paths {
		ids = append(ids, newID())
		limit := reportLimit
		if strings.HasPrefix(path, "/file/") {
			limit = fileLimit
		}
		text += requestHead("GET", path, ids[j], limit, "")
	}
	sent := time.Now()
	rec.add("client %d sends %s in one go", i, strings.Join(ids, " "))
	_, _ = io.WriteString(c, text)
	lost, closed := 0, false
	for j, id := range ids {
		a := answer{err: io.ErrUnexpectedEOF}
		if !closed {
			a = c.read("GET", sent.Add(reportLimit))
		}
		closed = closed || a.err != nil
		rec.add("client %d: %s %s, %.3f s after it was sent: %s", i, paths[j], id, time.Since(sent).Seconds(), a)
		if j > 1 && a.err != nil && !a.begun && time.Since(sent) < reportLimit && ranBesideOther(rec, id, slow) {
			lost++
		}
	}
	return lost
}
