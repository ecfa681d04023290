package main

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// largeBytes is the size of the large answer. More than 64 KiB of it are passed on
	// as they arrive.
	largeBytes = 400 << 10
	// pipelines is the number of clients' connections. Each has a slow read in front, a
	// large one behind it, and smallReads small ones behind both.
	pipelines  = 24
	smallReads = 4
	// slowWork and smallWork are the times that an upstream takes.
	slowWork  = 900 * time.Millisecond
	smallWork = 30 * time.Millisecond
	// killAfter is the time from the requests to the kill.
	killAfter = 400 * time.Millisecond
	// largePieces is the number of pieces of the large answer, and pieceInterval the
	// time between two of them.
	largePieces   = 20
	pieceInterval = 50 * time.Millisecond
	// readLimit is the time limit of the reads.
	readLimit = 4 * time.Second
)

// serveReads answers slow, large and small reads.
func serveReads(u *upstream, r *request) bool {
	switch {
	case strings.HasPrefix(r.URL.Path, "/read/slow"):
		time.Sleep(slowWork)
		return u.respond(r, []byte("slow "+r.id))
	case strings.HasPrefix(r.URL.Path, "/read/large"):
		return u.respondSlowly(r)
	default:
		time.Sleep(smallWork)
		return u.respond(r, []byte("small "+r.id))
	}
}

// respondSlowly sends a large answer in pieces.
func (u *upstream) respondSlowly(r *request) bool {
	body := bytes.Repeat([]byte("0123456789abcdef"), largeBytes/16)
	if !write(r.conn, "%s", u.head(r, body)) {
		return false
	}
	for i := range largePieces {
		if _, err := r.conn.Write(body[i*largeBytes/largePieces : (i+1)*largeBytes/largePieces]); err != nil {
			u.record.add("upstream %s: the connection of %s is closed", u.id, r.id)
			return false
		}
		time.Sleep(pieceInterval)
	}
	u.record.add("upstream %s has sent the whole answer to %s", u.id, r.id)
	return true
}

// playPipeline kills one node beside an upstream while clients of another node have
// pipelined reads in flight.
func playPipeline(rec *record, trouble bool) (bool, error) {
	d, err := newDeployment(rec, []route{
		{Prefix: "/read/", Kind: "safe", Timeout: "5000ms", Objective: "2000ms", Priority: 1, Service: "desk", MaxAttempts: 2, Name: "r-read"},
	}, []machine{
		{zone: "zone-a", service: "front", slots: 18, serve: serveReads},
		{zone: "zone-b", service: "desk", slots: 18, serve: serveReads},
		{zone: "zone-c", service: "desk", slots: 18, serve: serveReads},
		{zone: "zone-b", service: "desk", slots: 18, serve: serveReads},
	})
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return false, err
	}
	// Longer than the stability window, so that all machines are in touch.
	time.Sleep(5 * time.Second)
	killed := d.nodes[1]
	var wg sync.WaitGroup
	lost := make([]int, pipelines)
	for i := range pipelines {
		wg.Add(1)
		go func() {
			defer wg.Done()
			lost[i] = playOnePipeline(rec, d, i, killed.upstream.id)
		}()
	}
	if trouble {
		time.Sleep(killAfter)
		rec.add("SIGKILL for the node beside upstream %s", killed.upstream.id)
		killed.signal(syscall.SIGKILL)
	}
	wg.Wait()
	total := 0
	for _, n := range lost {
		total += n
	}
	rec.add("small reads that were run by an upstream beside another node than the killed one, and whose connection was closed without an answer: %d", total)
	return total > 3, nil
}

// playOnePipeline sends reads on a kept connection and returns the number of small ones
// that ran at a sound upstream and whose connection was closed without an answer.
func playOnePipeline(rec *record, d *deployment, i int, killed string) int {
	c, err := dial(d.callerAddress(d.nodes[0]))
	if err != nil {
		rec.add("client %d: %v", i, err)
		return 0
	}
	defer func() { _ = c.Close() }()
	id := newID()
	rec.add("client %d: first read %s on the connection: %s", i, id, c.exchange("GET", "/read/small", id, readLimit, nil, false))
	paths := []string{"/read/slow", "/read/large"}
	for j := range smallReads {
		paths = append(paths, fmt.Sprintf("/read/small/%d", j))
	}
	ids, text := []string{}, ""
	for j, path := range paths {
		ids = append(ids, newID())
		text += requestHead("GET", path, ids[j], readLimit, "")
	}
	sent := time.Now()
	rec.add("client %d sends %s in one go", i, strings.Join(ids, " "))
	_, _ = io.WriteString(c, text)
	lost, closed := 0, false
	for j, id := range ids {
		a := answer{err: io.ErrUnexpectedEOF}
		if !closed {
			a = c.read("GET", sent.Add(readLimit))
		}
		closed = closed || a.err != nil
		rec.add("client %d: %s %s, %.3f s after it was sent: %s", i, paths[j], id, time.Since(sent).Seconds(), a)
		if j > 1 && a.err != nil && !a.begun && ranBesideOther(rec, id, killed) {
			lost++
		}
	}
	return lost
}

// ranBesideOther reports whether an upstream other than the given one ran the request.
func ranBesideOther(rec *record, id, killed string) bool {
	for _, run := range rec.runsOf(id) {
		if run.upstream != killed {
			return true
		}
	}
	return false
}
