package experiment

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"syscall"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/operator"
	"github.com/vanillabarrow/vanillabarrow/internal/settings"
	"github.com/vanillabarrow/vanillabarrow/internal/standin"
)

const (
	// startTimeout is the time within which all nodes must be ready, and
	// convergeTimeout that within which all must use a new version.
	startTimeout    = 3 * time.Minute
	convergeTimeout = time.Minute
	// pollInterval is the delay between two rounds of status requests. It does
	// not limit the resolution of convergence times, which the nodes report.
	pollInterval = 200 * time.Millisecond
	// settleTime is the wait before the first measurement, so that the work of
	// the start is not measured.
	settleTime = 5 * time.Second
	// changesPerDay is the rate of configuration changes that the mesh is
	// designed for, with an inventory of FullInventorySize.
	changesPerDay = 4300
	secondsPerDay = 86400
	// seedNodes is the number of nodes in the seeds setting of every node.
	seedNodes = 3
	// requestTimeout bounds a status request.
	requestTimeout = 5 * time.Second
)

// Phase is a period with a fixed rate of configuration changes.
type Phase struct {
	Name string
	// Rate is the number of changes per second, 0 for none.
	Rate     float64
	Duration time.Duration
}

// Phases returns the phases of a complete measurement: no changes,
// changesPerDay, and a hundred times that.
func Phases() []Phase {
	rate := float64(changesPerDay) / secondsPerDay
	return []Phase{
		{Name: "idle", Duration: 8 * time.Second},
		{Name: "changes", Rate: rate, Duration: 30 * time.Second},
		{Name: "changesTimes100", Rate: 100 * rate, Duration: 6 * time.Second},
	}
}

// Row holds the measurements of one phase with one fleet size.
type Row struct {
	Nodes       int
	DataCentres int
	Targets     int
	Phase       string
	Changes     int
	// ConvergeP50, ConvergeP99 and ConvergeMax are the times from the
	// publication of a version until a node used it, over all nodes and
	// changes.
	ConvergeP50 time.Duration
	ConvergeP99 time.Duration
	ConvergeMax time.Duration
	// ControlBytesPerNodeSecond is the bytes sent and received on control
	// connections per node and second. Each connection counts at both of its
	// ends.
	ControlBytesPerNodeSecond float64
	// PlatformReadsPerSecond counts the reads of all nodes together.
	PlatformReadsPerSecond float64
	// CPUPercentPerNode is the CPU time in percent of one core, and
	// MemoryMBPerNode the resident set size in MiB. Both are means over the
	// nodes.
	CPUPercentPerNode float64
	MemoryMBPerNode   float64
	// StartTime is the time from the start of the first process until all nodes
	// were ready.
	StartTime time.Duration
}

// Config describes a measurement.
type Config struct {
	// Binary is the path of the node program.
	Binary string
	// Nodes is the number of node processes, at most the number of targets in
	// the inventory.
	Nodes         int
	InventorySize InventorySize
	Phases        []Phase
	// Log is called with the row of each phase when it has ended.
	Log func(format string, args ...any)
}

// measurement is the state of the measurement of one fleet.
type measurement struct {
	cfg         Config
	dir         string
	platform    *standin.Platform
	platformURL string
	fleet       *fleet
	client      *http.Client
	startTime   time.Duration
}

// server serves the HTTP requests to the simulated platform.
type server struct {
	http     *http.Server
	listener net.Listener
}

func (s *server) run() { _ = s.http.Serve(s.listener) }

// Run starts a fleet of node processes with a simulated platform, measures each
// phase and stops the fleet. If a phase fails, it returns the rows of the
// phases before.
func Run(ctx context.Context, cfg Config) (rows []Row, err error) {
	dir, err := os.MkdirTemp("", "experiment")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	processes, err := newProcesses(cfg.Nodes)
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	m := &measurement{
		cfg: cfg, dir: dir, platform: standin.NewPlatform(), platformURL: "http://" + l.Addr().String(),
		fleet: newFleet(cfg.InventorySize, processes), client: &http.Client{Timeout: requestTimeout},
	}
	s := &server{&http.Server{Handler: m.platform.Handler(), ReadHeaderTimeout: requestTimeout}, l}
	go s.run()
	defer func() { _ = s.http.Close() }()
	defer func() { err = errors.Join(err, m.stop()) }()
	if err := m.start(ctx); err != nil {
		return nil, err
	}
	for _, phase := range cfg.Phases {
		row, err := m.measure(ctx, phase)
		if err != nil {
			return rows, err
		}
		cfg.Log("%s", row)
		rows = append(rows, row)
	}
	return rows, nil
}

