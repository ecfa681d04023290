package relay_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
	"github.com/vanillabarrow/vanillabarrow/internal/membership"
	"github.com/vanillabarrow/vanillabarrow/internal/relay"
	"github.com/vanillabarrow/vanillabarrow/internal/rollout"
)

const (
	// fleetBudget is the platform's reads a second for the whole fleet.
	fleetBudget = 100
	// linkDelay is the time of one message between nodes.
	linkDelay = time.Millisecond
	// platformWait is what a watch waits at the platform.
	platformWait = 2 * time.Second
)

var (
	errCut  = errors.New("network is cut")
	errDown = errors.New("platform is down")
)

// fakePlatform is the platform with its faults, and an account of reads.
type fakePlatform struct {
	mu      sync.Mutex
	values  map[string][]vanillabarrow.Value
	frozen  map[string]vanillabarrow.Value
	changed chan struct{}
	down    bool
	hang    bool
	crossed bool
	reads   []time.Time
	next    vanillabarrow.Version
}

func newFakePlatform() *fakePlatform {
	return &fakePlatform{values: map[string][]vanillabarrow.Value{}, changed: make(chan struct{})}
}

func (p *fakePlatform) publish(key string, b []byte) vanillabarrow.Version {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.next++
	p.values[key] = append(p.values[key], vanillabarrow.Value{Key: key, Revision: p.next, Bytes: b})
	p.wake()
	return p.next
}

func (p *fakePlatform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// set changes a fault.
func (p *fakePlatform) set(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
	p.wake()
}

func (p *fakePlatform) freeze(on bool) {
	p.set(func() {
		p.frozen = nil
		if on {
			p.frozen = map[string]vanillabarrow.Value{}
			for key, values := range p.values {
				p.frozen[key] = values[len(values)-1]
			}
		}
	})
}

// look returns the value that a read sees now.
func (p *fakePlatform) look(key string) (*vanillabarrow.Value, <-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return nil, p.changed, errDown
	}
	if p.frozen != nil {
		v, ok := p.frozen[key]
		if !ok {
			return nil, p.changed, nil
		}
		return &v, p.changed, nil
	}
	values := p.values[key]
	if len(values) == 0 {
		return nil, p.changed, nil
	}
	v := values[len(values)-1]
	if p.crossed && len(p.reads)%2 == 0 && len(values) > 1 {
		v = values[len(values)-2]
	}
	return &v, p.changed, nil
}

// maxReads returns the largest number of reads in any second.
func (p *fakePlatform) maxReads() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	worst, first := 0, 0
	for i, at := range p.reads {
		for at.Sub(p.reads[first]) >= time.Second {
			first++
		}
		worst = max(worst, i-first+1)
	}
	return worst
}

// source is the platform as one data centre sees it.
type source struct {
	fleet *fleet
	dc    string
}

