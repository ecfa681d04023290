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
	// fleetChecks is the number of random lists of events.
	fleetChecks        = 150
	fleetDataCentres   = 3
	nodesPerDataCentre = 5
	// convergeBound is the time within which an accepted version is in force
	// at every reachable node of a fleet without faults.
	convergeBound = 4 * time.Second
	// recoveryBound is the time after the last fault within which the fleet
	// converges: convergeBound, the heartbeat timeout and the maximum backoff.
	recoveryBound = convergeBound + 3*time.Second + 2*time.Second
	// sampleInterval is the period at which the state of nodes is checked.
	sampleInterval = 100 * time.Millisecond
)

// eventKind is a kind of change or fault in the fleet.
type eventKind int

const (
	eventPublish eventKind = iota
	eventPublishInvalid
	eventPublishVMs
	eventRestartNode
	eventRestartDataCentre
	eventRestartOthers
	eventPlatformDown
	eventPlatformFrozen
	eventPlatformHangs
	eventPlatformStaleReads
	eventPartitionFromPlatform
	eventPartitionFromAll
	eventPartitionFromOne
	eventKindCount
)

// event is one change or fault.
type event struct {
	kind eventKind
	// at is the delay from the start of the simulation.
	at time.Duration
	// length is how long a fault lasts or restarted nodes are down.
	length time.Duration
	// node and dc are indices; the kind says which of them applies.
	node int
	dc   int
}

func drawEvents(t *rapid.T) []event {
	var events []event
	for range rapid.IntRange(1, 8).Draw(t, "events") {
		events = append(events, event{
			kind:   eventKind(rapid.IntRange(0, int(eventKindCount)-1).Draw(t, "kind")),
			at:     time.Duration(rapid.IntRange(0, 15000).Draw(t, "at")) * time.Millisecond,
			length: time.Duration(rapid.IntRange(1, 8000).Draw(t, "length")) * time.Millisecond,
			node:   rapid.IntRange(0, fleetDataCentres*nodesPerDataCentre-1).Draw(t, "node"),
			dc:     rapid.IntRange(0, fleetDataCentres-1).Draw(t, "dc"),
		})
	}
	return events
}

// simulation applies a list of events to a fleet.
type simulation struct {
	fleet  *fleet
	events []event
	wg     sync.WaitGroup
	done   chan struct{}

	mu          sync.Mutex
	err         error
	newestValid vanillabarrow.Version
	newest      vanillabarrow.Version
	// inForceEverywhere is the version that all nodes had in force at the last
	// check.
	inForceEverywhere vanillabarrow.Version
}

func (sim *simulation) fail(format string, args ...any) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if sim.err == nil {
		sim.err = fmt.Errorf(format, args...)
	}
}

func (sim *simulation) recordPublished(v vanillabarrow.Version, invalid bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.newest = max(sim.newest, v)
	if !invalid {
		sim.newestValid = max(sim.newestValid, v)
	}
}

// simulate runs the events and returns the first violated invariant.
func simulate(events []event) error {
	sim := &simulation{fleet: newFleet(fleetDataCentres, nodesPerDataCentre), events: events, done: make(chan struct{})}
	for _, m := range sim.fleet.members {
		m.start()
	}
	time.Sleep(convergeBound)
	sim.recordPublished(sim.fleet.publishConfig(false), false)
	time.Sleep(convergeBound)
	sim.checkConverged("before any fault")
	sim.wg.Add(1)
	go sim.loopSample()
	var pending sync.WaitGroup
	for _, e := range events {
		pending.Add(1)
		go sim.runEvent(e, &pending)
	}
	pending.Wait()
	time.Sleep(recoveryBound)
	sim.checkConverged("after the last fault")
	sim.recordPublished(sim.fleet.publishConfig(false), false)
	time.Sleep(convergeBound)
	sim.checkConverged("after a publish without faults")
	close(sim.done)
	sim.wg.Wait()
	if n := sim.fleet.platform.maxReads(); n > fleetBudget {
		sim.fail("%d platform reads in one second", n)
	}
	for _, m := range sim.fleet.members {
		m.kill()
	}
	synctest.Wait()
	return sim.err
}

// loopSample checks that no node goes back to an older version or is ready
// without a configuration.
func (sim *simulation) loopSample() {
	defer sim.wg.Done()
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-sim.done:
			return
		}
		for _, m := range sim.fleet.members {
			inst := m.current()
			if inst == nil {
				continue
			}
			s := inst.table.Status()
			if s.Held < inst.held || s.InForce < inst.inForce {
				sim.fail("%s went back from held/in force %d/%d to %d/%d", m.name, inst.held, inst.inForce, s.Held, s.InForce)
			}
			inst.held, inst.inForce = s.Held, s.InForce
			if inst.follower.IsReady() && inst.follower.Snapshot() == nil {
				sim.fail("%s is ready without a configuration", m.name)
			}
		}
	}
}

