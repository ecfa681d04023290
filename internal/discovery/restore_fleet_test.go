package discovery

import (
	"flag"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillabarrow/vanillabarrow/internal/random"
)

// restoreSeeds is the number of random days of TestRestoresBesideFaults.
var restoreSeeds = flag.Uint64("restore.seeds", 6, "number of seeds of TestRestoresBesideFaults")

const (
	// troubleTime is the time within which restores and faults begin.
	troubleTime = 20 * time.Second
	// noticeTime is the time without writes after a restore that the store does not
	// announce. Writes make the revision higher than the one that was held.
	noticeTime = 2500 * time.Millisecond
	// repeatTime is the time within which writers repeat what a restore lost.
	repeatTime = 2 * time.Second
	// troubleEnd is the time after the last fault after which changes are in force within
	// the bound: a silent call, the longest backoff and the call after it.
	troubleEnd = 4 * time.Second
)

// seenKey is what a node had in force of one key.
type seenKey struct {
	value   int
	present bool
	// removed is the highest value that the node knew as removed.
	removed int
}

// faultyFleet is a fleet beside a store that is restored, with random faults.
type faultyFleet struct {
	*testing.T
	seed  uint64
	rand  *rand.Rand
	store *fakeStore
	relay *fakeRelay
	vms   []string
	// announces is set if the store states its era.
	announces bool
	// unannounced holds a value during a restore that the store does not announce: a copy with
	// a higher revision than the store would look like writes.
	unannounced chan struct{}
	// away is the number of restores during which the store is away.
	away int
	// quietUntil is until when there are no writes.
	quietUntil time.Time

	// mu protects what follows.
	mu    sync.Mutex
	nodes map[string]*node
	// last holds the last value written to each key, removed whether it was removed
	// after that.
	last    map[string]int
	removed map[string]bool
	seen    map[string]map[string]seenKey
	starts  int
	err     error
}

func newFaultyFleet(t *testing.T, seed uint64) *faultyFleet {
	f := &faultyFleet{
		T: t, seed: seed, rand: rand.New(rand.NewPCG(seed, seed)), relay: &fakeRelay{}, unannounced: make(chan struct{}, 1),
		last: map[string]int{}, removed: map[string]bool{}, seen: map[string]map[string]seenKey{},
	}
	f.store = &fakeStore{values: map[string]string{}, stated: f.rand.Uint64N(3), reportsGaps: f.rand.IntN(2) == 0}
	f.announces = f.store.stated > 0
	for _, dataCentre := range []string{"a", "b", "c"} {
		for i := range 4 {
			f.vms = append(f.vms, fmt.Sprint(dataCentre, i))
		}
	}
	f.nodes = startFleet(t, f.store, f.relay, f.vms)
	for range 6 {
		f.write()
	}
	return f
}

// set changes the store or the access of nodes to it.
func (f *faultyFleet) set(change func()) { f.node(f.vms[0]).source.set(change) }

func (f *faultyFleet) node(vm string) *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[vm]
}

// between returns a random time.
func (f *faultyFleet) between(from, to time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return from + time.Duration(f.rand.Int64N(int64(to-from)))
}

// intN returns a random number below n.
func (f *faultyFleet) intN(n int) int { return int(f.between(0, time.Duration(n))) }

// write writes or removes a random key, unless the store is away.
func (f *faultyFleet) write() {
	f.set(func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		key := fmt.Sprint("key", f.rand.IntN(6))
		switch {
		case f.away > 0 || time.Now().Before(f.quietUntil):
		case f.rand.IntN(4) == 0 && f.store.values[key] != "":
			f.store.write(key, true)
			f.removed[key] = true
		default:
			f.last[key]++
			f.removed[key] = false
			f.store.put(key, strconv.Itoa(f.last[key]))
		}
	})
}

// loopWrite writes now and then, until done is closed.
func (f *faultyFleet) loopWrite(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(f.between(50*time.Millisecond, 800*time.Millisecond)):
			f.write()
		}
	}
}

// restore makes a copy, and restores the store from it later. The writers then repeat what
// was lost.
func (f *faultyFleet) restore() {
	if !f.announces {
		f.unannounced <- struct{}{}
		defer func() { <-f.unannounced }()
	}
	var c fakeStore
	f.set(func() { c = f.store.backup() })
	time.Sleep(f.between(time.Second, 6*time.Second))
	f.set(func() { f.away++; f.store.away = true })
	time.Sleep(f.between(0, 3*time.Second))
	var quietUntil time.Time
	f.set(func() {
		f.store.restore(c.backup())
		f.away--
		f.store.away = f.away > 0
		if !f.announces {
			f.quietUntil = time.Now().Add(noticeTime)
		}
		quietUntil = f.quietUntil
	})
	time.Sleep(time.Until(quietUntil))
	time.Sleep(f.between(0, repeatTime))
	f.set(f.repeat)
}

// repeat is called with the lock of the sources held.
func (f *faultyFleet) repeat() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for key, last := range f.last {
		value := f.store.values[key]
		switch {
		case f.removed[key] && value != "":
			f.store.write(key, true)
		case !f.removed[key] && value != strconv.Itoa(last):
			f.store.put(key, strconv.Itoa(last))
		}
	}
}

// disturb lets something happen to one node, or to a data centre, for a while.
func (f *faultyFleet) disturb(kind int, vms []string) {
	length := f.between(100*time.Millisecond, 8*time.Second)
	for _, vm := range vms {
		switch n := f.node(vm); kind {
		case 0:
			n.source.set(func() { n.source.unavailable = true })
		case 1:
			n.source.set(func() { n.source.silent = true })
		case 2:
			n.source.set(func() { n.source.silent = true })
			f.relay.silence(vm)
		case 3:
			f.relay.silence(vm)
			n.pool.Close()
		}
	}
	time.Sleep(length)
	for _, vm := range vms {
		n := f.node(vm)
		n.source.set(func() { n.source.unavailable, n.source.silent = false, false })
		if kind == 3 {
			f.start(vm, n.source)
		}
		f.relay.resume(vm)
	}
}

