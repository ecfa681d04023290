package relay

import (
	"log/slog"

	"github.com/uber-go/tally/v4"
	"go.uber.org/fx"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/follow"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
	"github.com/vanillabarrow/vanillabarrow/internal/membership"
	"github.com/vanillabarrow/vanillabarrow/internal/rollout"
	"github.com/vanillabarrow/vanillabarrow/internal/settings"
)

func init() {
	kernel.Register(kernel.Plugin{
		Name:    "relay",
		Profile: vanillabarrow.ProfileInventory,
		Options: fx.Options(
			fx.Provide(provideFollower, NewServer),
			follow.Provide[*Follower](),
			kernel.ProvideState(func(s *Server) kernel.StateSource {
				return kernel.StateSource{Name: "relayServer", State: func() any { return s.State() }}
			}),
			kernel.ProvideDrainer(func(s *Server) kernel.Drainer {
				return kernel.Drainer{Name: "relay", Drain: s.Drain}
			}),
		),
	})
}

// params holds the dependencies of a follower, which fx fills in.
type params struct {
	fx.In
	Settings  settings.Settings
	Listeners kernel.Listeners
	Table     *rollout.Table
	Members   *membership.Table
	Source    vanillabarrow.Source
	Relay     vanillabarrow.Relay
	Pool      *kernel.Pool
	Logger    *slog.Logger
	Scope     tally.Scope
}

func provideFollower(p params) *Follower {
	return NewFollower(Config{
		Table:       p.Table,
		Members:     p.Members,
		Source:      p.Source,
		Relay:       p.Relay,
		Pool:        p.Pool,
		Logger:      p.Logger,
		Scope:       p.Scope,
		Seeds:       p.Settings.Seeds,
		SelfAddress: p.Listeners.Peer.Addr().String(),
		FleetSize:   p.Settings.Platform.FleetSize,
		ReadBudget:  p.Settings.Platform.ReadBudget,
	})
}
