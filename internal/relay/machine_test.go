package relay_test

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/property"
)

const (
	machineChecks = 150
	machineDCs    = 3
	machineNodes  = 5
	// convergeBound is the time in which an accepted version is in force at
	// every reachable node of a fleet without faults.
	convergeBound = 4 * time.Second
	// healBound is the time after the last fault in which the fleet has
	// converged: the longest retry delay and a silent stream on top.
	healBound = convergeBound + 3*time.Second + 2*time.Second
	// sampleInterval is the period at which nodes are looked at.
	sampleInterval = 100 * time.Millisecond
)

// eventKind is something that happens to the fleet.
type eventKind int

const (
	eventPublish eventKind = iota
	eventPublishBad
	eventPublishVMs
	eventKill
	eventHerd
	eventFleet
	eventPlatformDown
	eventPlatformFrozen
	eventPlatformHangs
	eventPlatformCrossed
	eventCutFromPlatform
	eventCutFromAll
	eventCutFromOne
	eventKinds
)

type event struct {
	kind   eventKind
	at     time.Duration
	length time.Duration
	node   int
	dc     int
}

func drawEvents(t *rapid.T) []event {
	var events []event
	for range rapid.IntRange(1, 8).Draw(t, "events") {
		events = append(events, event{
			kind:   eventKind(rapid.IntRange(0, int(eventKinds)-1).Draw(t, "kind")),
			at:     time.Duration(rapid.IntRange(0, 15000).Draw(t, "at")) * time.Millisecond,
			length: time.Duration(rapid.IntRange(1, 8000).Draw(t, "length")) * time.Millisecond,
			node:   rapid.IntRange(0, machineDCs*machineNodes-1).Draw(t, "node"),
			dc:     rapid.IntRange(0, machineDCs-1).Draw(t, "dc"),
		})
	}
	return events
}

// playing is one plan being played.
type playing struct {
	fleet  *fleet
	events []event
	wg     sync.WaitGroup
	done   chan struct{}

	mu   sync.Mutex
	err  error
	good vanillabarrow.Version
	last vanillabarrow.Version
	// everywhere is the version that was in force at all nodes.
	everywhere vanillabarrow.Version
}

func (p *playing) fail(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.err == nil {
		p.err = fmt.Errorf(format, args...)
	}
}

func (p *playing) published(v vanillabarrow.Version, bad bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.last = max(p.last, v)
	if !bad {
		p.good = max(p.good, v)
	}
}

// play runs the events and returns the first broken promise.
func play(events []event) error {
	p := &playing{fleet: newFleet(machineDCs, machineNodes), events: events, done: make(chan struct{})}
	for _, m := range p.fleet.members {
		m.start()
	}
	time.Sleep(convergeBound)
	p.published(p.fleet.publishConfig(false), false)
	time.Sleep(convergeBound)
	p.checkConverged("before any fault")
	p.wg.Add(1)
	go p.loopSample()
	var events2 sync.WaitGroup
	for _, e := range events {
		events2.Add(1)
		go p.runEvent(e, &events2)
	}
	events2.Wait()
	time.Sleep(healBound)
	p.checkConverged("after the last fault")
	p.published(p.fleet.publishConfig(false), false)
	time.Sleep(convergeBound)
	p.checkConverged("after a publish without faults")
	close(p.done)
	p.wg.Wait()
	if n := p.fleet.platform.maxReads(); n > fleetBudget {
		p.fail("%d platform reads in one second", n)
	}
	for _, m := range p.fleet.members {
		m.kill()
	}
	synctest.Wait()
	return p.err
}

// loopSample looks for a node that goes back to an older version.
func (p *playing) loopSample() {
	defer p.wg.Done()
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-p.done:
			return
		}
		for _, m := range p.fleet.members {
			r := m.current()
			if r == nil {
				continue
			}
			s := r.table.Status()
			if s.Held < r.held || s.InForce < r.inForce {
				p.fail("%s went back from %d/%d to %d/%d", m.name, r.held, r.inForce, s.Held, s.InForce)
			}
			r.held, r.inForce = s.Held, s.InForce
			if r.follower.IsReady() && r.follower.Snapshot() == nil {
				p.fail("%s is ready without a configuration", m.name)
			}
		}
	}
}

