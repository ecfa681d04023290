package mesh

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/inventory"
	"github.com/vanillabarrow/vanillabarrow/internal/load"
	"github.com/vanillabarrow/vanillabarrow/internal/standin"
)

// loader offers load beside the benchmark.
type loader struct {
	generator *load.Generator
	result    chan *load.Result
}

func (l *loader) run(ctx context.Context) { l.result <- l.generator.Run(ctx) }

// BenchmarkLeaveAndReturn takes a data centre out for a third of a run and
// brings its targets back cold, with the adaptive and with the fixed limiter.
// It logs what ended in each second.
func BenchmarkLeaveAndReturn(b *testing.B) {
	deployments := map[string]standin.Deployment{"cenovka": standin.Cenovka(), "visites": standin.Visites()}
	for name, d := range deployments {
		for _, limiter := range vanillabarrow.LimiterNames() {
			b.Run(name+"/"+limiter, func(b *testing.B) {
				for b.Loop() {
					leaveAndReturn(b, d, limiter)
				}
			})
		}
	}
}

func leaveAndReturn(b *testing.B, d standin.Deployment, limiter string) {
	const (
		third = 4 * time.Second
		// rate loads the targets to about three quarters.
		share = 0.75
	)
	ctx, cancel := context.WithTimeout(context.Background(), startBound)
	defer cancel()
	d.ServiceTime = 40 * time.Millisecond
	m := New(d, slog.New(slog.DiscardHandler))
	m.Limiter = limiter
	defer func() { require.NoError(b, m.Stop(ctx)) }()
	require.NoError(b, m.Start(ctx))
	service := d.Services[0]
	rate := share * float64(service.Targets*service.Slots) / d.ServiceTime.Seconds() * float64(len(d.DataCentres)-1) / float64(len(d.DataCentres))
	config := load.Config{
		Addresses: m.CallerAddresses(), Paths: []string{service.PathPrefix}, Rate: rate / 4, Duration: third / 2,
		Writes: 0.5, BodyBytes: 100, Timeout: 5 * time.Second,
	}
	// The targets are warmed before the run.
	for range 4 {
		load.New(config).Run(ctx)
		config.Rate += rate / 4
	}
	config.Rate, config.Duration = rate, 3*third
	l := &loader{generator: load.New(config), result: make(chan *load.Result, 1)}
	go l.run(ctx)
	for _, out := range []inventory.OutOfService{{DataCentres: d.DataCentres[:1]}, {}} {
		timer := time.NewTimer(third)
		<-timer.C
		for _, member := range m.Members {
			if len(out.DataCentres) > 0 && member.Placement.DataCentre == d.DataCentres[0] {
				member.Target.ResetWarmUp()
			}
		}
		m.Publish(out)
	}
	result := <-l.result
	var collapses uint64
	for _, member := range m.Members {
		collapses += member.Target.Stats().Collapses
	}
	account := result.Check(m.Runs())
	b.Logf("%s %s: %s collapses=%d account=%+v reasons=%v", d.Name, limiter, result, collapses, account, result.Reasons)
	for i, s := range result.Seconds {
		b.Logf("second %d: finished=%d notRun=%d mayHaveRun=%d noVerdict=%d", i, s.Finished, s.NotRun, s.MayHaveRun, s.NoVerdict)
	}
	b.ReportMetric(float64(result.Finished)/float64(result.Offered), "finished/offered")
	b.ReportMetric(float64(collapses), "collapses")
	require.Zero(b, result.WrongResponses)
	require.Equal(b, load.Violations{}, account)
}
