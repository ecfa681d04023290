package main

import (
	"strings"
	"sync"
	"time"
)

// deskUpstreams is the number of upstreams of the filing service.
const deskUpstreams = 8

// Bounds of the small installation's policy_params.
const (
	configApply = 2 * time.Second
	drainBound  = 2 * time.Second
	// stabilityWindow is the time after a disruption in which a machine is not in
	// touch.
	stabilityWindow = 3 * time.Second
)

// ranAt returns the runs of an attempt at all upstreams.
func (d *deployment) ranAt(attempt string) []upstreamRun {
	var runs []upstreamRun
	for _, n := range d.nodes {
		for _, run := range n.upstream.takeRuns() {
			if run.attempt == attempt {
				runs = append(runs, run)
			}
		}
	}
	return runs
}

// runPrefix sends requests whose path is a prefix without its last slash. Every
// prefix of a route ends with a slash, so such a path belongs to a shorter prefix.
// The disruption is a change of the configuration that adds a route.
func runPrefix(d *deployment, trouble bool) (int, error) {
	routes := append([]route{{"r-all", "/", "safe", desk}}, baseRoutes...)
	d.publish(routes)
	time.Sleep(configApply)
	if trouble {
		d.publish(append(routes, route{"r-new", "/prices/", "safe", vault}))
	}
	time.Sleep(configApply + time.Second)
	violations := 0
	for _, n := range d.nodes {
		c := newClient(d.record, n)
		for _, path := range []string{"/prices", "/prices?year=2026"} {
			a := c.send("GET", path, "")
			runs := d.ranAt(a.attempt)
			if len(runs) == 0 {
				return 0, errNotRun{"a request was not run"}
			}
			for _, run := range runs {
				if run.upstream.service != desk {
					violations++
					d.record.add("VIOLATION: %s %s, which only the route / matches, was run by %s at %s", a.attempt, path, run.upstream.service, run.upstream.id)
				}
			}
		}
	}
	return violations, nil
}

// runTwice posts to a path that is a prefix without its last slash. Every prefix of
// a route ends with a slash, so the path belongs to the route /file/, whose requests
// may run once. The disruption is that upstreams run requests whose answers are
// lost.
func runTwice(d *deployment, trouble bool) (int, error) {
	const (
		lossTime    = 4 * time.Second
		sendEvery   = 200 * time.Millisecond
		lossyShare  = 0.6
		loseEvery   = 3
		requestBody = `{"month":"2026-11","prices":[1,2,3]}`
	)
	d.publish(append([]route{{"r-draft", "/file/drafts/", "safe", desk}}, baseRoutes...))
	time.Sleep(configApply + time.Second)
	if trouble {
		lossy := 0
		for _, n := range d.nodes {
			if n.service == desk && float64(lossy+1) <= lossyShare*deskUpstreams {
				lossy++
				n.upstream.setLoseEvery(loseEvery)
			}
		}
		d.record.add("%d of %d upstreams lose every %dth answer for %v", lossy, deskUpstreams, loseEvery, lossTime)
	}
	var mu sync.Mutex
	var answers []answer
	var wg sync.WaitGroup
	start := time.Now()
	for _, n := range d.nodes {
		wg.Go(func() {
			c := newClient(d.record, n)
			for time.Since(start) < lossTime {
				a := c.send("POST", "/file/drafts", requestBody)
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
				time.Sleep(sendEvery)
			}
		})
	}
	wg.Wait()
	for _, n := range d.nodes {
		n.upstream.setLoseEvery(0)
	}
	time.Sleep(time.Second)
	violations := 0
	for _, a := range answers {
		runs := d.ranAt(a.attempt)
		if len(runs) < 2 {
			continue
		}
		violations++
		d.record.add("VIOLATION: POST /file/drafts %s ran at %s and at %s, the client got %d", a.attempt, runs[0].upstream.id, runs[1].upstream.id, a.status)
	}
	d.record.add("%d requests sent, %d ran more than once", len(answers), violations)
	return violations, nil
}

