package caller

import (
	"context"
	"log/slog"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/fx"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/dispatch"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
	"github.com/vanillabarrow/vanillabarrow/internal/pipeline"
	"github.com/vanillabarrow/vanillabarrow/internal/route"
	"github.com/vanillabarrow/vanillabarrow/internal/settings"
)

func init() {
	kernel.Register(kernel.Plugin{
		Name: "caller",
		Options: fx.Options(
			fx.Provide(provideServer, route.NewSplits),
			fx.Invoke(serve, startSweep),
			kernel.ProvideDrainer(func(s *Server) kernel.Drainer {
				return kernel.Drainer{Name: "caller", Drain: s.Drain, Close: s.Close, Abort: s.Abort}
			}),
			kernel.ProvideState(func(s *Server) kernel.StateSource {
				return kernel.StateSource{Name: "caller", State: func() any {
					return map[string]int{"inFlight": s.InFlight()}
				}}
			}),
		),
	})
	kernel.Register(kernel.Plugin{
		Name:    "caller.protocol",
		Profile: vanillabarrow.ProfileInventory,
		Options: fx.Provide(func() vanillabarrow.CallerProtocol { return NewProtocol() }),
	})
}

// sweepInterval is the interval at which the state of removed routes is deleted.
const sweepInterval = time.Minute

func startSweep(lc fx.Lifecycle, pool *kernel.Pool, splits *route.Splits, cfg vanillabarrow.Configuration) {
	sweep := func(context.Context) {
		if snapshot := cfg.Snapshot(); snapshot != nil {
			splits.Retain(snapshot.Routes)
		}
	}
	lc.Append(fx.StartHook(func() {
		pool.Every(func() time.Duration { return sweepInterval }, false, "caller.sweep", sweep)
	}))
}

// params holds the dependencies of a server, which fx fills in.
type params struct {
	fx.In
	Dispatcher    *dispatch.Dispatcher
	Configuration vanillabarrow.Configuration
	Protocol      vanillabarrow.CallerProtocol
	Allowances    vanillabarrow.Allowances
	Splits        *route.Splits
	Settings      settings.Settings
	Identity      *kernel.Identity
	Memory        vanillabarrow.MemoryBudget
	Scope         tally.Scope
	Logger        *slog.Logger
}

func provideServer(p params) *Server {
	return New(Config{
		Dispatcher:    p.Dispatcher,
		Explainer:     p.Dispatcher,
		Configuration: p.Configuration,
		Protocol:      p.Protocol,
		Allowances:    p.Allowances,
		Splits:        p.Splits,
		Memory:        p.Memory,
		Logger:        p.Logger,
		Scope:         p.Scope,
		NewID:         p.Identity.NewID,
		MaxBodyBytes:  p.Settings.Requests.MaxBodyBytes,
		MaxInFlight:   p.Settings.Requests.MaxInFlight,
	})
}

// serveParams holds the dependencies of the caller listener, which fx fills in.
type serveParams struct {
	fx.In
	Server    *Server
	Listeners kernel.Listeners
	Settings  settings.Settings
	// Budget bounds the memory of requests that are read ahead, Intake that of
	// connections.
	Budget vanillabarrow.MemoryBudget
	Intake *kernel.Intake
	Scope  tally.Scope
	Logger *slog.Logger
}

func serve(lc fx.Lifecycle, p serveParams) {
	requests := p.Settings.Requests
	cfg := kernel.HTTPServerConfig{
		Name: "caller", Listener: p.Listeners.Caller, Handler: p.Server.Handler(),
		MaxHeaderBytes: requests.MaxHeaderBytes, Intake: p.Intake, Logger: p.Logger,
	}
	if requests.PipelinedRequests > 0 {
		listener := pipeline.New(pipeline.Config{
			Listener: cfg.Listener, Handler: cfg.Handler, IsIdempotent: p.Server.IsIdempotent,
			MaxRequests: requests.PipelinedRequests, MaxBytes: requests.PipelinedBytes, MaxHeaderBytes: requests.MaxHeaderBytes,
			Budget: p.Budget, Scope: p.Scope, Logger: p.Logger,
		})
		cfg.Listener, cfg.Handler = listener, listener
	}
	lc.Append(kernel.NewHTTPServer(cfg).Hook())
}
