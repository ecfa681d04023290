package discovery

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/random"
)

// restoreCosts prints the table of docs/CAPACITY.md.
var restoreCosts = flag.Bool("restore.costs", false, "print what a restore costs in fleets of 12 to 195 nodes")

const (
	// storeReadBudget is the number of reads a second that the users' store allows.
	storeReadBudget = 2000
	// restorePeriod is the time after a restore that its costs are counted for.
	restorePeriod = 10 * time.Second
)

// costMeter counts calls to the store and bytes between nodes.
type costMeter struct {
	mu    sync.Mutex
	calls map[string][]time.Time
	// bytes and remoteBytes count keys and values of deltas, remoteBytes those to another
	// data centre.
	bytes, remoteBytes int
	// storeBytes counts keys and values of the store's responses.
	storeBytes int
}

func (m *costMeter) countResponse(d *vanillabarrow.Delta, err error) (*vanillabarrow.Delta, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err == nil {
		m.storeBytes += d.Size()
	}
	return d, err
}

func (m *costMeter) countCall(kind string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls[kind] = append(m.calls[kind], time.Now())
}

func (m *costMeter) countDelta(sender, receiver string, d *vanillabarrow.Delta) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.bytes += d.Size()
	if sender[:1] != receiver[:1] {
		m.remoteBytes += d.Size()
	}
}

// meteredSource counts calls when they begin.
type meteredSource struct {
	vanillabarrow.ItemSource
	meter *costMeter
}

func (s meteredSource) List(ctx context.Context, held vanillabarrow.Version) (*vanillabarrow.Delta, error) {
	s.meter.countCall("list")
	d, err := s.ItemSource.List(ctx, held)
	return s.meter.countResponse(d, err)
}

func (s meteredSource) Watch(ctx context.Context, r vanillabarrow.WatchRequest) (*vanillabarrow.Delta, error) {
	s.meter.countCall("watch")
	d, err := s.ItemSource.Watch(ctx, r)
	return s.meter.countResponse(d, err)
}

func (s meteredSource) Probe(ctx context.Context, r vanillabarrow.ProbeRequest) (vanillabarrow.Version, error) {
	s.meter.countCall("probe")
	return s.ItemSource.Probe(ctx, r)
}

// meteredRelay counts the deltas that one node receives.
type meteredRelay struct {
	vanillabarrow.ItemRelay
	self  string
	meter *costMeter
}

func (r meteredRelay) Pull(ctx context.Context, address string, request vanillabarrow.ItemRequest) (*vanillabarrow.Delta, error) {
	d, err := r.ItemRelay.Pull(ctx, address, request)
	if err == nil {
		r.meter.countDelta(address, r.self, d)
	}
	return d, err
}

func (r meteredRelay) Follow(ctx context.Context, address string, request vanillabarrow.ItemRequest, receive func(*vanillabarrow.Delta) error) error {
	return r.ItemRelay.Follow(ctx, address, request, func(d *vanillabarrow.Delta) error {
		r.meter.countDelta(address, r.self, d)
		return receive(d)
	})
}

// restoreCost is what a period costs.
type restoreCost struct {
	lists, watches, probes int
	// peak100ms and peak1s are the listings and watches in the busiest 100 ms and second.
	peak100ms, peak1s              int
	bytes, remoteBytes, storeBytes int
	// inEra and inForce are the times from the restore until all nodes are in the later
	// era, and have a change made right after it in force.
	inEra, inForce time.Duration
}

// take returns the costs since the last call.
func (m *costMeter) take() restoreCost {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := restoreCost{
		lists: len(m.calls["list"]), watches: len(m.calls["watch"]), probes: len(m.calls["probe"]),
		bytes: m.bytes, remoteBytes: m.remoteBytes, storeBytes: m.storeBytes,
	}
	calls := slices.Concat(m.calls["list"], m.calls["watch"])
	slices.SortFunc(calls, time.Time.Compare)
	c.peak100ms, c.peak1s = peak(calls, 100*time.Millisecond), peak(calls, time.Second)
	m.calls, m.bytes, m.remoteBytes, m.storeBytes = map[string][]time.Time{}, 0, 0, 0
	return c
}

