// Package mesh runs a whole deployment in one process: the platform and target
// stand-ins, and real nodes on loopback sockets.
package mesh

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/inventory"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
	"github.com/vanillabarrow/vanillabarrow/internal/node"
	"github.com/vanillabarrow/vanillabarrow/internal/settings"
	"github.com/vanillabarrow/vanillabarrow/internal/standin"
)

const (
	loopback = "127.0.0.1:0"
	// pollInterval is the period at which the mesh looks at its nodes.
	pollInterval = 2 * time.Millisecond
	// seedNodes is the number of nodes that every node is told of.
	seedNodes = 3
	// coldSlots and warmAfter shape the cold start of targets.
	coldSlots = 2
	warmAfter = 10
	// connectCost and collapseFor follow the description of the targets.
	connectCost = time.Millisecond
	collapseFor = time.Second
)

// Member is one node with its target.
type Member struct {
	Placement *standin.Placement
	Target    *standin.Target
	Node      *node.Node
	Settings  settings.Settings
	listeners kernel.Listeners
	server    *http.Server
	listener  net.Listener
}

// Mesh is one running deployment.
type Mesh struct {
	Deployment standin.Deployment
	Platform   *standin.Platform
	Members    []*Member

	// Limiter and Balancer replace the settings' defaults when not empty.
	Limiter  string
	Balancer string

	logger         *slog.Logger
	platformServer *http.Server
	platformURL    string
	wg             sync.WaitGroup
}

// server runs one HTTP server of a stand-in.
type server struct {
	http     *http.Server
	listener net.Listener
	wg       *sync.WaitGroup
}

func (s *server) run() {
	defer s.wg.Done()
	_ = s.http.Serve(s.listener)
}

func (m *Mesh) serve(h *http.Server, l net.Listener) {
	m.wg.Add(1)
	s := &server{http: h, listener: l, wg: &m.wg}
	go s.run()
}

// Start starts a deployment and waits until every node is ready. The caller
// stops the mesh, also after an error.
func Start(ctx context.Context, d standin.Deployment, logger *slog.Logger) (*Mesh, error) {
	m := New(d, logger)
	return m, m.Start(ctx)
}

// New returns a mesh that is not started.
func New(d standin.Deployment, logger *slog.Logger) *Mesh {
	return &Mesh{Deployment: d, Platform: standin.NewPlatform(), logger: logger}
}

// Start starts the mesh and waits until every node is ready.
func (m *Mesh) Start(ctx context.Context) error {
	if err := m.startPlatform(); err != nil {
		return err
	}
	for _, placement := range m.Deployment.Placements() {
		member, err := m.prepare(placement)
		if err != nil {
			return err
		}
		m.Members = append(m.Members, member)
	}
	m.PublishVMs(nil)
	m.Publish(inventory.OutOfService{})
	for _, member := range m.Members {
		if err := m.startNode(ctx, member); err != nil {
			return err
		}
	}
	return m.waitReady(ctx)
}

func (m *Mesh) startPlatform() error {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return eris.Wrap(err, "platform stand-in")
	}
	m.platformServer = &http.Server{Handler: m.Platform.Handler(), ReadHeaderTimeout: time.Second}
	m.platformURL = "http://" + l.Addr().String()
	m.serve(m.platformServer, l)
	return nil
}

// prepare opens the listeners of a placement, so that its addresses are known.
func (m *Mesh) prepare(placement *standin.Placement) (*Member, error) {
	member := &Member{Placement: placement}
	var err error
	if member.listener, err = net.Listen("tcp", loopback); err != nil {
		return nil, eris.Wrap(err, "target stand-in")
	}
	s := settings.Default()
	s.Listen = settings.Listen{Caller: loopback, Peer: loopback, Operator: loopback}
	if member.listeners, err = node.Listen(s); err != nil {
		_ = member.listener.Close()
		return nil, err
	}
	placement.TargetAddress = member.listener.Addr().String()
	placement.CallerAddress = member.listeners.Caller.Addr().String()
	placement.PeerAddress = member.listeners.Peer.Addr().String()
	placement.OperatorAddress = member.listeners.Operator.Addr().String()
	member.Target = standin.NewTarget(standin.TargetConfig{
		Name:                 placement.Target,
		Slots:                placement.Slots,
		Connections:          placement.Connections,
		ConnectDelay:         connectCost,
		ServiceTime:          m.Deployment.ServiceTime,
		ColdSlots:            coldSlots,
		ResponsesPerWarmSlot: warmAfter,
		CollapseDuration:     collapseFor,
	})
	member.server = member.Target.Server()
	m.serve(member.server, member.listener)
	return member, nil
}

