package gate

import (
	"context"
	"log/slog"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/logging"
	"github.com/vanillabarrow/vanillabarrow/internal/retry"
)

const (
	// checkInterval is how often the gate looks whether its target needs a
	// health check.
	checkInterval = 50 * time.Millisecond
	// checkPause is the least time between two checks of a target that is well.
	// Checks take a slot, and answers get lost at targets that are well.
	checkPause = 500 * time.Millisecond
	// checkBase and checkLimit bound the delay after a failed check.
	checkBase  = 100 * time.Millisecond
	checkLimit = time.Second
)

// HealthChecker asks the own target for its health.
type HealthChecker interface {
	Check(ctx context.Context) (vanillabarrow.Health, error)
}

// Prober asks the target for its health when the limiter does not know whether
// it is up or cold. Checks take a slot, so there are none otherwise.
type Prober struct {
	gate     *Gate
	source   HealthChecker
	logger   *slog.Logger
	failures int
	notUntil time.Time
}

// NewProber returns a prober; Tick has to be called at short intervals.
func NewProber(g *Gate, source HealthChecker, logger *slog.Logger) *Prober {
	return &Prober{gate: g, source: source, logger: logger}
}

// Tick makes a check if one is needed and due.
func (p *Prober) Tick(ctx context.Context) {
	now := time.Now()
	if now.Before(p.notUntil) || p.gate.own.Resolve(p.gate.cfg.Snapshot()) == nil {
		return
	}
	if !p.gate.limiter.NeedsHealthCheck() && !p.gate.needsHealth(now) {
		return
	}
	health, err := p.source.Check(ctx)
	if err != nil || !health.OK {
		p.failures++
		p.notUntil = time.Now().Add(checkBase/2 + retry.Backoff(checkBase, checkLimit, p.failures))
	} else {
		p.failures = 0
		p.notUntil = time.Now().Add(checkPause)
	}
	if err != nil {
		p.logger.Debug(logging.EventHealthCheckFailed, "target", p.gate.targetName(), "failures", p.failures, "error", err)
		return
	}
	p.gate.limiter.UpdateHealth(health, time.Now())
	p.gate.noteHealth(health, time.Now())
	p.logger.Info(logging.EventHealthLearned, "target", p.gate.targetName(), "answeredBy", health.Target,
		"ok", health.OK, "warming", health.WarmUpRemaining)
}
