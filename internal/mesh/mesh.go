// Package mesh runs an entire deployment in one process: a simulated platform,
// simulated targets, and real nodes on loopback sockets.
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
	// pollInterval is the interval at which waitFor reads the status of the
	// nodes.
	pollInterval = 2 * time.Millisecond
	// seedNodes is the number of nodes in the seeds setting of every node.
	seedNodes = 3
	// coldSlots and responsesPerWarmSlot define the cold start of the targets.
	coldSlots            = 2
	responsesPerWarmSlot = 10
	// connectDelay and collapseDuration are taken from the description of the
	// organisations' targets.
	connectDelay     = time.Millisecond
	collapseDuration = time.Second
)

// Member is one node and its simulated target. Node is nil unless the node is
// running. The field listeners holds those of the node, while server and
// listener belong to the target.
type Member struct {
	Placement *standin.Placement
	Target    *standin.Target
	Node      *node.Node
	Settings  settings.Settings
	listeners kernel.Listeners
	server    *http.Server
	listener  net.Listener
}

// Mesh is a deployment that runs in this process.
type Mesh struct {
	Deployment standin.Deployment
	Platform   *standin.Platform
	Members    []*Member

	// Limiter and Balancer override the defaults of the settings unless empty.
	// They must be set before Start.
	Limiter  string
	Balancer string

	logger         *slog.Logger
	platformServer *http.Server
	platformURL    string
	wg             sync.WaitGroup
}

// server serves the HTTP requests to a simulated platform or target.
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

// Start creates a mesh, starts it and waits until every node is ready. The
// caller must stop the returned mesh, also after an error.
func Start(ctx context.Context, d standin.Deployment, logger *slog.Logger) (*Mesh, error) {
	m := New(d, logger)
	return m, m.Start(ctx)
}

// New returns a Mesh that has not been started.
func New(d standin.Deployment, logger *slog.Logger) *Mesh {
	return &Mesh{Deployment: d, Platform: standin.NewPlatform(), logger: logger}
}

// Start starts the mesh and waits until every node is ready. The caller must
// stop the mesh, also after an error.
func (m *Mesh) Start(ctx context.Context) error {
	if err := m.startPlatform(); err != nil {
		return err
	}
	for _, placement := range m.Deployment.Placements() {
		member, err := m.newMember(placement)
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
		return eris.Wrap(err, "listen for simulated platform")
	}
	m.platformServer = &http.Server{Handler: m.Platform.Handler(), ReadHeaderTimeout: time.Second}
	m.platformURL = "http://" + l.Addr().String()
	m.serve(m.platformServer, l)
	return nil
}

// newMember opens the listeners of a target and its node, sets the addresses of
// the placement and starts the target.
func (m *Mesh) newMember(placement *standin.Placement) (*Member, error) {
	member := &Member{Placement: placement}
	var err error
	if member.listener, err = net.Listen("tcp", loopback); err != nil {
		return nil, eris.Wrap(err, "listen for simulated target")
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
		ConnectDelay:         connectDelay,
		ServiceTime:          m.Deployment.ServiceTime,
		ColdSlots:            coldSlots,
		ResponsesPerWarmSlot: responsesPerWarmSlot,
		CollapseDuration:     collapseDuration,
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

// Publish publishes the configuration with the given data centres and targets
// out of service, and returns its version.
func (m *Mesh) Publish(outOfService inventory.OutOfService) vanillabarrow.Version {
	placements := make([]*standin.Placement, len(m.Members))
	for i, member := range m.Members {
		placements[i] = member.Placement
	}
	doc := m.Deployment.Document(placements, outOfService)
	return vanillabarrow.Version(m.Platform.Publish(string(vanillabarrow.TopicConfig), standin.Marshal(doc)))
}

// PublishVMs publishes the VM list. A VM that is not in states is live.
func (m *Mesh) PublishVMs(states map[string]vanillabarrow.VMState) {
	placements := make([]*standin.Placement, len(m.Members))
	for i, member := range m.Members {
		placements[i] = member.Placement
	}
	b, err := json.Marshal(standin.VMList(placements, states))
	if err != nil {
		// A VM list consists of values that always encode.
		panic(err)
	}
	m.Platform.Publish(string(vanillabarrow.TopicVMs), b)
}

func (m *Mesh) waitReady(ctx context.Context) error {
	return m.waitFor(ctx, func(member *Member) bool { return member.Node.Status().Ready })
}

// WaitVersion waits until every running node uses the version or a later one.
// It returns the time that each took since the call, in no particular order.
func (m *Mesh) WaitVersion(ctx context.Context, version vanillabarrow.Version) ([]time.Duration, error) {
	start := time.Now()
	times := map[*Member]time.Duration{}
	err := m.waitFor(ctx, func(member *Member) bool {
		if member.Node.Status().Version < version {
			return false
		}
		if _, ok := times[member]; !ok {
			times[member] = time.Since(start)
		}
		return true
	})
	var durations []time.Duration
	for _, t := range times {
		durations = append(durations, t)
	}
	return durations, err
}

// waitFor polls until the condition holds for every running node.
func (m *Mesh) waitFor(ctx context.Context, condition func(member *Member) bool) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		pending := 0
		for _, member := range m.Members {
			if member.Node != nil && !condition(member) {
				pending++
			}
		}
		if pending == 0 {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("%d of %d nodes did not reach the expected state: %w", pending, len(m.Members), ctx.Err())
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

// Runs returns the number of runs of each request at all targets together, by
// the request's id.
func (m *Mesh) Runs() map[string]int {
	runs := map[string]int{}
	for _, member := range m.Members {
		for id, n := range member.Target.Runs() {
			runs[id] += n
		}
	}
	return runs
}

// StopNode stops one node gracefully. Its target keeps running.
func (m *Mesh) StopNode(ctx context.Context, member *Member) error {
	n := member.Node
	member.Node = nil
	return n.Stop(ctx)
}

// stopper stops one node and sends the error to errs.
type stopper struct {
	mesh   *Mesh
	member *Member
	errs   chan error
}

func (s *stopper) run(ctx context.Context) { s.errs <- s.mesh.StopNode(ctx, s.member) }

// Stop stops all nodes gracefully and concurrently, and then the simulated
// targets and the simulated platform.
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
	var stopErrs []error
	for range running {
		stopErrs = append(stopErrs, <-errs)
	}
	for _, member := range m.Members {
		_ = member.server.Close()
	}
	if m.platformServer != nil {
		_ = m.platformServer.Close()
	}
	m.wg.Wait()
	return errors.Join(stopErrs...)
}

// ControlBytes returns the bytes sent and received so far on the control
// connections of the running nodes. Each connection counts at the node that
// opened it.
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
