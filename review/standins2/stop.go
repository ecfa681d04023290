package main

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// stopReads is the number of quick reads that each client sends behind a long one.
	stopReads = 4
	// stopClients is the number of clients' connections.
	stopClients = 3
	// stopTimeLimit is the time limit of the reads, and the route's timeout.
	stopTimeLimit = 5 * time.Second
	// stopSendAfter is the time from SIGTERM to the requests.
	stopSendAfter = 500 * time.Millisecond
	// longWork is how long the long read takes: until the last sixth of the grace
	// period. quickWork is how long the quick ones take.
	longWork  = 4800 * time.Millisecond
	quickWork = 30 * time.Millisecond
)

// serveLongAndQuick answers long and quick reads.
func serveLongAndQuick(u *upstream, r *request) bool {
	work := quickWork
	if strings.HasPrefix(r.URL.Path, "/read/long") {
		work = longWork
	}
	select {
	case <-time.After(work):
	case <-r.gone:
		u.record.add("upstream %s: the connection of %s is closed", u.id, r.id)
		return false
	}
	u.record.add("upstream %s answers %s", u.id, r.id)
	return u.respond(r, []byte("answer "+r.id))
}

// playStop stops a node that has taken pipelined reads, of which the first one takes
// until the last sixth of the grace period.
func playStop(rec *record, trouble bool) (bool, error) {
	d, err := newDeployment(rec, []route{
		{Prefix: "/read/", Kind: "safe", Timeout: "5000ms", Objective: "800ms", Priority: 1, Service: "desk", MaxAttempts: 2, Name: "r-read"},
	}, []machine{
		{zone: "zone-a", service: "front", slots: 18, serve: serveLongAndQuick},
		{zone: "zone-b", service: "desk", slots: 18, serve: serveLongAndQuick},
		{zone: "zone-c", service: "desk", slots: 18, serve: serveLongAndQuick},
	})
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return false, err
	}
	// Longer than the stability window.
	time.Sleep(5 * time.Second)
	var conns []*clientConn
	for range stopClients {
		c, err := dial(d.callerAddress(d.nodes[0]))
		if err != nil {
			return false, err
		}
		defer func() { _ = c.Close() }()
		conns = append(conns, c)
		id := newID()
		rec.add("first read %s on the connection: %s", id, c.exchange("GET", "/read/quick", id, stopTimeLimit, nil, false))
	}
	stopped := time.Now()
	if trouble {
		rec.add("SIGTERM for the node that the clients use; the grace period is 6 s")
		d.nodes[0].signal(syscall.SIGTERM)
	}
	time.Sleep(stopSendAfter)
	var wg sync.WaitGroup
	lost := make([]int, len(conns))
	for i, c := range conns {
		wg.Add(1)
		go func() {
			defer wg.Done()
			lost[i] = readBehindLong(rec, c, i, stopped)
		}()
	}
	wg.Wait()
	total := 0
	for _, n := range lost {
		total += n
	}
	rec.add("quick reads that an upstream answered, and whose connection ended without an answer before their time limit: %d", total)
	return total > 0, nil
}

// readBehindLong sends a long read and quick ones behind it, and returns the number of
// quick ones that an upstream ran and that got no answer although their time limit was
// not reached.
func readBehindLong(rec *record, c *clientConn, client int, stopped time.Time) int {
	ids, text := []string{}, ""
	for j := range 1 + stopReads {
		path := "/read/long"
		if j > 0 {
			path = fmt.Sprintf("/read/quick/%d", j)
		}
		ids = append(ids, newID())
		text += requestHead("GET", path, ids[j], stopTimeLimit, "")
	}
	sent := time.Now()
	rec.add("client %d sends %s, %.3f s after SIGTERM", client, strings.Join(ids, " "), sent.Sub(stopped).Seconds())
	_, _ = io.WriteString(c, text)
	lost, closed := 0, false
	for j, id := range ids {
		a := answer{err: io.ErrUnexpectedEOF}
		if !closed {
			a = c.read("GET", sent.Add(stopTimeLimit+time.Second))
		}
		at := time.Now()
		rec.add("client %d: request %d %s, %.3f s after it was sent: %s", client, j, id, at.Sub(sent).Seconds(), a)
		closed = closed || a.err != nil
		if j > 0 && a.err != nil && len(rec.runsOf(id)) > 0 && at.Sub(sent) < stopTimeLimit {
			lost++
		}
	}
	return lost
}