// runReaders cuts the links to the store of the nodes that watch it, and changes the
// configuration meanwhile. The store itself and all other links are untouched.
func runReaders(d *deployment, trouble bool) (int, error) {
	const (
		probeEvery   = 100 * time.Millisecond
		probesFor    = 6 * time.Second
		maxCut       = 3 // 0.27 of 11 machines
		betweenSteps = 300 * time.Millisecond
	)
	readers := d.readers()
	for _, n := range readers {
		d.record.add("%s watches the store", n.name)
	}
	if len(readers) == 0 || len(readers) > maxCut {
		return 0, errNotRun{"unexpected number of nodes that watch the store"}
	}
	cutOff := map[*node]bool{}
	d.publish(append([]route{{"r-move", "/move/", "safe", desk}}, baseRoutes...))
	time.Sleep(betweenSteps)
	if trouble {
		for _, n := range readers {
			cutOff[n] = true
			n.front.proxy.cut()
		}
		d.record.add("%d of %d nodes are cut from the store", len(readers), len(d.nodes))
	}
	time.Sleep(betweenSteps)
	ackedAt := d.publish(append([]route{{"r-move", "/move/", "safe", vault}}, baseRoutes...))
	var mu sync.Mutex
	late := 0
	var wg sync.WaitGroup
	for _, n := range d.nodes {
		if cutOff[n] {
			continue
		}
		wg.Go(func() {
			c := newClient(d.record, n)
			for time.Since(ackedAt) < probesFor {
				a := c.send("GET", "/move/x", "")
				since := a.sentAt.Sub(ackedAt)
				if since > configApply && strings.HasPrefix(a.body, desk) {
					mu.Lock()
					late++
					mu.Unlock()
					d.record.add("VIOLATION: %s sent to %s %.3f s after the acknowledgement was run by the old service", a.attempt, n.name, since.Seconds())
				}
				time.Sleep(probeEvery)
			}
		})
	}
	wg.Wait()
	return late, nil
}

// runSilent silences all open connections between the nodes and the store. New ones
// work. The configuration changes soon after.
func runSilent(d *deployment, trouble bool) (int, error) {
	const (
		probeEvery = 40 * time.Millisecond
		probesFor  = 6 * time.Second
	)
	readers := d.readers()
	if len(readers) == 0 {
		return 0, errNotRun{"no node watches the store"}
	}
	firstAt := d.publish(append([]route{{"r-move", "/move/", "safe", desk}}, baseRoutes...))
	for _, n := range readers {
		for !n.front.watchesSince(firstAt) {
			time.Sleep(time.Millisecond)
		}
	}
	silentAt := time.Now()
	if trouble {
		for _, n := range d.nodes {
			n.front.proxy.silence()
		}
		d.record.add("all open connections to the store are silent")
	}
	ackedAt := d.publish(append([]route{{"r-move", "/move/", "safe", vault}}, baseRoutes...))
	inTouchAt := silentAt.Add(stabilityWindow)
	var mu sync.Mutex
	late := 0
	var wg sync.WaitGroup
	for _, n := range d.nodes {
		wg.Go(func() {
			c := newClient(d.record, n)
			for time.Since(ackedAt) < probesFor {
				a := c.send("GET", "/move/x", "")
				since := a.sentAt.Sub(ackedAt)
				if since > configApply && a.sentAt.After(inTouchAt) && strings.HasPrefix(a.body, desk) {
					mu.Lock()
					late++
					mu.Unlock()
					d.record.add("VIOLATION: %s sent to %s %.3f s after the acknowledgement and %.3f s after the disruption was run by the old service", a.attempt, n.name, since.Seconds(), a.sentAt.Sub(silentAt).Seconds())
				}
				time.Sleep(probeEvery)
			}
		})
	}
	wg.Wait()
	return late, nil
}

// runCutWatch cuts the waiting watch of one node. At that time an upstream leaves
// that does not report that it drains: its entry is removed.
func runCutWatch(d *deployment, trouble bool) (int, error) {
	const (
		cuts        = 2
		cutInterval = 60 * time.Millisecond
		sendEvery   = 5 * time.Millisecond
		after       = 4 * time.Second
		waited      = 1900 * time.Millisecond
		calmTime    = 25 * time.Second
	)
	readers := d.readers()
	if len(readers) == 0 {
		return 0, errNotRun{"no node watches the store"}
	}
	reader := readers[0]
	var leaving *node
	for _, n := range d.nodes {
		if n.zone == reader.zone && n != reader && n.service == desk {
			leaving = n
			break
		}
	}
	d.record.add("%s watches the store; the upstream %s of %s will leave", reader.name, leaving.upstream.id, leaving.name)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for _, n := range d.nodes {
		if n == reader {
			continue
		}
		wg.Go(func() {
			c := newClient(d.record, n)
			for {
				select {
				case <-stop:
					return
				case <-time.After(sendEvery):
					c.send("GET", "/read/x", "")
				}
			}
		})
	}
	time.Sleep(calmTime)
	for !reader.front.hasWaited(waited) {
		time.Sleep(time.Millisecond)
	}
	if trouble {
		for range cuts {
			d.record.add("the waiting watch of %s is cut", reader.name)
			time.Sleep(cutInterval)
			reader.front.cut()
		}
	}
	leaving.upstream.leave()
	d.store.remove("servers/" + leaving.upstream.id)
	ackedAt := time.Now()
	d.record.add("the removal of servers/%s is acknowledged", leaving.upstream.id)
	time.Sleep(after)
	close(stop)
	wg.Wait()
	late := 0
	for _, run := range leaving.upstream.takeRuns() {
		if since := run.at.Sub(ackedAt); since > drainBound {
			late++
			d.record.add("VIOLATION: %s reached %s %.3f s after the acknowledgement", run.attempt, leaving.upstream.id, since.Seconds())
		}
	}
	return late, nil
}
