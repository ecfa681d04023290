package discovery

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
	"github.com/vanillabarrow/vanillabarrow/internal/membership"
	"github.com/vanillabarrow/vanillabarrow/internal/sleep"
)

var errUnavailable = errors.New("unavailable")

// fakeCompiler makes a target of each item in effect, named by its key. The
// first letter of a VM's name is its data centre.
type fakeCompiler struct {
	vms []string
}

func (c fakeCompiler) Compile(items []vanillabarrow.Item, version vanillabarrow.Version, _ time.Time) (*vanillabarrow.Snapshot, []error) {
	s := &vanillabarrow.Snapshot{
		Version: version, Targets: map[string]*vanillabarrow.Target{}, VMs: map[string]*vanillabarrow.VM{},
		DataCentres: map[string]*vanillabarrow.DataCentre{"a": {Name: "a"}, "b": {Name: "b"}},
	}
	for _, vm := range c.vms {
		s.VMs[vm] = &vanillabarrow.VM{Name: vm, DataCentre: vm[:1], PeerAddress: vm}
	}
	for _, item := range items {
		if item.Expired {
			continue
		}
		s.Targets[item.Key] = &vanillabarrow.Target{Name: item.Key, Service: string(item.Value)}
	}
	return s, nil
}

// fakeRelay connects the followers of a test without a network.
type fakeRelay struct {
	servers map[string]*Server
	// uplinks holds the links over which nodes send, by address. A node without
	// one sends in no time.
	uplinks map[string]*slowLink
	// mu protects servers, cancels, silent and lateness.
	mu sync.Mutex
	// silent holds the nodes whose messages don't arrive any more.
	silent map[string]bool
	// cancels ends the streams opened so far.
	cancels []context.CancelFunc
	// lateness is how long the deltas of a node are on their way, by address.
	lateness map[string]time.Duration
}

func (f *fakeRelay) Pull(ctx context.Context, address string, request vanillabarrow.ItemRequest) (*vanillabarrow.Delta, error) {
	server := f.server(address)
	if server == nil {
		return nil, errUnavailable
	}
	requestedAt := time.Now()
	d, err := server.Pull(request)
	if err != nil {
		return nil, err
	}
	d.RequestedAt = requestedAt
	sleep.For(ctx, f.latenessOf(address))
	return d, f.transmit(ctx, address, d)
}

func (f *fakeRelay) Follow(ctx context.Context, address string, request vanillabarrow.ItemRequest, receive func(*vanillabarrow.Delta) error) error {
	server := f.server(address)
	if server == nil {
		return errUnavailable
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.mu.Lock()
	f.cancels = append(f.cancels, cancel)
	f.mu.Unlock()
	requestedAt := time.Now()
	inFlight := &lateDeltas{receive: receive, cancel: cancel, deltas: make(chan lateDelta, maxLateDeltas), done: make(chan struct{})}
	go inFlight.run(ctx)
	err := server.Serve(ctx, "follower", request, func(d *vanillabarrow.Delta) error {
		if err := f.transmit(ctx, address, d); err != nil {
			return err
		}
		d.RequestedAt = requestedAt
		lateness := f.latenessOf(address)
		if lateness == 0 {
			return receive(d)
		}
		inFlight.deltas <- lateDelta{d, time.Now().Add(lateness)}
		return nil
	})
	cancel()
	<-inFlight.done
	return cmp.Or(inFlight.err, err)
}

// transmit waits until the sender's uplink has carried the delta.
func (f *fakeRelay) transmit(ctx context.Context, sender string, d *vanillabarrow.Delta) error {
	if f.isSilent(sender) {
		sleep.For(ctx, HeartbeatTimeout)
		return errUnavailable
	}
	uplink := f.uplinks[sender]
	if uplink == nil {
		return nil
	}
	return uplink.send(ctx, d.Size())
}

func (f *fakeRelay) server(address string) *Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.servers[address]
}

func (f *fakeRelay) isSilent(sender string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.silent[sender]
}

// silence keeps all messages of a node from arriving from now on.
func (f *fakeRelay) silence(sender string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.silent == nil {
		f.silent = map[string]bool{}
	}
	f.silent[sender] = true
}

// resume lets the messages of a node arrive again.
func (f *fakeRelay) resume(sender string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.silent, sender)
}

