// Package node assembles a node from the registered plug-ins.
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

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
	"github.com/vanillabarrow/vanillabarrow/internal/logging"
	"github.com/vanillabarrow/vanillabarrow/internal/operator"
	"github.com/vanillabarrow/vanillabarrow/internal/settings"
	"github.com/vanillabarrow/vanillabarrow/internal/sleep"
)

const (
	// reportInterval is how often metrics are passed to the reporter.
	reportInterval = 2 * time.Second
	// refusalPeriod is the last part of the leave notice, in which the gate
	// refuses new requests. It is long enough for a round trip to every node.
	refusalPeriod = 600 * time.Millisecond
)

// Node is one node of the mesh. It forwards the requests of callers and admits
// requests to the target on its VM.
type Node struct {
	app      *fx.App
	settings settings.Settings
	drainers []kernel.Drainer
	server   *operator.Server
	identity *kernel.Identity
	logger   *slog.Logger
}

// Listen opens the listeners whose addresses the settings give. The error names
// the setting.
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

// CloseListeners closes listeners that no running node serves on.
func CloseListeners(listeners kernel.Listeners) {
	for _, l := range []net.Listener{listeners.Caller, listeners.Peer, listeners.Operator, listeners.Ready} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// New returns a node that serves on the listeners after Start.
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
			func() *kernel.Intake {
				return kernel.NewIntake(kernel.NewIntakeLimits(s.Limits.MemoryMB, s.Limits.FileDescriptors))
			},
			func(t *kernel.Intake) vanillabarrow.MemoryBudget { return t },
		),
		kernel.Options(s.Profile),
		fx.Invoke(func(p params) { n.drainers, n.server, n.identity = p.Drainers, p.Server, p.Identity }),
	)
	return n, n.app.Err()
}

// params holds the values that the node itself needs, which fx fills in.
type params struct {
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

// Start starts the plug-ins. The node then accepts requests, and refuses them
// until it has a configuration.
func (n *Node) Start(ctx context.Context) error { return n.app.Start(ctx) }

// Stop shuts the node down: it announces the shutdown, gives callers and other
// nodes the leave notice to switch to other nodes, and waits for requests in
// flight. The target gets new requests until the refusal period at the end of
// the notice. Requests that wait for a slot after the wait timeout are refused as not
// run. Those without a response after the drain timeout are refused as may-have-run,
// unless it is proved that they have not run, and the last responses are written within
// the abort timeout. What is open then is cut, for which the stop takes kernel.AbortTime
// more.
// When ctx ends, the rest of the notice is skipped.
func (n *Node) Stop(ctx context.Context) error {
	for _, d := range n.drainers {
		if d.Drain != nil {
			d.Drain()
		}
	}
	refusing := min(refusalPeriod, n.settings.LeaveNotice)
	sleep.For(ctx, n.settings.LeaveNotice-refusing)
	for _, d := range n.drainers {
		if d.Refuse != nil {
			d.Refuse()
		}
	}
	sleep.For(ctx, refusing)
	for _, d := range n.drainers {
		if d.Close != nil {
			d.Close()
		}
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), n.settings.DrainTimeout+n.settings.AbortTimeout+kernel.AbortTime)
	defer cancel()
	s := newShutdown(n.drainers, n.settings)
	go s.run(ctx)
	return n.app.Stop(ctx)
}

// Reload applies the setting that can change while the node runs: the service
// that the callers on the VM belong to. All others take effect at the next start.
func (n *Node) Reload(s settings.Settings) {
	old := n.identity.Service()
	n.identity.SetService(s.Node.Service)
	restart := s.Node.TargetRef() != n.settings.Node.TargetRef() || s.Listen != n.settings.Listen
	n.logger.Info(logging.EventSettingsReloaded, "service", s.Node.Service, "before", old, "needsRestart", restart)
}

// Status returns the node's status.
func (n *Node) Status() operator.Status { return n.server.Status() }
