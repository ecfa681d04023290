package gate

import (
	"context"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/fence"
	"github.com/vanillabarrow/vanillabarrow/internal/idempotency"
)

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

// State returns the state for the dump.
func (g *Gate) State() State {
	return State{
		Target:   g.target,
		Load:     g.Load(),
		Running:  g.Running(),
		Cuts:     g.limiter.Cuts(),
		Fence:    g.fence.Stats(time.Now()),
		Keys:     g.keys.Stats(),
		Draining: g.Draining(),
	}
}