func (s *source) begin(ctx context.Context) error {
	p := s.fleet.platform
	p.mu.Lock()
	p.reads = append(p.reads, time.Now())
	hang := p.hang
	p.mu.Unlock()
	if s.fleet.isCut(s.dc, "platform") {
		<-ctx.Done()
		return errCut
	}
	if hang {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

func (s *source) Read(ctx context.Context, key string) (*vanillabarrow.Value, error) {
	if err := s.begin(ctx); err != nil {
		return nil, err
	}
	v, _, err := s.fleet.platform.look(key)
	if err == nil && v == nil {
		return nil, errDown
	}
	return v, err
}

func (s *source) Watch(ctx context.Context, key string, after vanillabarrow.Version) (*vanillabarrow.Value, error) {
	if err := s.begin(ctx); err != nil {
		return nil, err
	}
	timer := time.NewTimer(platformWait)
	defer timer.Stop()
	for {
		v, changed, err := s.fleet.platform.look(key)
		if err != nil || (v != nil && v.Revision > after) {
			return v, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// member is one node of the fleet, running or not.
type member struct {
	name    string
	dc      string
	fleet   *fleet
	mu      sync.Mutex
	running *running
}

// running is one life of a node.
type running struct {
	table    *rollout.Table
	follower *relay.Follower
	server   *relay.Server
	pool     *kernel.Pool
	life     context.Context
	cancel   context.CancelFunc
	held     vanillabarrow.Version
	inForce  vanillabarrow.Version
}

// fleet is a few data centres with their nodes and a platform.
type fleet struct {
	platform *fakePlatform
	members  []*member
	mu       sync.Mutex
	cuts     map[[2]string]int
	configs  int
}

func newFleet(dataCentres, nodes int) *fleet {
	f := &fleet{platform: newFakePlatform(), cuts: map[[2]string]int{}}
	for dc := range dataCentres {
		for n := range nodes {
			f.members = append(f.members, &member{name: fmt.Sprintf("vm-%d-%d", dc, n), dc: fmt.Sprintf("dc%d", dc), fleet: f})
		}
	}
	f.publishVMs()
	f.publishConfig(false)
	return f
}

// publishConfig publishes a version; a bad one refers to what is not there.
func (f *fleet) publishConfig(bad bool) vanillabarrow.Version {
	text := "kind: config\nschema: 1\nregions: [{name: r}]\n"
	if bad {
		text += "routes: [{name: a, pathPrefix: /a, service: absent}]\n"
	}
	f.mu.Lock()
	f.configs++
	text += fmt.Sprintf("# %d\n", f.configs)
	f.mu.Unlock()
	return f.platform.publish(string(vanillabarrow.TopicConfig), []byte(text))
}

func (f *fleet) publishVMs() {
	list := vanillabarrow.VMList{}
	for _, m := range f.members {
		list.VMs = append(list.VMs, vanillabarrow.VMEntry{
			Name: m.name, DataCentre: m.dc, PeerAddress: m.name, State: vanillabarrow.VMLive,
		})
	}
	b, err := json.Marshal(list)
	if err != nil {
		panic(err)
	}
	f.platform.publish(string(vanillabarrow.TopicVMs), b)
}

// cut separates two places, "platform" being one, or joins them again.
func (f *fleet) cut(a, b string, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cuts[[2]string{min(a, b), max(a, b)}] += n
}

func (f *fleet) isCut(a, b string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cuts[[2]string{min(a, b), max(a, b)}] > 0
}

func (f *fleet) member(address string) *member {
	i := slices.IndexFunc(f.members, func(m *member) bool { return m.name == address })
	if i < 0 {
		return nil
	}
	return f.members[i]
}

func (m *member) start() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.running != nil {
		return
	}
	logger := slog.New(slog.DiscardHandler)
	r := &running{table: rollout.New(), pool: kernel.NewPool(kernel.DefaultPoolConfig(), logger)}
	r.life, r.cancel = context.WithCancel(context.Background())
	r.server = relay.NewServer(r.table)
	r.follower = relay.New(relay.Config{
		Table: r.table, Members: membership.New(m.name, m.dc), Source: &source{m.fleet, m.dc},
		Relay: &wire{from: m}, Pool: r.pool, Logger: logger, Scope: tally.NoopScope,
		Seeds: []string{m.fleet.members[0].name, m.fleet.members[len(m.fleet.members)-1].name},
		Self:  m.name, FleetSize: len(m.fleet.members), ReadBudget: fleetBudget,
	})
	if err := r.follower.Start(); err != nil {
		panic(err)
	}
	m.running = r
}

// kill ends the node without notice.
func (m *member) kill() {
	m.mu.Lock()
	r := m.running
	m.running = nil
	m.mu.Unlock()
	if r != nil {
		r.cancel()
		r.pool.Close()
	}
}

func (m *member) current() *running {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.running
}

// wire is the network between nodes as one of them sees it.
type wire struct {
	from *member
}

// reach returns the node at the address, if it can be reached.
func (w *wire) reach(ctx context.Context, address string) (*running, *member, error) {
	m := w.from.fleet.member(address)
	if m == nil {
		return nil, nil, errCut
	}
	if w.from.fleet.isCut(w.from.dc, m.dc) {
		<-ctx.Done()
		return nil, nil, errCut
	}
	timer := time.NewTimer(linkDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return nil, nil, ctx.Err()
	}
	r := m.current()
	if r == nil {
		return nil, nil, errCut
	}
	return r, m, nil
}

func (w *wire) Peek(ctx context.Context, address string) (map[vanillabarrow.Topic]vanillabarrow.Version, error) {
	r, _, err := w.reach(ctx, address)
	if err != nil {
		return nil, err
	}
	return r.server.Peek(), nil
}

func (w *wire) Fetch(ctx context.Context, address string, held vanillabarrow.Held) (*vanillabarrow.Update, error) {
	r, _, err := w.reach(ctx, address)
	if err != nil {
		return nil, err
	}
	return r.server.Fetch(held)
}

// stream is one open stream between two nodes.
type stream struct {
	messages chan vanillabarrow.Heartbeat
	ended    chan error
}

func (s *stream) run(ctx context.Context, server *relay.Server, held []vanillabarrow.Held, announceOnly bool) {
	s.ended <- server.Serve(ctx, held, announceOnly, func(beat vanillabarrow.Heartbeat) error {
		select {
		case s.messages <- beat:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	})
}

func (w *wire) Watch(ctx context.Context, address string, held []vanillabarrow.Held, announceOnly bool, receive func(vanillabarrow.Heartbeat) error) error {
	dial, stop := context.WithTimeout(ctx, time.Second)
	r, m, err := w.reach(dial, address)
	stop()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	context.AfterFunc(r.life, cancel)
	s := &stream{messages: make(chan vanillabarrow.Heartbeat), ended: make(chan error, 1)}
	go s.run(ctx, r.server, held, announceOnly)
	silence := time.NewTimer(relay.SilenceLimit)
	defer silence.Stop()
	for {
		select {
		case beat := <-s.messages:
			if w.from.fleet.isCut(w.from.dc, m.dc) {
				continue
			}
			silence.Reset(relay.SilenceLimit)
			if err := receive(beat); err != nil {
				return err
			}
		case err := <-s.ended:
			return err
		case <-silence.C:
			return errCut
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