// checkConverged compares all running nodes. When the newest version is bad,
// they serve the newest that any of them has accepted: a good version may have
// been replaced on the platform before any node read it.
func (p *playing) checkConverged(when string) {
	p.mu.Lock()
	want, last := p.good, p.last
	p.mu.Unlock()
	if want < last {
		want = 0
		for _, m := range p.fleet.members {
			if r := m.current(); r != nil {
				want = max(want, r.table.Status().InForce)
			}
		}
	}
	if want < p.everywhere {
		p.fail("%s: version %d was in force everywhere and is lost", when, p.everywhere)
	}
	for _, m := range p.fleet.members {
		r := m.current()
		if r == nil {
			continue
		}
		s := r.table.Status()
		switch {
		case s.Held != last:
			p.fail("%s: %s holds %d, published is %d", when, m.name, s.Held, last)
		case s.InForce != want:
			p.fail("%s: %s serves %d, accepted is %d", when, m.name, s.InForce, want)
		case want > 0 && !r.follower.IsReady():
			p.fail("%s: %s is not ready", when, m.name)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.everywhere = want
}

func (p *playing) runEvent(e event, wg *sync.WaitGroup) {
	defer wg.Done()
	time.Sleep(e.at)
	dc := fmt.Sprintf("dc%d", e.dc)
	switch e.kind {
	case eventPublish, eventPublishBad:
		bad := e.kind == eventPublishBad
		p.mu.Lock()
		v := p.fleet.publishConfig(bad)
		p.mu.Unlock()
		p.published(v, bad)
	case eventPublishVMs:
		p.fleet.publishVMs()
	case eventKill:
		p.restart(e.length, func(m *member) bool { return m == p.fleet.members[e.node] })
	case eventHerd:
		p.restart(e.length, func(m *member) bool { return m.dc == dc })
	case eventFleet:
		// All but one data centre, so that the accepted version survives.
		p.restart(e.length, func(m *member) bool { return m.dc != dc })
	default:
		p.fault(e, dc, true)
		time.Sleep(e.length)
		p.fault(e, dc, false)
	}
}

func (p *playing) restart(after time.Duration, which func(m *member) bool) {
	for _, m := range p.fleet.members {
		if which(m) {
			m.kill()
		}
	}
	p.noteLoss()
	time.Sleep(after)
	for _, m := range p.fleet.members {
		if which(m) {
			m.start()
		}
	}
}

// noteLoss forgets the version that was in force everywhere when no node is
// left that serves it. Nodes keep nothing, so only the platform has it then.
func (p *playing) noteLoss() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.fleet.members {
		if r := m.current(); r != nil && r.table.Status().InForce >= p.everywhere {
			return
		}
	}
	p.everywhere = 0
}

func (p *playing) fault(e event, dc string, on bool) {
	platform, n := p.fleet.platform, -1
	if on {
		n = 1
	}
	switch e.kind {
	case eventPlatformDown:
		platform.set(func() { platform.down = on })
	case eventPlatformFrozen:
		platform.freeze(on)
	case eventPlatformHangs:
		platform.set(func() { platform.hang = on })
	case eventPlatformCrossed:
		platform.set(func() { platform.crossed = on })
	case eventCutFromPlatform:
		p.fleet.cut(dc, "platform", n)
	case eventCutFromOne:
		p.fleet.cut(dc, fmt.Sprintf("dc%d", (e.dc+1)%machineDCs), n)
	case eventCutFromAll:
		p.fleet.cut(dc, "platform", n)
		for other := range machineDCs {
			if other != e.dc {
				p.fleet.cut(dc, fmt.Sprintf("dc%d", other), n)
			}
		}
	}
}

func TestFleetMachine(t *testing.T) {
	property.CheckN(t, machineChecks, func(rt *rapid.T) {
		events := drawEvents(rt)
		var err error
		synctest.Test(t, func(*testing.T) { err = play(events) })
		if err != nil {
			rt.Fatalf("%v\nevents: %+v", err, events)
		}
	})
}

// TestReachesCutDataCentre publishes while a data centre lacks a path. Those
// that another path leads to converge in the usual time.
func TestReachesCutDataCentre(t *testing.T) {
	tests := map[string]struct {
		cuts    [][2]string
		reached bool
	}{
		"cut from the platform":                 {[][2]string{{"dc0", "platform"}}, true},
		"two cut from the platform":             {[][2]string{{"dc0", "platform"}, {"dc1", "platform"}}, true},
		"cut from the platform and one another": {[][2]string{{"dc0", "platform"}, {"dc0", "dc1"}}, true},
		"cut from everything":                   {[][2]string{{"dc0", "platform"}, {"dc0", "dc1"}, {"dc0", "dc2"}}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(machineDCs, machineNodes)
				for _, m := range f.members {
					m.start()
				}
				time.Sleep(2 * convergeBound)
				before := f.members[0].current().table.Status().InForce
				for _, c := range tt.cuts {
					f.cut(c[0], c[1], 1)
				}
				version := f.publishConfig(false)
				time.Sleep(convergeBound)
				for _, m := range f.members {
					want := version
					if m.dc == "dc0" && !tt.reached {
						want = before
					}
					r := m.current()
					require.Equal(t, want, r.table.Status().InForce, m.name)
					require.NotNil(t, r.follower.Snapshot(), "%s serves what it holds", m.name)
					m.kill()
				}
			})
		})
	}
}
