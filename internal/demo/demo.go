// Package demo runs a deployment on embedded stand-ins and reports how it
// fared: convergence, control traffic, and requests while a data centre leaves
// and returns.
package demo

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"github.com/vanillabarrow/vanillabarrow/internal/idempotency"
	"github.com/vanillabarrow/vanillabarrow/internal/inventory"
	"github.com/vanillabarrow/vanillabarrow/internal/load"
	"github.com/vanillabarrow/vanillabarrow/internal/mesh"
	"github.com/vanillabarrow/vanillabarrow/internal/standin"
)

const (
	// changes is the number of versions published to measure convergence.
	changes = 10
	// convergeBound is the time in which a version must be in force.
	convergeBound = 4 * time.Second
	// requestTimeout is the callers' own timeout.
	requestTimeout = 10 * time.Second
	// settle lets the gates grow older than the assumed clock skew, before
	// which they can't tell whether a key was used before they started.
	settle = idempotency.MaxClockSkew + 200*time.Millisecond
	// writeShare and keyedShare shape the load.
	writeShare = 0.5
	keyedShare = 0.5
	bodyBytes  = 512
)

// Config shapes a run.
type Config struct {
	Rate float64
	// Load is the time under load. The data centre leaves after a third of it
	// and returns after two thirds.
	LoadDuration time.Duration
	// Compare is the time of each of the loads that compare latencies.
	CompareDuration time.Duration
}

// DefaultConfig returns the configuration of the demo.
func DefaultConfig() Config {
	return Config{Rate: 300, LoadDuration: 6 * time.Second, CompareDuration: 2 * time.Second}
}

// Report is what a run found.
type Report struct {
	Deployment string `json:"deployment"`
	Nodes      int    `json:"nodes"`
	// ConvergeP50, ConvergeP99 and ConvergeMax are over all nodes and changes.
	ConvergeP50 time.Duration `json:"convergeP50"`
	ConvergeP99 time.Duration `json:"convergeP99"`
	ConvergeMax time.Duration `json:"convergeMax"`
	// ControlBytes is per node and second, counted at the side that opens a
	// connection.
	ControlBytesPerNodeSecond float64         `json:"controlBytes"`
	Load                      *load.Result    `json:"load"`
	Violations                load.Violations `json:"account"`
	DirectP50                 time.Duration   `json:"directP50"`
	DirectP99                 time.Duration   `json:"directP99"`
	MeshP50                   time.Duration   `json:"meshP50"`
	MeshP99                   time.Duration   `json:"meshP99"`
	// Left is the data centre that was taken out.
	OutOfServiceDataCentre string `json:"left"`
}

// AddedP50 returns the latency that the mesh adds at the median.
func (r *Report) AddedP50() time.Duration { return r.MeshP50 - r.DirectP50 }

// AddedP99 returns the latency that the mesh adds at the 99th percentile.
func (r *Report) AddedP99() time.Duration { return r.MeshP99 - r.DirectP99 }

// Failures lists what must never happen and did.
func (r *Report) Failures() []string {
	var failures []string
	for _, f := range []struct {
		n    int
		what string
	}{
		{r.Load.WrongResponses, "wrong answers"},
		{r.Violations.Lost, "requests lost"},
		{r.Violations.Twice, "requests run twice"},
		{r.Violations.FalseNotRun, "refusals said not-run falsely"},
	} {
		if f.n > 0 {
			failures = append(failures, fmt.Sprintf("%s: %d %s", r.Deployment, f.n, f.what))
		}
	}
	return failures
}

// Run runs one deployment from its start to its end.
func Run(ctx context.Context, d standin.Deployment, cfg Config, logger *slog.Logger) (report *Report, err error) {
	m, err := mesh.Start(ctx, d, logger)
	defer func() {
		if stopErr := m.Stop(context.WithoutCancel(ctx)); err == nil {
			err = stopErr
		}
	}()
	if err != nil {
		return nil, err
	}
	r := &runner{cfg: cfg, mesh: m, report: &Report{Deployment: d.Name, Nodes: len(m.Members), OutOfServiceDataCentre: d.DataCentres[0]}}
	for _, step := range []func(ctx context.Context) error{r.converge, r.underLoad, r.compare} {
		if err := step(ctx); err != nil {
			return nil, err
		}
	}
	return r.report, nil
}

// runner is the state of one run.
type runner struct {
	cfg    Config
	mesh   *mesh.Mesh
	report *Report
}

// converge publishes changes and measures how long each node takes.
func (r *runner) converge(ctx context.Context) error {
	var times []time.Duration
	target := r.mesh.Members[0].Placement.Target
	for n := range changes {
		out := inventory.OutOfService{}
		if n%2 == 0 {
			out.Targets = []string{target}
		}
		bound, cancel := context.WithTimeout(ctx, convergeBound)
		each, err := r.mesh.WaitVersion(bound, r.mesh.Publish(out))
		cancel()
		if err != nil {
			return err
		}
		times = append(times, each...)
	}
	if !wait(ctx, settle) {
		return ctx.Err()
	}
	slices.Sort(times)
	r.report.ConvergeP50 = times[len(times)/2]
	r.report.ConvergeP99 = times[len(times)*99/100]
	r.report.ConvergeMax = times[len(times)-1]
	return nil
}

// underLoad offers load while the first data centre leaves and returns.
func (r *runner) underLoad(ctx context.Context) error {
	before, start := r.mesh.ControlBytes(), time.Now()
	done := make(chan *load.Result, 1)
	go r.runLoad(ctx, done)
	steps := []inventory.OutOfService{{DataCentres: []string{r.report.OutOfServiceDataCentre}}, {}}
	for _, out := range steps {
		if !wait(ctx, r.cfg.LoadDuration/3) {
			<-done
			return ctx.Err()
		}
		r.mesh.Publish(out)
	}
	r.report.Load = <-done
	r.report.Violations = r.report.Load.Check(r.mesh.Runs())
	used := float64(r.mesh.ControlBytes() - before)
	r.report.ControlBytesPerNodeSecond = used / float64(r.report.Nodes) / time.Since(start).Seconds()
	return ctx.Err()
}

func (r *runner) runLoad(ctx context.Context, done chan<- *load.Result) {
	done <- load.New(r.load(r.mesh.CallerAddresses(), r.cfg.LoadDuration)).Run(ctx)
}

func (r *runner) load(entries []string, d time.Duration) load.Config {
	return load.Config{
		Addresses: entries,
		Paths:     r.paths(),
		Rate:      r.cfg.Rate,
		Duration:  d,
		Writes:    writeShare,
		Keyed:     keyedShare,
		BodyBytes: bodyBytes,
		Timeout:   requestTimeout,
	}
}

func (r *runner) paths() []string {
	var paths []string
	for _, s := range r.mesh.Deployment.Services {
		paths = append(paths, s.PathPrefix)
	}
	return paths
}

// compare offers the same load through the mesh and to the targets themselves.
func (r *runner) compare(ctx context.Context) error {
	through := r.load(r.mesh.CallerAddresses(), r.cfg.CompareDuration)
	direct := through
	direct.Direct = true
	direct.Addresses = nil
	for _, member := range r.mesh.Members {
		direct.Addresses = append(direct.Addresses, member.Placement.TargetAddress)
	}
	result := load.New(direct).Run(ctx)
	r.report.DirectP50, r.report.DirectP99 = result.P50, result.P99
	result = load.New(through).Run(ctx)
	r.report.MeshP50, r.report.MeshP99 = result.P50, result.P99
	return ctx.Err()
}

func wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
