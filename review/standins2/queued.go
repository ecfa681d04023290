package main

import (
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// queuedSlots is the number of slots of each upstream, queuedUpstreams their number.
	queuedSlots     = 12
	queuedUpstreams = 2
	// busyWork is how long the reads take that occupy all slots. Clients of another node
	// send them one after the other, in busyRounds rounds.
	busyWork   = 4800 * time.Millisecond
	busyRounds = 2
	// busyInterval is the time between two of these clients, so that each upstream gets
	// as many reads as it has slots.
	busyInterval = 20 * time.Millisecond
	// stopBeforeRound is the time from SIGTERM to the second round, and fileAfter the
	// time from SIGTERM at which clients of the stopping node send files.
	stopBeforeRound = 600 * time.Millisecond
	fileAfter       = 1500 * time.Millisecond
	queuedFiles     = 4
	// queuedLimit is the time limit of all requests.
	queuedLimit = 5 * time.Second
	// lossSlack is the bound of the same name.
	lossSlack = 200 * time.Millisecond
)

// serveBusyAndQuick answers reads that take long, and files.
func serveBusyAndQuick(u *upstream, r *request) bool {
	work := quickWork
	if strings.HasPrefix(r.URL.Path, "/read/busy") {
		work = busyWork
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

// playQueued stops a node while files of its clients wait for a slot of busy upstreams.
func playQueued(rec *record, trouble bool) (bool, error) {
	machines := []machine{
		{zone: "zone-a", service: "front", slots: queuedSlots, serve: serveBusyAndQuick},
		{zone: "zone-b", service: "front", slots: queuedSlots, serve: serveBusyAndQuick},
	}
	for range queuedUpstreams {
		machines = append(machines, machine{zone: "zone-c", service: "desk", slots: queuedSlots, serve: serveBusyAndQuick})
	}
	d, err := newDeployment(rec, []route{
		{Prefix: "/read/", Kind: "safe", Timeout: "5000ms", Objective: "5000ms", Priority: 1, Service: "desk", MaxAttempts: 2, Name: "r-read"},
		{Prefix: "/file/", Kind: "unsafe", Timeout: "5000ms", Objective: "1000ms", Priority: 1, Service: "desk", MaxAttempts: 2, Name: "r-file"},
	}, machines)
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return false, err
	}
	// Longer than the stability window and the warm-up.
	time.Sleep(5 * time.Second)
	stopping, other := d.nodes[0], d.nodes[1]
	for range 20 {
		for _, n := range []*node{stopping, other} {
			id := newID()
			rec.add("file %s before the stop: %s", id, send(d.callerAddress(n), "POST", "/file/x", id, queuedLimit, []byte("return"), false))
		}
	}
	begun := time.Now()
	var wg sync.WaitGroup
	for i := range queuedSlots * queuedUpstreams {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Duration(i) * busyInterval)
			for range busyRounds {
				id := newID()
				a := send(d.callerAddress(other), "GET", "/read/busy", id, queuedLimit, nil, false)
				rec.add("busy read %s at the other node: %s", id, a)
			}
		}()
	}
	time.Sleep(time.Until(begun.Add(busyWork - stopBeforeRound)))
	stopped := time.Now()
	if trouble {
		rec.add("SIGTERM for the node %s; the grace period is 6 s", stopping.ip)
		stopping.signal(syscall.SIGTERM)
	}
	time.Sleep(time.Until(stopped.Add(fileAfter)))
	lost := make([]bool, queuedFiles)
	for i := range queuedFiles {
		wg.Add(1)
		go func() {
			defer wg.Done()
			lost[i] = sendQueuedFile(rec, d.callerAddress(stopping), stopped)
		}()
	}
	wg.Wait()
	total := 0
	for _, l := range lost {
		if l {
			total++
		}
	}
	rec.add("files whose connection ended without an answer, later than %s after they were sent and before their time limit: %d", lossSlack, total)
	return total > 0, nil
}

// sendQueuedFile sends a file and reports whether its connection ended without an answer
// while no upstream was at work on it and its time limit was not reached.
func sendQueuedFile(rec *record, address string, stopped time.Time) bool {
	id, sent := newID(), time.Now()
	a := send(address, "POST", "/file/x", id, queuedLimit, []byte("return"), false)
	took := time.Since(sent)
	runs := len(rec.runsOf(id))
	rec.add("file %s, sent %.3f s after SIGTERM: after %.3f s, run %d times until then: %s",
		id, sent.Sub(stopped).Seconds(), took.Seconds(), runs, a)
	return a.err != nil && runs == 0 && took > lossSlack && took < queuedLimit
}
