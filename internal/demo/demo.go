// Package demo runs a deployment with a simulated platform and simulated
// targets. It measures the convergence of configuration changes, the control
// traffic, the outcomes of requests while a data centre is taken out of service
// and put back, and the latency that the mesh adds.
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
	"github.com/vanillabarrow/vanillabarrow/internal/sleep"
	"github.com/vanillabarrow/vanillabarrow/internal/standin"
)

const (
	// changeCount is the number of versions published to measure convergence.
	changeCount = 10
	// convergeTimeout is the time within which all nodes must use a new
	// version.
	convergeTimeout = 4 * time.Second
	// requestTimeout is the time that a caller waits for a response.
	requestTimeout = 10 * time.Second
	// settleTime is the wait before the first requests. Until the gates have
	// run for longer than the maximum clock skew, they can't know whether an
	// idempotency key was used before they started.
	settleTime = idempotency.MaxClockSkew + 200*time.Millisecond
	// writeShare is the share of requests that are POST, keyedShare the share
	// of those with an idempotency key, and bodyBytes the size of their bodies.
	writeShare = 0.5
	keyedShare = 0.5
	bodyBytes  = 512
)

// Config describes the load of a run.
type Config struct {
	// Rate is the mean number of requests per second.
	Rate float64
	// LoadDuration is the time for which requests are sent while a data centre
	// is taken out of service, after a third of it, and put back, after two
	// thirds.
	LoadDuration time.Duration
	// CompareDuration is the duration of each of the two loads whose latencies
	// are compared.
	CompareDuration time.Duration
}

// DefaultConfig returns the default load.
func DefaultConfig() Config {
	return Config{Rate: 300, LoadDuration: 6 * time.Second, CompareDuration: 2 * time.Second}
}

// Report holds the measurements of a run.
type Report struct {
	Deployment string `json:"deployment"`
	Nodes      int    `json:"nodes"`
	// ConvergeP50, ConvergeP99 and ConvergeMax are the times after which a node
	// used a published version, over all nodes and changes.
	ConvergeP50 time.Duration `json:"convergeP50"`
	ConvergeP99 time.Duration `json:"convergeP99"`
	ConvergeMax time.Duration `json:"convergeMax"`
	// ControlBytesPerNodeSecond is the control traffic in bytes per node and
	// second. Each connection counts at the node that opened it.
	ControlBytesPerNodeSecond float64         `json:"controlBytes"`
	Load                      *load.Result    `json:"load"`
	Violations                load.Violations `json:"account"`
	// DirectP50 and DirectP99 are the latencies of requests sent directly to
	// the targets, MeshP50 and MeshP99 of requests through the mesh.
	DirectP50 time.Duration `json:"directP50"`
	DirectP99 time.Duration `json:"directP99"`
	MeshP50   time.Duration `json:"meshP50"`
	MeshP99   time.Duration `json:"meshP99"`
	// OutOfServiceDataCentre is the data centre that was taken out of service
	// and put back.
	OutOfServiceDataCentre string `json:"left"`
}

// AddedP50 returns the latency that the mesh adds at the median.
func (r *Report) AddedP50() time.Duration { return r.MeshP50 - r.DirectP50 }

// AddedP99 returns the latency that the mesh adds at the 99th percentile.
func (r *Report) AddedP99() time.Duration { return r.MeshP99 - r.DirectP99 }

// Failures returns a message for each kind of wrong response or violation that
// occurred.
func (r *Report) Failures() []string {
	var failures []string
	for _, f := range []struct {
		n           int
		description string
	}{
		{r.Load.WrongResponses, "wrong responses"},
		{r.Violations.Lost, "requests reported as finished that no target ran"},
		{r.Violations.Twice, "writes run more than once"},
		{r.Violations.FalseNotRun, "requests falsely reported as not-run"},
	} {
		if f.n > 0 {
			failures = append(failures, fmt.Sprintf("%s: %d %s", r.Deployment, f.n, f.description))
		}
	}
	return failures
}

// Run starts a deployment, takes all measurements and stops it.
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
	for _, step := range []func(ctx context.Context) error{r.measureConvergence, r.measureLoad, r.compareLatency} {
		if err := step(ctx); err != nil {
			return nil, err
		}
	}
	return r.report, nil
}

// runner holds the state of one run.
type runner struct {
	cfg    Config
	mesh   *mesh.Mesh
	report *Report
}

// measureConvergence publishes changes and measures the time that each node
// takes to use them.
func (r *runner) measureConvergence(ctx context.Context) error {
	var times []time.Duration
	target := r.mesh.Members[0].Placement.Target
	for n := range changeCount {
		outOfService := inventory.OutOfService{}
		if n%2 == 0 {
			outOfService.Targets = []string{target}
		}
		waitCtx, cancel := context.WithTimeout(ctx, convergeTimeout)
		durations, err := r.mesh.WaitVersion(waitCtx, r.mesh.Publish(outOfService))
		cancel()
		if err != nil {
			return err
		}
		times = append(times, durations...)
	}
	if !sleep.For(ctx, settleTime) {
		return ctx.Err()
	}
	slices.Sort(times)
	r.report.ConvergeP50 = times[len(times)/2]
	r.report.ConvergeP99 = times[len(times)*99/100]
	r.report.ConvergeMax = times[len(times)-1]
	return nil
}

// measureLoad sends requests while the first data centre is taken out of
// service and put back.
func (r *runner) measureLoad(ctx context.Context) error {
	bytesBefore, start := r.mesh.ControlBytes(), time.Now()
	done := make(chan *load.Result, 1)
	go r.runLoad(ctx, done)
	changes := []inventory.OutOfService{{DataCentres: []string{r.report.OutOfServiceDataCentre}}, {}}
	for _, outOfService := range changes {
		if !sleep.For(ctx, r.cfg.LoadDuration/3) {
			<-done
			return ctx.Err()
		}
		r.mesh.Publish(outOfService)
	}
	r.report.Load = <-done
	r.report.Violations = r.report.Load.Check(r.mesh.Runs())
	controlBytes := float64(r.mesh.ControlBytes() - bytesBefore)
	r.report.ControlBytesPerNodeSecond = controlBytes / float64(r.report.Nodes) / time.Since(start).Seconds()
	return ctx.Err()
}

func (r *runner) runLoad(ctx context.Context, done chan<- *load.Result) {
	done <- load.New(r.loadConfig(r.mesh.CallerAddresses(), r.cfg.LoadDuration)).Run(ctx)
}

func (r *runner) loadConfig(addresses []string, d time.Duration) load.Config {
	return load.Config{
		Addresses: addresses,
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

// compareLatency sends the same load first directly to the targets and then
// through the mesh.
func (r *runner) compareLatency(ctx context.Context) error {
	viaMesh := r.loadConfig(r.mesh.CallerAddresses(), r.cfg.CompareDuration)
	direct := viaMesh
	direct.Direct = true
	direct.Addresses = nil
	for _, member := range r.mesh.Members {
		direct.Addresses = append(direct.Addresses, member.Placement.TargetAddress)
	}
	result := load.New(direct).Run(ctx)
	r.report.DirectP50, r.report.DirectP99 = result.P50, result.P99
	result = load.New(viaMesh).Run(ctx)
	r.report.MeshP50, r.report.MeshP99 = result.P50, result.P99
	return ctx.Err()
}