// disconnect ends all streams.
func (f *fakeRelay) disconnect() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, cancel := range f.cancels {
		cancel()
	}
	f.cancels = nil
}

// uplinkBytesPerSecond is 10 Mbit/s.
const uplinkBytesPerSecond = 10e6 / 8

// slowLink sends one message at a time, in the order of the calls.
type slowLink struct {
	// busy holds a value while a message is sent.
	busy chan struct{}
	// sent is the number of bytes sent so far.
	sent atomic.Int64
}

func (l *slowLink) send(ctx context.Context, size int) error {
	select {
	case l.busy <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-l.busy }()
	duration := time.Duration(float64(size) / uplinkBytesPerSecond * float64(time.Second))
	if !sleep.For(ctx, duration) {
		return ctx.Err()
	}
	l.sent.Add(int64(size))
	return nil
}

// valueOrder compares the numbers in the values of items, which their writers increase.
type valueOrder struct{}

// Supersedes implements vanillabarrow.ItemOrder.
func (valueOrder) Supersedes(newer, older vanillabarrow.Item) bool {
	n, errNewer := strconv.Atoi(string(newer.Value))
	o, errOlder := strconv.Atoi(string(older.Value))
	if newer.Removed || errNewer != nil || errOlder != nil {
		return true
	}
	return n > o || n == o && !older.Removed
}

// node is one follower with its server and its own source.
type node struct {
	follower *Follower
	source   *fakeSource
	pool     *kernel.Pool
}

func startNodes(t *testing.T, s *fakeStore) map[string]*node {
	return startFleet(t, s, &fakeRelay{}, []string{"a1", "a2", "b1"})
}

// startFleet starts a node on each of the VMs. Their peer addresses are the
// names of the VMs.
func startFleet(t *testing.T, s *fakeStore, relay *fakeRelay, vms []string) map[string]*node {
	return startLoggingFleet(t, s, relay, vms, discardLogs)
}

var discardLogs = slog.New(slog.DiscardHandler)

func startLoggingFleet(t *testing.T, s *fakeStore, relay *fakeRelay, vms []string, logger *slog.Logger) map[string]*node {
	nodes := newFleet(s, relay, vms, logger)
	startNodesOf(t, nodes)
	return nodes
}

// newFleet returns nodes that are not started.
func newFleet(s *fakeStore, relay *fakeRelay, vms []string, logger *slog.Logger) map[string]*node {
	relay.servers = map[string]*Server{}
	nodes := map[string]*node{}
	mu := &sync.Mutex{}
	for _, vm := range vms {
		nodes[vm] = newNode(&fakeSource{mu: mu, store: s}, relay, vm, vm, vms, logger)
	}
	return nodes
}

func startNodesOf(t *testing.T, nodes map[string]*node) {
	for _, n := range nodes {
		require.NoError(t, n.follower.Start())
	}
}

// newNode returns a node that has not started, and connects it to the others.
func newNode(source *fakeSource, relay *fakeRelay, vm, incarnation string, vms []string, logger *slog.Logger) *node {
	table := NewTable(incarnation, valueOrder{})
	n := &node{source: source, pool: kernel.NewPool(kernel.DefaultPoolConfig(), logger)}
	n.follower = NewFollower(Config{
		Table: table, Members: membership.New(vm, vm[:1], 1), Source: n.source, Compiler: fakeCompiler{vms: vms}, Relay: relay,
		Pool: n.pool, Logger: logger, Scope: tally.NoopScope, SelfAddress: vm, FleetSize: len(vms), ReadBudget: max(100, 10*len(vms)),
	})
	relay.mu.Lock()
	defer relay.mu.Unlock()
	relay.servers[vm] = NewServer(table, vanillabarrow.DefaultBounds(), logger, tally.NoopScope)
	return n
}

func stopNodes(nodes map[string]*node) {
	for _, n := range nodes {
		n.pool.Close()
	}
	synctest.Wait()
}

func (n *node) has(key string) bool {
	s := n.follower.Snapshot()
	return s != nil && s.Targets[key] != nil
}

// eraVersion returns the version of a revision in an era that the platform states.
func eraVersion(stated, revision uint64) vanillabarrow.Version {
	era, _ := vanillabarrow.NewEra(stated)
	return vanillabarrow.NewVersion(era, revision)
}
