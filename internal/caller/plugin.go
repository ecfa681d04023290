package caller

import (
	"log/slog"

	"go.uber.org/fx"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
	"github.com/vanillabarrow/vanillabarrow/internal/settings"
)

func init() {
	kernel.Register(kernel.Plugin{
		Name: "caller",
		Options: fx.Options(
			fx.Provide(provide),
			fx.Invoke(serve),
			kernel.ProvideDrainer(func(s *Server) kernel.Drainer {
				return kernel.Drainer{Name: "caller", Drain: s.Drain}
			}),
			kernel.ProvideState(func(s *Server) kernel.StateSource {
				return kernel.StateSource{Name: "caller", State: func() any {
					return map[string]int{"inFlight": s.InFlight()}
				}}
			}),
		),
	})
}

func provide(d vanillabarrow.Dispatcher, cfg vanillabarrow.Configuration, s settings.Settings, id *kernel.Identity, logger *slog.Logger) *Server {
	return New(Config{
		Dispatcher:    d,
		Configuration: cfg,
		Logger:        logger,
		NewID:         id.NewID,
		MaxBodyBytes:  s.Requests.MaxBodyBytes,
		MaxInFlight:   s.Requests.MaxInFlight,
	})
}

func serve(lc fx.Lifecycle, s *Server, listeners kernel.Listeners, cfg settings.Settings, logger *slog.Logger) {
	server := kernel.NewHTTPServer("caller", listeners.Caller, s.Handler(), cfg.Requests.MaxHeaderBytes, logger)
	lc.Append(server.Hook())
}