// checkConverged checks that all running nodes hold the newest version and have
// the newest valid one in force. When the newest version is invalid, that is
// the newest one that any node has accepted: an earlier valid version may have
// been replaced on the platform before any node read it.
func (sim *simulation) checkConverged(when string) {
	sim.mu.Lock()
	want, newest := sim.newestValid, sim.newest
	sim.mu.Unlock()
	if want < newest {
		want = 0
		for _, m := range sim.fleet.members {
			if inst := m.current(); inst != nil {
				want = max(want, inst.table.Status().InForce)
			}
		}
	}
	if want < sim.inForceEverywhere {
		sim.fail("%s: version %d was in force on all nodes and is lost", when, sim.inForceEverywhere)
	}
	for _, m := range sim.fleet.members {
		inst := m.current()
		if inst == nil {
			continue
		}
		s := inst.table.Status()
		switch {
		case s.Held != newest:
			sim.fail("%s: %s holds version %d, want %d as published", when, m.name, s.Held, newest)
		case s.InForce != want:
			sim.fail("%s: %s serves version %d, want %d as accepted", when, m.name, s.InForce, want)
		case want > 0 && !inst.follower.IsReady():
			sim.fail("%s: %s is not ready", when, m.name)
		}
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.inForceEverywhere = want
}

func (sim *simulation) runEvent(e event, wg *sync.WaitGroup) {
	defer wg.Done()
	time.Sleep(e.at)
	dc := fmt.Sprintf("dc%d", e.dc)
	switch e.kind {
	case eventPublish, eventPublishInvalid:
		invalid := e.kind == eventPublishInvalid
		sim.mu.Lock()
		v := sim.fleet.publishConfig(invalid)
		sim.mu.Unlock()
		sim.recordPublished(v, invalid)
	case eventPublishVMs:
		sim.fleet.publishVMs()
	case eventRestartNode:
		sim.restart(e.length, func(m *member) bool { return m == sim.fleet.members[e.node] })
	case eventRestartDataCentre:
		sim.restart(e.length, func(m *member) bool { return m.dc == dc })
	case eventRestartOthers:
		// All data centres but one, so that the accepted version survives.
		sim.restart(e.length, func(m *member) bool { return m.dc != dc })
	default:
		sim.setFault(e, dc, true)
		time.Sleep(e.length)
		sim.setFault(e, dc, false)
	}
}

func (sim *simulation) restart(after time.Duration, which func(m *member) bool) {
	for _, m := range sim.fleet.members {
		if which(m) {
			m.kill()
		}
	}
	sim.resetIfLost()
	time.Sleep(after)
	for _, m := range sim.fleet.members {
		if which(m) {
			m.start()
		}
	}
}

// resetIfLost resets inForceEverywhere if no running node serves that version
// any more. Nodes store nothing on disk, so only the platform has it then.
func (sim *simulation) resetIfLost() {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, m := range sim.fleet.members {
		if inst := m.current(); inst != nil && inst.table.Status().InForce >= sim.inForceEverywhere {
			return
		}
	}
	sim.inForceEverywhere = 0
}

func (sim *simulation) setFault(e event, dc string, on bool) {
	platform, change := sim.fleet.platform, -1
	if on {
		change = 1
	}
	switch e.kind {
	case eventPlatformDown:
		platform.set(func() { platform.down = on })
	case eventPlatformFrozen:
		platform.freeze(on)
	case eventPlatformHangs:
		platform.set(func() { platform.hang = on })
	case eventPlatformStaleReads:
		platform.set(func() { platform.staleReads = on })
	case eventPartitionFromPlatform:
		sim.fleet.changePartition(dc, "platform", change)
	case eventPartitionFromOne:
		sim.fleet.changePartition(dc, fmt.Sprintf("dc%d", (e.dc+1)%fleetDataCentres), change)
	case eventPartitionFromAll:
		sim.fleet.changePartition(dc, "platform", change)
		for other := range fleetDataCentres {
			if other != e.dc {
				sim.fleet.changePartition(dc, fmt.Sprintf("dc%d", other), change)
			}
		}
	}
}

// TestFleetMachine applies random publishes, restarts and faults to a fleet. It
// checks that no node goes back to an older version, that the fleet converges
// once the faults have ended, and that reads stay within the budget.
func TestFleetMachine(t *testing.T) {
	property.CheckN(t, fleetChecks, func(rt *rapid.T) {
		events := drawEvents(rt)
		var err error
		synctest.Test(t, func(*testing.T) { err = simulate(events) })
		if err != nil {
			rt.Fatalf("%v\nevents: %+v", err, events)
		}
	})
}

// TestConvergesDuringPartition publishes a version during a network partition.
// A data centre that is still connected to another one must converge in the
// usual time; one that is fully disconnected keeps serving what it holds.
func TestConvergesDuringPartition(t *testing.T) {
	tests := map[string]struct {
		partitions [][2]string
		reached    bool
	}{
		"partitioned from the platform":                   {[][2]string{{"dc0", "platform"}}, true},
		"two partitioned from the platform":               {[][2]string{{"dc0", "platform"}, {"dc1", "platform"}}, true},
		"partitioned from the platform and a data centre": {[][2]string{{"dc0", "platform"}, {"dc0", "dc1"}}, true},
		"partitioned from everything":                     {[][2]string{{"dc0", "platform"}, {"dc0", "dc1"}, {"dc0", "dc2"}}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(fleetDataCentres, nodesPerDataCentre)
				for _, m := range f.members {
					m.start()
				}
				time.Sleep(2 * convergeBound)
				before := f.members[0].current().table.Status().InForce
				for _, p := range tt.partitions {
					f.changePartition(p[0], p[1], 1)
				}
				version := f.publishConfig(false)
				time.Sleep(convergeBound)
				for _, m := range f.members {
					want := version
					if m.dc == "dc0" && !tt.reached {
						want = before
					}
					inst := m.current()
					require.Equal(t, want, inst.table.Status().InForce, m.name)
					require.NotNil(t, inst.follower.Snapshot(), "%s keeps serving", m.name)
					m.kill()
				}
			})
		})
	}
}
