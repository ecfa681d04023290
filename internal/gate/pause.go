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
	// beatInterval is the period of the watcher.
	beatInterval = 100 * time.Millisecond
	// pauseLimit is how late the watcher may be before the node counts as
	// having been paused.
	pauseLimit = time.Second
	// checkTimeout bounds the check for a newer configuration after a pause.
	checkTimeout = 500 * time.Millisecond
)

// Checker finds out whether a newer configuration exists.
type Checker interface {
	// WaitForNewest returns when the newest reachable version is in force, after
	// the timeout at the latest.
	WaitForNewest(ctx context.Context, timeout time.Duration)
}

// Watcher notices that the process was paused. The gate then takes no new work
// until the configuration has been checked.
type Watcher struct {
	gate    *Gate
	checker Checker
	wall    time.Time
	logger  *slog.Logger
}

// NewWatcher returns a watcher; Beat has to be called at short intervals.
func NewWatcher(g *Gate, checker Checker, logger *slog.Logger) *Watcher {
	w := &Watcher{gate: g, checker: checker, logger: logger}
	w.note()
	return w
}

// note records that the watcher runs. The wall clock also runs while a machine
// is suspended, when the monotonic clock stands still.
func (w *Watcher) note() {
	w.wall = time.Now().Round(0)
	w.gate.beat.Store(int64(max(1, time.Since(w.gate.start))))
}

// Beat checks for a pause since the last beat.
func (w *Watcher) Beat(ctx context.Context) {
	asleep := time.Now().Round(0).Sub(w.wall)
	if !w.gate.suspendIfPaused() && asleep < pauseLimit+beatInterval {
		w.note()
		return
	}
	w.gate.Suspend()
	w.logger.Warn(logging.EventPaused, "for", asleep)
	w.checker.WaitForNewest(ctx, checkTimeout)
	w.note()
	w.gate.Resume()
}

// suspendIfPaused suspends the gate when the watcher is late. Requests that
// arrive before the watcher runs again notice the pause by themselves.
func (g *Gate) suspendIfPaused() bool {
	beat := g.beat.Load()
	if beat == 0 || time.Since(g.start)-time.Duration(beat) < pauseLimit {
		return false
	}
	g.Suspend()
	return true
}

// Suspend makes new work wait until Resume, while a node that was paused
// checks its configuration.
func (g *Gate) Suspend() {
	ch := make(chan struct{})
	g.awake.CompareAndSwap(nil, &ch)
}

// Resume lets new work go on.
func (g *Gate) Resume() {
	if ch := g.awake.Swap(nil); ch != nil {
		close(*ch)
	}
}

func (g *Gate) waitAwake(ctx context.Context) error {
	ch := g.awake.Load()
	if ch == nil {
		return nil
	}
	select {
	case <-*ch:
		return nil
	case <-ctx.Done():
		return vanillabarrow.NotRun(vanillabarrow.ReasonStaleConfig, "the node was paused and checks its configuration")
	}
}

// State is what the gate shows in the state dump.
type State struct {
	Target   string             `json:"target"`
	Load     vanillabarrow.Load `json:"load"`
	Running  int                `json:"running"`
	Cuts     uint64             `json:"limitCuts"`
	Fence    fence.Stats        `json:"fence"`
	Keys     idempotency.Stats  `json:"keys"`
	Draining bool               `json:"draining"`
}

func (g *Gate) targetName() string {
	if target := g.own.Resolve(g.cfg.Snapshot()); target != nil {
		return target.Name
	}
	return g.own.Name
}

// State returns the state for the dump.
func (g *Gate) State() State {
	return State{
		Target:   g.targetName(),
		Load:     g.Load(vanillabarrow.LowestPriority),
		Running:  g.Running(),
		Cuts:     g.limiter.LimitDecreases(),
		Fence:    g.fence.Stats(time.Now()),
		Keys:     g.keys.Stats(),
		Draining: g.Draining(),
	}
}
