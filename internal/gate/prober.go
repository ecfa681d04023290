package gate

import (
	"context"
	"log/slog"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/logging"
	"github.com/vanillabarrow/vanillabarrow/internal/random"
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
// replaced target, and at an interval, to detect that the target is leaving.
// Checks take a slot, so none are sent otherwise.
type Prober struct {
	gate     *Gate
	checker  HealthChecker
	interval time.Duration
	logger   *slog.Logger
	failures int
	// nextCheck is the earliest time of a check that the limiter or the gate needs,
	// nextPeriodic that of one that is sent in any case.
	nextCheck    time.Time
	nextPeriodic time.Time
	// periodicDelay is the time from the next successful check to a periodic one.
	periodicDelay time.Duration
	lastHealth    vanillabarrow.Health
}

// NewProber returns a prober. Its Tick method has to be called periodically. The
// interval is the maximum time between two checks of a healthy target, 0 for none.
// The first interval is a random part of it, so that probers that start at the same
// time don't send their checks at the same time.
func NewProber(g *Gate, checker HealthChecker, interval time.Duration, logger *slog.Logger) *Prober {
	p := &Prober{gate: g, checker: checker, interval: interval, logger: logger}
	if interval > 0 {
		p.periodicDelay = random.Duration(interval)
		p.nextPeriodic = time.Now().Add(p.periodicDelay)
	}
	return p
}

// Tick sends a health check if one is needed and due.
func (p *Prober) Tick(ctx context.Context) {
	start := time.Now()
	if p.gate.ownTarget.Resolve(p.gate.cfg.Snapshot()) == nil {
		return
	}
	needed := !start.Before(p.nextCheck) && (p.gate.limiter.NeedsHealthCheck() || p.gate.needsHealthCheck(start))
	if !needed && (p.interval == 0 || start.Before(p.nextPeriodic)) {
		return
	}
	health, err := p.checker.Check(ctx)
	if err != nil {
		p.backOff()
		p.logger.Debug(logging.EventHealthCheckFailed, "target", p.gate.targetName(), "failures", p.failures, "error", err)
		return
	}
	p.gate.limiter.UpdateHealth(health, time.Now())
	p.gate.recordHealth(health, time.Now())
	p.schedule(start, health)
	if needed || health != p.lastHealth {
		p.logger.Info(logging.EventHealthChecked, "target", p.gate.targetName(), "answeredBy", health.Target,
			"ok", health.OK, "shed", health.Shed, "warming", health.WarmUpRemaining)
	}
	p.lastHealth = health
}

// schedule sets the times of the next checks after the response to a check that was sent
// at start.
func (p *Prober) schedule(start time.Time, health vanillabarrow.Health) {
	if !health.OK {
		if !health.Shed && p.gate.leavingReports.Load().checks == 1 {
			// Earlier failures must not delay the check that confirms the report.
			p.failures = 0
		}
		p.backOff()
		return
	}
	p.failures = 0
	p.nextCheck = time.Now().Add(minCheckInterval)
	p.nextPeriodic = start.Add(p.periodicDelay)
	p.periodicDelay = p.interval
}

// backOff delays the next check after one that failed or was not successful.
func (p *Prober) backOff() {
	p.failures++
	p.nextCheck = time.Now().Add(checkBackoffBase/2 + retry.Backoff(checkBackoffBase, checkBackoffMax, p.failures))
	p.nextPeriodic = p.nextCheck
}
