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

// fakeSource is one node's access to a store, which can be made unavailable to
// that node.
type fakeSource struct {
	// mu is shared by all sources of a store.
	mu          *sync.Mutex
	store       *fakeStore
	unavailable bool
	// silent makes calls fail only when their client gives up.
	silent bool
	calls  int
	// calledAt holds the times of the calls that reached the store.
	calledAt []time.Time
	// historyLost makes the next watch fail with ErrHistoryLost.
	historyLost bool
	// cuts is the number of calls that are cut before one succeeds.
	cuts int
	// silences counts how often the open connections went silent for good.
	// idleSilent is set while an idle connection is silent.
	silences   int
	idleSilent bool
	// watchesSilent is set while watches get no response.
	watchesSilent bool
	// staleRevision is the revision of reads that may be out of date, 0 for the newest.
	staleRevision vanillabarrow.Version
	// probeSilent is set while the connection of probes is silent.
	probeSilent bool
	probes      int
	// responseTime is how long the response of a watch with a change takes to arrive.
	responseTime time.Duration
}

// lateAfter is the time after the requested wait at which a client notices that its
// connection is silent.
const lateAfter = 700 * time.Millisecond

// silenceConnections makes the connections silent that are open now, also the idle
// ones. New ones work.
func (s *fakeSource) silenceConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silences++
	s.idleSilent, s.probeSilent = true, true
}

// beginCall returns the number of silences so far. A call over an idle connection
// that is silent is repeated over a new one.
func (s *fakeSource) beginCall(ctx context.Context) int {
	s.mu.Lock()
	wasSilent := s.idleSilent
	s.idleSilent = false
	s.mu.Unlock()
	if wasSilent {
		sleep.For(ctx, lateAfter)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silences
}

// wentSilent reports whether the connection of a call is silent.
func (s *fakeSource) wentSilent(silences int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silences == silences {
		return false
	}
	// The call's own connection was the open one.
	s.idleSilent = false
	return true
}

// silentCallTime is how long a client waits for a response beyond the wait that it
// requested.
const silentCallTime = 1500 * time.Millisecond

// count notes a call with the lock held.
func (s *fakeSource) count() {
	s.calls++
	s.calledAt = append(s.calledAt, time.Now())
}

// isSilent reports whether calls get no response.
func (s *fakeSource) isSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent
}

func (s *fakeSource) hasSilentWatches() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watchesSilent
}

func (s *fakeSource) List(ctx context.Context, held vanillabarrow.Version) (*vanillabarrow.Delta, error) {
	if s.isSilent() {
		sleep.For(ctx, silentCallTime)
		return nil, vanillabarrow.ErrNoResponse
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count()
	if s.unavailable || s.store.away {
		return nil, errUnavailable
	}
	return s.store.label(s.store.delta(0, true), held), nil
}

func (s *fakeSource) Watch(ctx context.Context, r vanillabarrow.WatchRequest) (*vanillabarrow.Delta, error) {
	after, wait := r.After, r.Wait
	silences, start := s.beginCall(ctx), time.Now()
	for range 1 + wait/(100*time.Millisecond) {
		if s.wentSilent(silences) {
			sleep.For(ctx, time.Until(start.Add(wait+lateAfter)))
			return nil, cmp.Or(context.Cause(ctx), vanillabarrow.ErrNoResponse)
		}
		if s.isSilent() || s.hasSilentWatches() {
			sleep.For(ctx, wait+silentCallTime)
			return nil, cmp.Or(context.Cause(ctx), vanillabarrow.ErrNoResponse)
		}
		s.mu.Lock()
		if s.cuts > 0 {
			defer s.mu.Unlock()
			s.count()
			s.cuts--
			return nil, errUnavailable
		}
		if s.unavailable || s.store.away || s.historyLost {
			defer s.mu.Unlock()
			s.count()
			if s.historyLost {
				s.historyLost = false
				return nil, vanillabarrow.ErrHistoryLost
			}
			return nil, errUnavailable
		}
		if s.store.lacks(after) {
			defer s.mu.Unlock()
			s.count()
			return nil, vanillabarrow.ErrHistoryLost
		}
		if s.store.revision > rawVersion(after) {
			s.count()
			d, responseTime := s.store.label(s.store.delta(rawVersion(after), false), after), s.responseTime
			s.mu.Unlock()
			if r.OnBegin != nil {
				r.OnBegin()
			}
			if !sleep.For(ctx, responseTime) {
				return nil, context.Cause(ctx)
			}
			return d, nil
		}
		s.mu.Unlock()
		if !sleep.For(ctx, 100*time.Millisecond) {
			return nil, context.Cause(ctx)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count()
	return s.store.label(s.store.delta(rawVersion(after), false), after), nil
}

func (s *fakeSource) Probe(ctx context.Context, r vanillabarrow.ProbeRequest) (vanillabarrow.Version, error) {
	s.mu.Lock()
	silent, unavailable, probeSilent := s.silent, s.unavailable || s.store.away, s.probeSilent
	revision, era := s.store.revision, s.store.eraFor(r.Held)
	if !r.Exact && s.staleRevision > 0 {
		revision = s.staleRevision
	}
	if !r.Exact && s.store.staleFor > 0 {
		revision = s.store.revisionAt(time.Now().Add(-s.store.staleFor))
	}
	s.probes++
	s.probeSilent = false
	s.mu.Unlock()
	if silent || probeSilent {
		sleep.For(ctx, r.Timeout)
		return 0, vanillabarrow.ErrNoResponse
	}
	if unavailable {
		return 0, errUnavailable
	}
	return vanillabarrow.NewVersion(era, revision.Revision()), ctx.Err()
}

func (s *fakeSource) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

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