// start publishes the inventory, starts all nodes and waits until they are
// ready.
func (m *measurement) start(ctx context.Context) error {
	if err := m.fleet.publishVMs(m.platform); err != nil {
		return err
	}
	version := m.fleet.publish(m.platform)
	cfg := processConfig{binary: m.cfg.Binary, dir: m.dir, platformURL: m.platformURL, fleetSize: len(m.fleet.processes)}
	for _, p := range m.fleet.processes[:min(seedNodes, len(m.fleet.processes))] {
		cfg.seeds = append(cfg.seeds, p.peer)
	}
	begin := time.Now()
	for _, p := range m.fleet.processes {
		nodeSettings := settings.Node{VM: vmName(p.index), DataCentre: dcName(p.index % m.cfg.InventorySize.DataCentres), Target: targetName(p.index)}
		if err := p.start(cfg, nodeSettings); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if _, err := m.waitFor(ctx, version); err != nil {
		return fmt.Errorf("wait for all nodes to be ready: %w", err)
	}
	m.startTime = time.Since(begin)
	return sleep(ctx, settleTime)
}

// sleep waits for d. It returns an error if ctx is canceled first.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// waitFor waits until all nodes are ready and use the version or a later one.
func (m *measurement) waitFor(ctx context.Context, version vanillabarrow.Version) ([]*operator.Status, error) {
	for {
		statuses, err := m.statuses(ctx)
		if err == nil && !slices.ContainsFunc(statuses, func(s *operator.Status) bool { return !s.Ready || s.Version < version }) {
			return statuses, nil
		}
		if sleep(ctx, pollInterval) != nil {
			return nil, errors.Join(ctx.Err(), err)
		}
	}
}

// statuses returns the statuses of all nodes, in the order of the processes.
func (m *measurement) statuses(ctx context.Context) ([]*operator.Status, error) {
	statuses := make([]*operator.Status, len(m.fleet.processes))
	for i, p := range m.fleet.processes {
		s, err := p.status(ctx, m.client)
		if err != nil {
			return nil, fmt.Errorf("node %d: %w", i, err)
		}
		statuses[i] = s
	}
	return statuses, nil
}

// usage is the use of resources at a time: the CPU time, memory and control
// traffic of all nodes together, and the reads of the platform. All but the
// memory are totals since the start.
type usage struct {
	at           time.Time
	cpu          time.Duration
	memoryBytes  int64
	controlBytes uint64
	reads        uint64
}

// usage returns the current use of resources by all nodes.
func (m *measurement) usage(ctx context.Context) (usage, error) {
	u := usage{at: time.Now(), reads: m.platform.Stats().Reads}
	statuses, err := m.statuses(ctx)
	if err != nil {
		return u, err
	}
	for i, p := range m.fleet.processes {
		cpu, err := p.cpuTime()
		if err != nil {
			return u, err
		}
		memory, err := p.memory()
		if err != nil {
			return u, err
		}
		u.cpu += cpu
		u.memoryBytes += memory
		u.controlBytes += statuses[i].ControlReceived + statuses[i].ControlSent
	}
	return u, nil
}

// measure runs one phase and returns its measurements.
func (m *measurement) measure(ctx context.Context, phase Phase) (Row, error) {
	row := Row{
		Nodes: m.cfg.Nodes, DataCentres: m.cfg.InventorySize.DataCentres, Targets: m.cfg.InventorySize.Targets,
		Phase: phase.Name, StartTime: m.startTime,
	}
	before, err := m.usage(ctx)
	if err != nil {
		return row, err
	}
	times, err := m.publishChanges(ctx, phase, &row)
	if err != nil {
		return row, err
	}
	after, err := m.usage(ctx)
	if err != nil {
		return row, err
	}
	nodes, elapsed := float64(m.cfg.Nodes), after.at.Sub(before.at).Seconds()
	// A status counts only the connections that its node opened.
	row.ControlBytesPerNodeSecond = 2 * float64(after.controlBytes-before.controlBytes) / nodes / elapsed
	row.PlatformReadsPerSecond = float64(after.reads-before.reads) / elapsed
	row.CPUPercentPerNode = 100 * (after.cpu - before.cpu).Seconds() / nodes / elapsed
	row.MemoryMBPerNode = float64(after.memoryBytes) / nodes / (1 << 20)
	if len(times) > 0 {
		slices.Sort(times)
		row.ConvergeP50 = times[len(times)/2]
		row.ConvergeP99 = times[len(times)*99/100]
		row.ConvergeMax = times[len(times)-1]
	}
	return row, nil
}

// publishChanges publishes changes at the rate of the phase and returns the
// times after which the nodes used them. If the changes are more than a second
// apart, it measures each of them, otherwise only the last.
func (m *measurement) publishChanges(ctx context.Context, phase Phase, row *Row) ([]time.Duration, error) {
	end := time.Now().Add(phase.Duration)
	if phase.Rate == 0 {
		return nil, sleep(ctx, phase.Duration)
	}
	interval := time.Duration(float64(time.Second) / phase.Rate)
	var times []time.Duration
	for n := 0; time.Now().Before(end); n++ {
		m.fleet.toggleTarget(n)
		version := m.fleet.publish(m.platform)
		published := time.Now()
		row.Changes++
		isLast := published.Add(interval).After(end)
		if interval > time.Second || isLast {
			durations, err := m.waitConverged(ctx, version, published)
			if err != nil {
				return nil, err
			}
			times = append(times, durations...)
		}
		if err := sleep(ctx, time.Until(earlierTime(published.Add(interval), end))); err != nil {
			return nil, err
		}
	}
	return times, nil
}

func earlierTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// waitConverged waits until all nodes use the version and returns the time from
// its publication until each node used it.
func (m *measurement) waitConverged(ctx context.Context, version vanillabarrow.Version, published time.Time) ([]time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, convergeTimeout)
	defer cancel()
	statuses, err := m.waitFor(ctx, version)
	if err != nil {
		return nil, err
	}
	times := make([]time.Duration, len(statuses))
	for i, s := range statuses {
		times[i] = s.Rollout.AppliedAt.Sub(published)
	}
	return times, nil
}

