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
	// startBound and convergeBound bound the waits for the fleet.
	startBound    = 3 * time.Minute
	convergeBound = time.Minute
	pollInterval  = 200 * time.Millisecond
	// settle lets the start's work end before anything is measured.
	settle = 5 * time.Second
	// changesPerDay is the rate of the long-run target.
	changesPerDay = 4300
	secondsPerDay = 86400
	seedNodes     = 3
	askTimeout    = 5 * time.Second
)

// Phase is one load of changes.
type Phase struct {
	Name string
	// Rate is the number of changes a second, 0 for none.
	Rate     float64
	Duration time.Duration
}

// Phases returns the loads that are measured.
func Phases() []Phase {
	daily := float64(changesPerDay) / secondsPerDay
	return []Phase{
		{Name: "idle", Duration: 8 * time.Second},
		{Name: "changes", Rate: daily, Duration: 30 * time.Second},
		{Name: "changesTimes100", Rate: 100 * daily, Duration: 6 * time.Second},
	}
}

// Row is one measurement.
type Row struct {
	Nodes       int
	DataCentres int
	Targets     int
	Phase       string
	Changes     int
	// ConvergeP50, ConvergeP99 and ConvergeMax are over all nodes and changes
	// from the publish to the version in force.
	ConvergeP50 time.Duration
	ConvergeP99 time.Duration
	ConvergeMax time.Duration
	// ControlBytesPerNodeSecond is sent and received on control connections, per node and
	// second, each connection counted at both of its ends.
	ControlBytesPerNodeSecond float64
	PlatformReadsPerSecond    float64
	// CPUPercent is of one core, per node; MemoryMB is the mean resident set.
	CPUPercentPerNode float64
	MemoryMBPerNode   float64
	// StartTime is from the first process to the last that is ready.
	StartTime time.Duration
}

// Config describes a measurement.
type Config struct {
	Binary        string
	Nodes         int
	InventorySize InventorySize
	Phases        []Phase
	Log           func(format string, args ...any)
}

// bench is one measurement going on.
type bench struct {
	cfg         Config
	dir         string
	platform    *standin.Platform
	platformURL string
	fleet       *fleet
	client      *http.Client
	startTime   time.Duration
}

// server runs the platform stand-in.
type server struct {
	http     *http.Server
	listener net.Listener
}

func (s *server) run() { _ = s.http.Serve(s.listener) }

// Run measures one fleet.
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
	b := &bench{
		cfg: cfg, dir: dir, platform: standin.NewPlatform(), platformURL: "http://" + l.Addr().String(),
		fleet: newFleet(cfg.InventorySize, processes), client: &http.Client{Timeout: askTimeout},
	}
	s := &server{&http.Server{Handler: b.platform.Handler(), ReadHeaderTimeout: askTimeout}, l}
	go s.run()
	defer func() { _ = s.http.Close() }()
	defer func() { err = errors.Join(err, b.stop()) }()
	if err := b.start(ctx); err != nil {
		return nil, err
	}
	for _, phase := range cfg.Phases {
		row, err := b.measure(ctx, phase)
		if err != nil {
			return rows, err
		}
		cfg.Log("%s", row)
		rows = append(rows, row)
	}
	return rows, nil
}

func (b *bench) start(ctx context.Context) error {
	if err := b.fleet.publishVMs(b.platform); err != nil {
		return err
	}
	version := b.fleet.publish(b.platform)
	site := site{binary: b.cfg.Binary, dir: b.dir, platformURL: b.platformURL, fleetSize: len(b.fleet.running)}
	for _, p := range b.fleet.running[:min(seedNodes, len(b.fleet.running))] {
		site.seeds = append(site.seeds, p.peer)
	}
	begin := time.Now()
	for _, p := range b.fleet.running {
		place := settings.Node{VM: vmName(p.index), DataCentre: dcName(p.index % b.cfg.InventorySize.DataCentres), Target: targetName(p.index)}
		if err := p.start(site, place); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, startBound)
	defer cancel()
	if _, err := b.waitFor(ctx, version); err != nil {
		return fmt.Errorf("start: %w", err)
	}
	b.startTime = time.Since(begin)
	return pause(ctx, settle)
}

func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// waitFor waits until all nodes are ready and serve the version.
func (b *bench) waitFor(ctx context.Context, version vanillabarrow.Version) ([]*operator.Status, error) {
	for {
		statuses, err := b.statuses(ctx)
		if err == nil && !slices.ContainsFunc(statuses, func(s *operator.Status) bool { return !s.Ready || s.Version < version }) {
			return statuses, nil
		}
		if pause(ctx, pollInterval) != nil {
			return nil, errors.Join(ctx.Err(), err)
		}
	}
}

func (b *bench) statuses(ctx context.Context) ([]*operator.Status, error) {
	statuses := make([]*operator.Status, len(b.fleet.running))
	for i, p := range b.fleet.running {
		s, err := p.status(ctx, b.client)
		if err != nil {
			return nil, fmt.Errorf("node %d: %w", i, err)
		}
		statuses[i] = s
	}
	return statuses, nil
}

