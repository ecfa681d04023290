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
	// proberInterval is how often the prober tests whether a health check is
	// needed.
	proberInterval = 50 * time.Millisecond
	// minCheckInterval is the minimum delay after a check of a healthy target.
	// Even healthy targets lose some responses, each of which makes the limiter
	// ask for a check, and checks take a slot.
	minCheckInterval = 500 * time.Millisecond
	// checkBackoffBase and checkBackoffMax bound the delay after a failed
	// check.
	checkBackoffBase = 100 * time.Millisecond
	checkBackoffMax  = time.Second
)

// HealthChecker sends health checks to the target on the node's VM.
type HealthChecker interface {
	Check(ctx context.Context) (vanillabarrow.Health, error)
}

// Prober sends the target a health check when the limiter does not know whether
// the target is up or still cold, or when the gate needs one for an expired or
// replaced target. Checks take a slot, so none are sent otherwise.
type Prober struct {
	gate      *Gate
	checker   HealthChecker
	logger    *slog.Logger
	failures  int
	nextCheck time.Time
}

// NewProber returns a prober. Its Tick method has to be called periodically.
func NewProber(g *Gate, checker HealthChecker, logger *slog.Logger) *Prober {
	return &Prober{gate: g, checker: checker, logger: logger}
}

// Tick sends a health check if one is needed and due.
func (p *Prober) Tick(ctx context.Context) {
	now := time.Now()
	if now.Before(p.nextCheck) || p.gate.ownTarget.Resolve(p.gate.cfg.Snapshot()) == nil {
		return
	}
	if !p.gate.limiter.NeedsHealthCheck() && !p.gate.needsHealthCheck(now) {
		return
	}
	health, err := p.checker.Check(ctx)
	if err != nil || !health.OK {
		p.failures++
		p.nextCheck = time.Now().Add(checkBackoffBase/2 + retry.Backoff(checkBackoffBase, checkBackoffMax, p.failures))
	} else {
		p.failures = 0
		p.nextCheck = time.Now().Add(minCheckInterval)
	}
	if err != nil {
		p.logger.Debug(logging.EventHealthCheckFailed, "target", p.gate.targetName(), "failures", p.failures, "error", err)
		return
	}
	p.gate.limiter.UpdateHealth(health, time.Now())
	p.gate.recordHealth(health, time.Now())
	p.logger.Info(logging.EventHealthChecked, "target", p.gate.targetName(), "answeredBy", health.Target,
		"ok", health.OK, "warming", health.WarmUpRemaining)
}