// stop stops all nodes gracefully with SIGTERM.
func (m *measurement) stop() error {
	var errs []error
	for _, p := range m.fleet.processes {
		if p.cmd != nil {
			_ = p.cmd.Process.Signal(syscall.SIGTERM)
		}
	}
	for _, p := range m.fleet.processes {
		if p.cmd != nil {
			errs = append(errs, p.cmd.Wait(), p.log.Close())
			p.cmd = nil
		}
	}
	return errors.Join(errs...)
}

// Header is the heading of the CSV that the rows form.
const Header = "nodes,dataCentres,targets,phase,changes,convergeP50Ms,convergeP99Ms,convergeMaxMs,controlBytesPerNodeSecond,platformReadsPerSecond,cpuPercentPerNode,memoryMBPerNode,startSeconds"

// String returns the row as a CSV line without a line break. Times of
// convergence are in milliseconds, the start time in seconds.
func (r Row) String() string {
	return fmt.Sprintf("%d,%d,%d,%s,%d,%.1f,%.1f,%.1f,%.0f,%.1f,%.3f,%.1f,%.1f",
		r.Nodes, r.DataCentres, r.Targets, r.Phase, r.Changes,
		milliseconds(r.ConvergeP50), milliseconds(r.ConvergeP99), milliseconds(r.ConvergeMax),
		r.ControlBytesPerNodeSecond, r.PlatformReadsPerSecond, r.CPUPercentPerNode, r.MemoryMBPerNode, r.StartTime.Seconds())
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
