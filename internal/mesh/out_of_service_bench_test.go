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

// backgroundLoad runs a load generator in a goroutine.
type backgroundLoad struct {
	generator *load.Generator
	result    chan *load.Result
}

func (l *backgroundLoad) run(ctx context.Context) { l.result <- l.generator.Run(ctx) }

// BenchmarkDataCentreOutOfService takes a data centre out of service for a
// third of a run and then puts it back with cold targets, with each limiter. It
// logs the outcomes of each second.
func BenchmarkDataCentreOutOfService(b *testing.B) {
	deployments := map[string]standin.Deployment{"cenovka": standin.Cenovka(), "visites": standin.Visites()}
	for name, d := range deployments {
		for _, limiter := range vanillabarrow.LimiterNames() {
			b.Run(name+"/"+limiter, func(b *testing.B) {
				for b.Loop() {
					runOutOfService(b, d, limiter)
				}
			})
		}
	}
}

func runOutOfService(b *testing.B, d standin.Deployment, limiter string) {
	const (
		// phaseDuration is the time before, during and after the data centre is
		// out of service.
		phaseDuration = 4 * time.Second
		// utilization is the share of the slots that the load occupies while
		// the data centre is out of service.
		utilization = 0.75
	)
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	d.ServiceTime = 40 * time.Millisecond
	m := New(d, slog.New(slog.DiscardHandler))
	m.Limiter = limiter
	defer func() { require.NoError(b, m.Stop(ctx)) }()
	require.NoError(b, m.Start(ctx))
	service := d.Services[0]
	rate := utilization * float64(service.Targets*service.Slots) / d.ServiceTime.Seconds() * float64(len(d.DataCentres)-1) / float64(len(d.DataCentres))
	config := load.Config{
		Addresses: m.CallerAddresses(), Paths: []string{service.PathPrefix}, Rate: rate / 4, Duration: phaseDuration / 2,
		Writes: 0.5, BodyBytes: 100, Timeout: 5 * time.Second,
	}
	// Warms up the targets with a rate that rises in four steps.
	for range 4 {
		load.New(config).Run(ctx)
		config.Rate += rate / 4
	}
	config.Rate, config.Duration = rate, 3*phaseDuration
	l := &backgroundLoad{generator: load.New(config), result: make(chan *load.Result, 1)}
	go l.run(ctx)
	for _, outOfService := range []inventory.OutOfService{{DataCentres: d.DataCentres[:1]}, {}} {
		timer := time.NewTimer(phaseDuration)
		<-timer.C
		for _, member := range m.Members {
			if len(outOfService.DataCentres) > 0 && member.Placement.DataCentre == d.DataCentres[0] {
				member.Target.ResetWarmUp()
			}
		}
		m.Publish(outOfService)
	}
	result := <-l.result
	var collapses uint64
	for _, member := range m.Members {
		collapses += member.Target.Stats().Collapses
	}
	violations := result.Check(m.Runs())
	b.Logf("%s %s: %s collapses=%d violations=%+v reasons=%v", d.Name, limiter, result, collapses, violations, result.Reasons)
	for i, s := range result.Seconds {
		b.Logf("second %d: finished=%d notRun=%d mayHaveRun=%d noVerdict=%d", i, s.Finished, s.NotRun, s.MayHaveRun, s.NoVerdict)
	}
	b.ReportMetric(float64(result.Finished)/float64(result.Offered), "finished/offered")
	b.ReportMetric(float64(collapses), "collapses")
	require.Zero(b, result.WrongResponses)
	require.Equal(b, load.Violations{}, violations)
}
