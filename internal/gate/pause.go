package gate

import (
	"context"
	"log/slog"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/fence"
	"github.com/vanillabarrow/vanillabarrow/internal/idempotency"
	"github.com/vanillabarrow/vanillabarrow/internal/logging"
)

const (
	// detectorInterval is the period at which the pause detector runs.
	detectorInterval = 100 * time.Millisecond
	// pauseThreshold is the time without a run of the pause detector from which
	// the process counts as paused.
	pauseThreshold = time.Second
	// configTimeout limits the wait for a newer configuration after a pause.
	configTimeout = 500 * time.Millisecond
)

// ConfigWaiter waits for the newest configuration.
type ConfigWaiter interface {
	// WaitForNewest returns when the newest reachable version is in force, or
	// after the timeout.
	WaitForNewest(ctx context.Context, timeout time.Duration)
}

// PauseDetector detects that the process was paused. It then suspends the gate
// until the newest configuration is in force, as it may have changed during the
// pause.
type PauseDetector struct {
	gate         *Gate
	config       ConfigWaiter
	lastWallTime time.Time
	logger       *slog.Logger
}

// NewPauseDetector returns a pause detector. Its Tick method has to be called
// every detectorInterval.
func NewPauseDetector(g *Gate, config ConfigWaiter, logger *slog.Logger) *PauseDetector {
	g.suspension.resume()
	return &PauseDetector{gate: g, config: config, lastWallTime: time.Now().Round(0), logger: logger}
}

// Tick detects a pause since the last call. After a pause it waits for the newest
// configuration and then resumes the gate. While a machine is suspended the wall clock
// advances but the monotonic clock does not, so both count.
func (d *PauseDetector) Tick(ctx context.Context) {
	wallTime := time.Now().Round(0)
	sinceLastTick := wallTime.Sub(d.lastWallTime)
	d.lastWallTime = wallTime
	if sinceLastTick < pauseThreshold+detectorInterval && d.gate.suspension.tick() {
		return
	}
	d.gate.suspension.suspend()
	d.logger.Warn(logging.EventPaused, "for", sinceLastTick)
	d.config.WaitForNewest(ctx, configTimeout)
	d.lastWallTime = time.Now().Round(0)
	d.gate.suspension.resume()
}

// State is the gate's part of the state dump.
type State struct {
	Target         string             `json:"target"`
	Load           vanillabarrow.Load `json:"load"`
	Running        int                `json:"running"`
	LimitDecreases uint64             `json:"limitCuts"`
	Fence          fence.Stats        `json:"fence"`
	Keys           idempotency.Stats  `json:"keys"`
	Draining       bool               `json:"draining"`
	// TargetLeaving is set while health checks report that the target is leaving.
	TargetLeaving bool `json:"targetLeaving"`
}

// targetName returns the target's name in the snapshot in force, or the configured
// name if the snapshot doesn't have the target.
func (g *Gate) targetName() string {
	if target := g.ownTarget.Resolve(g.cfg.Snapshot()); target != nil {
		return target.Name
	}
	return g.ownTarget.Name
}

// State returns the current state for the state dump.
func (g *Gate) State() State {
	return State{
		Target:         g.targetName(),
		Load:           g.Load(vanillabarrow.LowestPriority),
		Running:        g.Running(),
		LimitDecreases: g.limiter.LimitDecreases(),
		Fence:          g.fence.Stats(time.Now()),
		Keys:           g.keys.Stats(),
		Draining:       g.Draining(),
		TargetLeaving:  g.isTargetLeaving(),
	}
}
