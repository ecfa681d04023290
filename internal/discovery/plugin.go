package discovery

import (
	"log/slog"

	"github.com/uber-go/tally/v4"
	"go.uber.org/fx"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/follow"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
	"github.com/vanillabarrow/vanillabarrow/internal/membership"
	"github.com/vanillabarrow/vanillabarrow/internal/settings"
)

func init() {
	kernel.Register(kernel.Plugin{
		Name:    "discovery",
		Profile: vanillabarrow.ProfileStore,
		Options: fx.Options(
			fx.Provide(
				func(id *kernel.Identity, order vanillabarrow.ItemOrder) *Table {
					return NewTable(id.Incarnation, order)
				},
				func(t *Table, s settings.Settings, l *slog.Logger, scope tally.Scope) *Server {
					return NewServer(t, s.Bounds, l, scope)
				},
				provideFollower,
			),
			follow.Provide[*Follower](),
			kernel.ProvideState(func(f *Follower) kernel.StateSource {
				return kernel.StateSource{Name: "discovery", State: func() any { return f.Status() }}
			}),
			kernel.ProvideDrainer(func(s *Server) kernel.Drainer {
				return kernel.Drainer{Name: "discovery", Drain: s.Drain}
			}),
		),
	})
}

// params holds the dependencies of a follower, which fx fills in.
type params struct {
	fx.In
	Settings  settings.Settings
	Identity  *kernel.Identity
	Listeners kernel.Listeners
	Table     *Table
	Members   *membership.Table
	Source    vanillabarrow.ItemSource
	Compiler  vanillabarrow.ItemCompiler
	Relay     vanillabarrow.ItemRelay
	Pool      *kernel.Pool
	Logger    *slog.Logger
	Scope     tally.Scope
}

func provideFollower(p params) *Follower {
	return NewFollower(Config{
		Table:       p.Table,
		Members:     p.Members,
		Source:      p.Source,
		Compiler:    p.Compiler,
		Relay:       p.Relay,
		Pool:        p.Pool,
		Logger:      p.Logger,
		Scope:       p.Scope,
		Seeds:       p.Settings.Seeds,
		OwnTarget:   p.Identity.OwnTarget,
		SelfAddress: p.Listeners.Peer.Addr().String(),
		FleetSize:   p.Settings.Platform.FleetSize,
		ReadBudget:  p.Settings.Platform.ReadBudget,
		Bounds:      p.Settings.Bounds,
	})
}
