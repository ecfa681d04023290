package operator

import (
	"log/slog"
	"net/http"
	"time"

	"go.uber.org/fx"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/caller"
	"github.com/vanillabarrow/vanillabarrow/internal/gate"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
	"github.com/vanillabarrow/vanillabarrow/internal/membership"
	"github.com/vanillabarrow/vanillabarrow/internal/settings"
	"github.com/vanillabarrow/vanillabarrow/internal/tenant"
)

func init() {
	kernel.Register(kernel.Plugin{
		Name:    "operator",
		Options: fx.Options(fx.Provide(provideServer, NewSampler), fx.Invoke(serve, startSampler)),
	})
}

// params holds the dependencies of a server, which fx fills in.
type params struct {
	fx.In
	Identity *kernel.Identity
	Rollout  vanillabarrow.Rollout
	Members  *membership.Table
	Gate     *gate.Gate
	Traffic  *kernel.Traffic
	Owner    *tenant.Owner
	Callers  *caller.Server
	Metrics  http.Handler
	States   []kernel.StateSource `group:"states"`
	Logger   *slog.Logger
}

func provideServer(p params) *Server {
	return New(Config{
		Identity: p.Identity,
		Rollout:  p.Rollout,
		Members:  p.Members,
		Gate:     p.Gate,
		Traffic:  p.Traffic,
		Owner:    p.Owner,
		Callers:  p.Callers,
		Metrics:  p.Metrics,
		States:   p.States,
		Logger:   p.Logger,
	})
}

func startSampler(lc fx.Lifecycle, pool *kernel.Pool, s *Sampler) {
	lc.Append(fx.StartHook(func() {
		pool.Every(func() time.Duration { return sampleInterval }, false, "operator.sampler", s.Tick)
	}))
}

func serve(lc fx.Lifecycle, s *Server, listeners kernel.Listeners, cfg settings.Settings, intake *kernel.Intake, logger *slog.Logger) {
	server := kernel.NewHTTPServer(kernel.HTTPServerConfig{
		Name: "operator", Listener: listeners.Operator, Handler: s.Handler(),
		MaxHeaderBytes: cfg.Requests.MaxHeaderBytes, Intake: intake, Logger: logger,
	})
	lc.Append(server.Hook())
}