func (m *Mesh) startNode(ctx context.Context, member *Member) error {
	s := settings.Default()
	s.Node = settings.Node{VM: member.Placement.VM, DataCentre: member.Placement.DataCentre, Target: member.Placement.Target}
	s.Limiter = cmp.Or(m.Limiter, s.Limiter)
	s.Balancer = cmp.Or(m.Balancer, s.Balancer)
	s.Platform.URL = m.platformURL
	s.Platform.FleetSize = len(m.Members)
	for _, other := range m.Members[:min(seedNodes, len(m.Members))] {
		s.Seeds = append(s.Seeds, other.Placement.PeerAddress)
	}
	member.Settings = s
	n, err := node.New(s, member.listeners, m.logger.With("vm", member.Placement.VM))
	if err != nil {
		return err
	}
	if err := n.Start(ctx); err != nil {
		return err
	}
	member.Node = n
	return nil
}

// Publish publishes the configuration with the given parts taken out and
// returns its version.
func (m *Mesh) Publish(out inventory.OutOfService) vanillabarrow.Version {
	placements := make([]*standin.Placement, len(m.Members))
	for i, member := range m.Members {
		placements[i] = member.Placement
	}
	doc := m.Deployment.Document(placements, out)
	return vanillabarrow.Version(m.Platform.Publish(string(vanillabarrow.TopicConfig), standin.Marshal(doc)))
}

// PublishVMs publishes the VM list; VMs without a state are live.
func (m *Mesh) PublishVMs(states map[string]vanillabarrow.VMState) {
	placements := make([]*standin.Placement, len(m.Members))
	for i, member := range m.Members {
		placements[i] = member.Placement
	}
	b, err := json.Marshal(standin.VMList(placements, states))
	if err != nil {
		// A VM list holds plain values only.
		panic(err)
	}
	m.Platform.Publish(string(vanillabarrow.TopicVMs), b)
}

func (m *Mesh) waitReady(ctx context.Context) error {
	return m.wait(ctx, func(member *Member) bool { return member.Node.Status().Ready })
}

// WaitVersion waits until every running node serves the version and returns
// how long each took, counted from the call.
func (m *Mesh) WaitVersion(ctx context.Context, version vanillabarrow.Version) ([]time.Duration, error) {
	start := time.Now()
	times := map[*Member]time.Duration{}
	err := m.wait(ctx, func(member *Member) bool {
		if member.Node.Status().Version < version {
			return false
		}
		if _, ok := times[member]; !ok {
			times[member] = time.Since(start)
		}
		return true
	})
	var all []time.Duration
	for _, t := range times {
		all = append(all, t)
	}
	return all, err
}

// wait polls until the condition holds for every running node.
func (m *Mesh) wait(ctx context.Context, holds func(member *Member) bool) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		missing := 0
		for _, member := range m.Members {
			if member.Node != nil && !holds(member) {
				missing++
			}
		}
		if missing == 0 {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("%d of %d nodes are behind: %w", missing, len(m.Members), ctx.Err())
		}
	}
}

// CallerAddresses returns the caller addresses of the running nodes.
func (m *Mesh) CallerAddresses() []string {
	var addresses []string
	for _, member := range m.Members {
		if member.Node != nil {
			addresses = append(addresses, member.Placement.CallerAddress)
		}
	}
	return addresses
}

// Runs returns how often each request ran at all targets together.
func (m *Mesh) Runs() map[string]int {
	runs := map[string]int{}
	for _, member := range m.Members {
		for id, n := range member.Target.Runs() {
			runs[id] += n
		}
	}
	return runs
}

// StopNode stops one node in order.
func (m *Mesh) StopNode(ctx context.Context, member *Member) error {
	n := member.Node
	member.Node = nil
	return n.Stop(ctx)
}

// stopper stops one member.
type stopper struct {
	mesh   *Mesh
	member *Member
	errs   chan error
}

func (s *stopper) run(ctx context.Context) { s.errs <- s.mesh.StopNode(ctx, s.member) }

// Stop stops all nodes in order and then the stand-ins.
func (m *Mesh) Stop(ctx context.Context) error {
	errs := make(chan error, len(m.Members))
	running := 0
	for _, member := range m.Members {
		if member.Node == nil {
			node.CloseListeners(member.listeners)
			continue
		}
		running++
		s := &stopper{m, member, errs}
		go s.run(ctx)
	}
	var failed []error
	for range running {
		failed = append(failed, <-errs)
	}
	for _, member := range m.Members {
		_ = member.server.Close()
	}
	if m.platformServer != nil {
		_ = m.platformServer.Close()
	}
	m.wg.Wait()
	return errors.Join(failed...)
}

// ControlBytes returns the bytes of all control connections so far, counted
// at the sides that opened them.
func (m *Mesh) ControlBytes() uint64 {
	var n uint64
	for _, member := range m.Members {
		if member.Node != nil {
			s := member.Node.Status()
			n += s.ControlReceived + s.ControlSent
		}
	}
	return n
}
