// Package node composes one node from the registered plug-ins.
package node

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	tallyprometheus "github.com/uber-go/tally/v4/prometheus"
	"go.uber.org/fx"

	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
	"github.com/vanillabarrow/vanillabarrow/internal/logging"
	"github.com/vanillabarrow/vanillabarrow/internal/operator"
	"github.com/vanillabarrow/vanillabarrow/internal/settings"
)

const (
	// reportInterval is the period at which metrics are collected.
	reportInterval = 2 * time.Second
	// refuseNotice is how long before the end of a leaving node's notice its gate
	// refuses new work. It covers a round trip to every node.
	refuseNotice = 600 * time.Millisecond
)

// Node is one running node.
type Node struct {
	app      *fx.App
	settings settings.Settings
	drainers []kernel.Drainer
	server   *operator.Server
	identity *kernel.Identity
	logger   *slog.Logger
}

// Listen opens the listeners that the settings name.
func Listen(s settings.Settings) (kernel.Listeners, error) {
	var listeners kernel.Listeners
	for _, l := range []struct {
		field   string
		address string
		into    *net.Listener
	}{
		{"listen.caller", s.Listen.Caller, &listeners.Caller},
		{"listen.peer", s.Listen.Peer, &listeners.Peer},
		{"listen.operator", s.Listen.Operator, &listeners.Operator},
		{"listen.ready", s.Listen.Ready, &listeners.Ready},
	} {
		if l.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			CloseListeners(listeners)
			return kernel.Listeners{}, eris.Wrap(err, l.field)
		}
		*l.into = listener
	}
	return listeners, nil
}

// CloseListeners closes listeners that no node has taken over.
func CloseListeners(listeners kernel.Listeners) {
	for _, l := range []net.Listener{listeners.Caller, listeners.Peer, listeners.Operator, listeners.Ready} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// New returns a node that serves on the listeners once started.
func New(s settings.Settings, listeners kernel.Listeners, logger *slog.Logger) (*Node, error) {
	n := &Node{settings: s, logger: logger}
	n.app = fx.New(
		fx.NopLogger,
		fx.Supply(s, listeners, logger),
		fx.Provide(
			func() *kernel.Identity {
				id := kernel.NewIdentity(s.Node.VM, s.Node.DataCentre, s.Node.TargetRef())
				id.SetService(s.Node.Service)
				return id
			},
			newPool, newMetrics, kernel.NewTraffic,
		),
		kernel.Options(s.Profile),
		fx.Invoke(func(p collected) { n.drainers, n.server, n.identity = p.Drainers, p.Server, p.Identity }),
	)
	return n, n.app.Err()
}

// collected are the values that the node itself needs.
type collected struct {
	fx.In
	Drainers []kernel.Drainer `group:"drainers"`
	Server   *operator.Server
	Identity *kernel.Identity
}

func newPool(lc fx.Lifecycle, logger *slog.Logger) *kernel.Pool {
	pool := kernel.NewPool(kernel.DefaultPoolConfig(), logger)
	lc.Append(fx.StopHook(pool.Close))
	return pool
}

func newMetrics(lc fx.Lifecycle) (tally.Scope, http.Handler) {
	registry := prometheus.NewRegistry()
	reporter := tallyprometheus.NewReporter(tallyprometheus.Options{
		Registerer: registry,
		Gatherer:   registry,
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "vanillabarrow",
		CachedReporter:         reporter,
		Separator:              tallyprometheus.DefaultSeparator,
		SanitizeOptions:        &tallyprometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	lc.Append(fx.StopHook(func() { _ = closer.Close() }))
	return scope, reporter.HTTPHandler()
}

// Start starts the plug-ins. The node serves from then on, and refuses until
// it holds a configuration.
func (n *Node) Start(ctx context.Context) error { return n.app.Start(ctx) }

// Stop announces the end, waits for callers and nodes to move on, finishes
// what is in flight and ends the node. The target goes on to get work for most
// of the notice. Work still open when the drain timeout
// passes is cut.
func (n *Node) Stop(ctx context.Context) error {
	for _, d := range n.drainers {
		d.Drain()
	}
	last := min(refuseNotice, n.settings.LeaveNotice)
	sleep(ctx, n.settings.LeaveNotice-last)
	for _, d := range n.drainers {
		if d.Refuse != nil {
			d.Refuse()
		}
	}
	sleep(ctx, last)
	for _, d := range n.drainers {
		if d.Close != nil {
			d.Close()
		}
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), n.settings.DrainTimeout)
	defer cancel()
	return n.app.Stop(ctx)
}

// sleep waits for a time, or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Reload takes over what can change while the node runs: the service that the
// callers on the VM act for. Everything else takes effect at the next start.
func (n *Node) Reload(s settings.Settings) {
	old := n.identity.Service()
	n.identity.SetService(s.Node.Service)
	restart := s.Node.TargetRef() != n.settings.Node.TargetRef() || s.Listen != n.settings.Listen
	n.logger.Info(logging.EventSettingsReloaded, "service", s.Node.Service, "before", old, "needsRestart", restart)
}

// Status returns the node's status.
func (n *Node) Status() operator.Status { return n.server.Status() }
