package operator

import (
	"context"
	"log/slog"
	"time"

	"github.com/uber-go/tally/v4"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/gate"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
	"github.com/vanillabarrow/vanillabarrow/internal/logging"
)

const (
	// sampleInterval is the interval at which the gauges are set.
	sampleInterval = 2 * time.Second
	// maxSampledPriority is the least urgent priority that admittedPriority
	// considers.
	maxSampledPriority = 7
	// shortWait is the expected wait up to which a priority counts as admitted. It
	// is about the shortest objective of a request.
	shortWait = 200 * time.Millisecond
)

// Sampler sets the gauges that show the node's state.
type Sampler struct {
	rollout vanillabarrow.Rollout
	gate    *gate.Gate
	traffic *kernel.Traffic
	intake  *kernel.Intake
	logger  *slog.Logger
	scope   tally.Scope
}

// NewSampler returns a sampler. Its caller has to call Tick periodically.
func NewSampler(rollout vanillabarrow.Rollout, g *gate.Gate, traffic *kernel.Traffic, intake *kernel.Intake, logger *slog.Logger, scope tally.Scope) *Sampler {
	return &Sampler{rollout: rollout, gate: g, traffic: traffic, intake: intake, logger: logger, scope: scope.SubScope("operator")}
}

// Tick sets the gauges to their current values.
func (s *Sampler) Tick(context.Context) {
	status := s.rollout.Status()
	s.scope.Gauge("configHeld").Update(float64(status.Held.Revision()))
	s.scope.Gauge("configInForce").Update(float64(status.InForce.Revision()))
	s.scope.Gauge("configEra").Update(float64(status.Held.Era().Stated()))
	s.scope.Gauge("configKept").Update(float64(status.Kept))
	if !status.ConfirmedAt.IsZero() {
		s.scope.Gauge("configAge").Update(time.Since(status.ConfirmedAt).Seconds())
	}
	s.scope.Gauge("ready").Update(boolToFloat(s.rollout.IsReady() && !s.gate.Draining()))
	load := s.gate.Load(vanillabarrow.LowestPriority)
	s.scope.Gauge("slots").Update(float64(load.Limit))
	s.scope.Gauge("slotsInUse").Update(float64(load.InFlight))
	s.scope.Gauge("queued").Update(float64(load.Queued))
	s.scope.Gauge("expectedWait").Update(load.Wait.Seconds())
	s.scope.Gauge("admittedPriority").Update(float64(admittedPriority(s.gate.Load)))
	s.scope.Gauge("failurePercent").Update(float64(load.FailurePercent))
	received, sent := s.traffic.Bytes()
	s.scope.Gauge("controlReceived").Update(float64(received))
	s.scope.Gauge("controlSent").Update(float64(sent))
	clients := s.intake.Stats()
	s.scope.Gauge("clientConnections").Update(float64(clients.Connections))
	s.scope.Gauge("clientMemory").Update(float64(clients.MemoryBytes))
	s.scope.Gauge("connectionsRefused").Update(float64(clients.RefusedConnections))
	s.scope.Gauge("clientsClosedForMemory").Update(float64(clients.RefusedRequests))
	s.scope.Gauge("clientsDisplaced").Update(float64(clients.ClosedConnections))
	s.scope.Gauge("logLinesLeftOut").Update(float64(logging.DroppedLines(s.logger)))
}

// admittedPriority returns the least urgent priority, up to maxSampledPriority, at
// which a request waits for at most shortWait, and -1 if there is none.
func admittedPriority(load func(priority int) vanillabarrow.Load) int {
	for priority := range maxSampledPriority + 1 {
		if l := load(priority); l.Unavailable || l.Wait > shortWait {
			return priority - 1
		}
	}
	return maxSampledPriority
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