// usage is what the fleet has used so far.
type usage struct {
	at      time.Time
	cpu     time.Duration
	memory  int64
	control uint64
	reads   uint64
}

func (b *bench) usage(ctx context.Context) (usage, error) {
	u := usage{at: time.Now(), reads: b.platform.Stats().Reads}
	statuses, err := b.statuses(ctx)
	if err != nil {
		return u, err
	}
	for i, p := range b.fleet.running {
		cpu, err := p.cpuTime()
		if err != nil {
			return u, err
		}
		memory, err := p.memory()
		if err != nil {
			return u, err
		}
		u.cpu += cpu
		u.memory += memory
		u.control += statuses[i].ControlReceived + statuses[i].ControlSent
	}
	return u, nil
}

// measure runs one phase.
func (b *bench) measure(ctx context.Context, phase Phase) (Row, error) {
	row := Row{
		Nodes: b.cfg.Nodes, DataCentres: b.cfg.InventorySize.DataCentres, Targets: b.cfg.InventorySize.Targets,
		Phase: phase.Name, StartTime: b.startTime,
	}
	before, err := b.usage(ctx)
	if err != nil {
		return row, err
	}
	times, err := b.changes(ctx, phase, &row)
	if err != nil {
		return row, err
	}
	after, err := b.usage(ctx)
	if err != nil {
		return row, err
	}
	nodes, elapsed := float64(b.cfg.Nodes), after.at.Sub(before.at).Seconds()
	row.ControlBytesPerNodeSecond = 2 * float64(after.control-before.control) / nodes / elapsed
	row.PlatformReadsPerSecond = float64(after.reads-before.reads) / elapsed
	row.CPUPercentPerNode = 100 * (after.cpu - before.cpu).Seconds() / nodes / elapsed
	row.MemoryMBPerNode = float64(after.memory) / nodes / (1 << 20)
	if len(times) > 0 {
		slices.Sort(times)
		row.ConvergeP50 = times[len(times)/2]
		row.ConvergeP99 = times[len(times)*99/100]
		row.ConvergeMax = times[len(times)-1]
	}
	return row, nil
}

// changes publishes at the phase's rate. At low rates the time of each node is
// taken for each change, at high ones for the last.
func (b *bench) changes(ctx context.Context, phase Phase, row *Row) ([]time.Duration, error) {
	end := time.Now().Add(phase.Duration)
	if phase.Rate == 0 {
		return nil, pause(ctx, phase.Duration)
	}
	interval := time.Duration(float64(time.Second) / phase.Rate)
	var times []time.Duration
	for n := 0; time.Now().Before(end); n++ {
		b.fleet.change(n)
		version := b.fleet.publish(b.platform)
		published := time.Now()
		row.Changes++
		last := published.Add(interval).After(end)
		if interval > time.Second || last {
			each, err := b.converge(ctx, version, published)
			if err != nil {
				return nil, err
			}
			times = append(times, each...)
		}
		if err := pause(ctx, time.Until(minTime(published.Add(interval), end))); err != nil {
			return nil, err
		}
	}
	return times, nil
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (b *bench) converge(ctx context.Context, version vanillabarrow.Version, published time.Time) ([]time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, convergeBound)
	defer cancel()
	statuses, err := b.waitFor(ctx, version)
	if err != nil {
		return nil, err
	}
	times := make([]time.Duration, len(statuses))
	for i, s := range statuses {
		times[i] = s.Rollout.AppliedAt.Sub(published)
	}
	return times, nil
}

// stop ends the processes in order.
func (b *bench) stop() error {
	var errs []error
	for _, p := range b.fleet.running {
		if p.cmd != nil {
			_ = p.cmd.Process.Signal(syscall.SIGTERM)
		}
	}
	for _, p := range b.fleet.running {
		if p.cmd != nil {
			errs = append(errs, p.cmd.Wait(), p.log.Close())
			p.cmd = nil
		}
	}
	return errors.Join(errs...)
}

// Header is the first line of the CSV.
const Header = "nodes,dataCentres,targets,phase,changes,convergeP50Ms,convergeP99Ms,convergeMaxMs,controlBytesPerNodeSecond,platformReadsPerSecond,cpuPercentPerNode,memoryMBPerNode,startSeconds"

// String returns the row as a line of CSV.
func (r Row) String() string {
	return fmt.Sprintf("%d,%d,%d,%s,%d,%.1f,%.1f,%.1f,%.0f,%.1f,%.3f,%.1f,%.1f",
		r.Nodes, r.DataCentres, r.Targets, r.Phase, r.Changes,
		milliseconds(r.ConvergeP50), milliseconds(r.ConvergeP99), milliseconds(r.ConvergeMax),
		r.ControlBytesPerNodeSecond, r.PlatformReadsPerSecond, r.CPUPercentPerNode, r.MemoryMBPerNode, r.StartTime.Seconds())
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
