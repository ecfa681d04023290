package relay_test

import (
	"context"
	"encoding/json"
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
)

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
	r.follower = relay.NewFollower(relay.Config{
		Table: r.table, Members: membership.New(m.name, m.dc, membership.DefaultReaders), Source: &source{m.fleet, m.dc},
		Relay: &wire{from: m}, Pool: r.pool, Logger: logger, Scope: tally.NoopScope,
		Seeds:       []string{m.fleet.members[0].name, m.fleet.members[len(m.fleet.members)-1].name},
		SelfAddress: m.name, FleetSize: len(m.fleet.members), ReadBudget: fleetBudget,
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

func (w *wire) Fetch(ctx context.Context, address string, held vanillabarrow.TopicState) (*vanillabarrow.Update, error) {
	r, _, err := w.reach(ctx, address)
	if err != nil {
		return nil, err
	}
	return r.server.Fetch(held)
}

// stream is one open stream between two nodes.
type stream struct {
	messages chan vanillabarrow.StreamMessage
	ended    chan error
}

func (s *stream) run(ctx context.Context, server *relay.Server, held []vanillabarrow.TopicState, announceOnly bool) {
	s.ended <- server.Serve(ctx, held, announceOnly, func(beat vanillabarrow.StreamMessage) error {
		select {
		case s.messages <- beat:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	})
}

func (w *wire) Watch(ctx context.Context, address string, held []vanillabarrow.TopicState, announceOnly bool, receive func(vanillabarrow.StreamMessage) error) error {
	dial, stop := context.WithTimeout(ctx, time.Second)
	r, m, err := w.reach(dial, address)
	stop()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	context.AfterFunc(r.life, cancel)
	s := &stream{messages: make(chan vanillabarrow.StreamMessage), ended: make(chan error, 1)}
	go s.run(ctx, r.server, held, announceOnly)
	silence := time.NewTimer(relay.HeartbeatTimeout)
	defer silence.Stop()
	for {
		select {
		case beat := <-s.messages:
			if w.from.fleet.isCut(w.from.dc, m.dc) {
				continue
			}
			silence.Reset(relay.HeartbeatTimeout)
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