// peak returns the largest number of times within a window.
func peak(times []time.Time, window time.Duration) int {
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// costFleet is a fleet whose calls and deltas are counted.
type costFleet struct {
	store  *fakeStore
	nodes  map[string]*node
	vms    []string
	routes *routeTable
	meter  *costMeter
}

// newCostFleet returns a fleet of nodes that are not started.
func newCostFleet(size int) *costFleet {
	f := &costFleet{
		store: &fakeStore{values: map[string]string{}, stated: 1, reportsGaps: true}, nodes: map[string]*node{},
		routes: newRouteTable(routeCount), meter: &costMeter{calls: map[string][]time.Time{}},
	}
	relay, mu := &fakeRelay{servers: map[string]*Server{}}, &sync.Mutex{}
	for i := range size {
		f.vms = append(f.vms, fmt.Sprintf("%c%03d", "abc"[i%3], i))
	}
	for _, vm := range f.vms {
		source := &fakeSource{mu: mu, store: f.store}
		n := newNode(source, relay, vm, vm, f.vms, slog.New(slog.DiscardHandler))
		n.follower.Source, n.follower.Relay = meteredSource{source, f.meter}, meteredRelay{relay, vm, f.meter}
		f.nodes[vm] = n
		f.store.put("servers/"+vm, strings.Repeat("t", targetBytes))
	}
	f.store.put("op/config", f.routes.String())
	return f
}

// set changes the store.
func (f *costFleet) set(change func()) { f.nodes[f.vms[0]].source.set(change) }

// loseWrites makes changes, and restores the store without them once it was away for a
// time. It writes a change right after that.
func (f *costFleet) loseWrites(away, settled time.Duration) {
	c := f.store.backup()
	f.set(func() {
		f.routes.replaceLine(1)
		f.store.put("op/config", f.routes.String())
		f.store.put("servers/"+f.vms[1], strings.Repeat("u", targetBytes))
		f.store.write("servers/"+f.vms[2], true)
	})
	time.Sleep(settled)
	f.meter.take()
	f.set(func() { f.store.away = true })
	time.Sleep(away)
	f.set(func() {
		f.store.restore(c)
		f.store.away = false
		f.store.put("new", "1")
	})
}

// observe returns the times until all nodes are in the later era, and have the change in
// force, within a period.
func (f *costFleet) observe(period time.Duration) (inEra, inForce time.Duration) {
	at := time.Now()
	for time.Since(at) < period {
		time.Sleep(10 * time.Millisecond)
		if inEra == 0 && f.isEverywhere(func(n *node) bool { return n.follower.Table.AsOf().Era().Stated() == 2 }) {
			inEra = time.Since(at)
		}
		if inForce == 0 && f.isEverywhere(func(n *node) bool { return n.has("new") }) {
			inForce = time.Since(at)
		}
	}
	return inEra, inForce
}

func (f *costFleet) isEverywhere(is func(n *node) bool) bool {
	for _, n := range f.nodes {
		if !is(n) {
			return false
		}
	}
	return true
}

// requireRestoreCost plays a restore, and checks the calls and the time that it takes.
func requireRestoreCost(t *testing.T, f *costFleet, away, settled, period time.Duration) restoreCost {
	f.loseWrites(away, settled)
	inEra, inForce := f.observe(period)
	cost := f.meter.take()
	cost.inEra, cost.inForce = inEra, inForce
	require.LessOrEqual(t, cost.peak1s, storeReadBudget)
	require.Positive(t, inForce)
	require.LessOrEqual(t, inForce, vanillabarrow.DefaultBounds().ConfigApply)
	return cost
}

// TestRestoreStaysWithinReadBudget guards against a large fleet whose nodes all call the
// store at once when it comes back from a copy.
func TestRestoreStaysWithinReadBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer random.Seed(1)()
		f := newCostFleet(195)
		startNodesOf(t, f.nodes)
		defer stopNodes(f.nodes)
		time.Sleep(3 * time.Second)
		requireRestoreCost(t, f, 3*time.Second, time.Second, 3*time.Second)
	})
}

// TestRestoreCosts prints what a restore costs, with a calm period of the same length. It
// guards against a cost that only shows over a longer time.
func TestRestoreCosts(t *testing.T) {
	if !*restoreCosts {
		t.Skip("without -restore.costs")
	}
	for _, size := range []int{12, 60, 195} {
		for _, away := range []time.Duration{0, 3 * time.Second} {
			t.Run(fmt.Sprint(size, " nodes, away for ", away), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					defer random.Seed(1)()
					f := newCostFleet(size)
					startNodesOf(t, f.nodes)
					defer stopNodes(f.nodes)
					time.Sleep(settlingTime)
					f.meter.take()
					time.Sleep(restorePeriod + away)
					calm := f.meter.take()
					restored := requireRestoreCost(t, f, away, settlingTime, restorePeriod)
					t.Logf("calm %+v\nrestore %+v", calm, restored)
				})
			})
		}
	}
}