// start starts a node again, which then holds nothing.
func (f *faultyFleet) start(vm string, source *fakeSource) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.starts++
	n := newNode(source, f.relay, vm, fmt.Sprint(vm, " again ", f.starts), f.vms, slog.New(slog.DiscardHandler))
	f.nodes[vm] = n
	delete(f.seen, vm)
	if err := n.follower.Start(); err != nil {
		f.err = err
	}
}

// trouble plays restores and faults, of which no two concern the same node.
func (f *faultyFleet) trouble() {
	var wg sync.WaitGroup
	at := func(do func()) {
		delay := f.between(0, troubleTime)
		wg.Go(func() { time.Sleep(delay); do() })
	}
	for range 1 + f.intN(3) {
		at(f.restore)
	}
	vms := slices.Clone(f.vms)
	if f.intN(2) == 0 {
		away := vms[8:]
		vms = vms[:8]
		kind := f.intN(3)
		at(func() { f.disturb(kind, away) })
	}
	for range f.intN(6) {
		i, kind := f.intN(len(vms)), f.intN(4)
		vm := vms[i]
		vms = slices.Delete(vms, i, i+1)
		at(func() { f.disturb(kind, []string{vm}) })
	}
	wg.Wait()
}

// loopSample checks that no node goes back, until done is closed.
func (f *faultyFleet) loopSample(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(20 * time.Millisecond):
			f.sample()
		}
	}
}

func (f *faultyFleet) sample() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for vm, n := range f.nodes {
		s := n.follower.Snapshot()
		if s == nil {
			continue
		}
		seen := f.seen[vm]
		if seen == nil {
			seen = map[string]seenKey{}
			f.seen[vm] = seen
		}
		for key := range f.last {
			k := seen[key]
			if target := s.Targets[key]; target != nil {
				value, _ := strconv.Atoi(target.Service)
				if (value < k.value || value <= k.removed) && f.err == nil {
					f.err = fmt.Errorf("%s at %s has %s %d, had %d, removed %d", vm, s.Version, key, value, k.value, k.removed)
				}
				k.value, k.present = value, true
			} else if k.present {
				k.present = false
				if f.removed[key] && !n.takesForLost(key) {
					k.removed = k.value
				}
			}
			seen[key] = k
		}
	}
}

// takesForLost reports whether the node can't know that an item was removed, as it heard
// nothing between the restore and the removal.
func (n *node) takesForLost(key string) bool {
	table := n.follower.Table
	table.mu.Lock()
	defer table.mu.Unlock()
	e := table.entries[key]
	return e == nil || e.inEffect().Lost
}

// requireChanges checks that changes are in force everywhere within the bound.
func (f *faultyFleet) requireChanges() {
	for i := range 5 {
		key := fmt.Sprint("new", i)
		f.set(func() { f.store.put(key, "1") })
		time.Sleep(f.nodes[f.vms[0]].follower.Bounds.ConfigApply)
		for _, vm := range f.vms {
			require.True(f, f.nodes[vm].has(key), "seed %d: %s at %s, which holds %s", f.seed, key, vm, f.nodes[vm].follower.Table.AsOf())
		}
	}
}

// TestRestoresBesideFaults guards against nodes that go back, or don't follow any more,
// after restores beside disconnected, silent and restarted nodes.
func TestRestoresBesideFaults(t *testing.T) {
	for seed := range *restoreSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				defer random.Seed(seed)()
				f := newFaultyFleet(t, seed)
				defer func() { stopNodes(f.nodes) }()
				time.Sleep(5 * time.Second)
				done := make(chan struct{})
				var wg sync.WaitGroup
				wg.Go(func() { f.loopSample(done) })
				wg.Go(func() { f.loopWrite(done) })
				f.trouble()
				time.Sleep(troubleEnd)
				f.set(f.repeat)
				f.requireChanges()
				close(done)
				wg.Wait()
				require.NoError(t, f.err, "seed %d", seed)
				require.LessOrEqual(t, maxCallsPerSecond(f.nodes), f.nodes[f.vms[0]].follower.ReadBudget)
			})
		})
	}
}

// TestLostItemStaysInForce guards against an item that the copy lacks which goes out of
// force before its writer can write it again, or stays for long.
func TestLostItemStaysInForce(t *testing.T) {
	tests := map[string]struct {
		away time.Duration
	}{
		"store not away":            {0},
		"store away for 1 s":        {time.Second},
		"store away for 3 s":        {3 * time.Second},
		"store away for 10 seconds": {10 * time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startRestoredFleet(t, &fakeStore{stated: 1, reportsGaps: true})
				defer stopNodes(f.nodes)
				c := f.store.backup()
				f.set(func() { f.store.write("came", false) })
				f.requireWithin("came", true, "before the restore")
				f.set(func() { f.store.away = true })
				time.Sleep(tt.away)
				f.set(func() { f.store.restore(c); f.store.away = false })
				time.Sleep(repeatTime)
				for vm, n := range f.nodes {
					require.True(t, n.has("came"), "%s at %s", vm, n.follower.Table.AsOf())
				}
				time.Sleep(backoffMax + outageGracePeriod)
				for vm, n := range f.nodes {
					require.False(t, n.has("came"), "%s at %s", vm, n.follower.Table.AsOf())
				}
			})
		})
	}
}
