package peer

import (
	"log/slog"
	"time"

	"go.uber.org/fx"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/dispatch"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
	"github.com/vanillabarrow/vanillabarrow/internal/membership"
	"github.com/vanillabarrow/vanillabarrow/internal/relay"
	"github.com/vanillabarrow/vanillabarrow/internal/rollout"
)

// maxHeaderBytes bounds the header of a forwarded request.
const maxHeaderBytes = 256 << 10

func init() {
	kernel.Register(kernel.Plugin{
		Name: "peer",
		Options: fx.Options(
			fx.Provide(
				provideForwarder, provideRelayClient, NewRelayServer, NewServer,
				func(o *observer) Observer { return o },
				newObserver,
				func(t *kernel.Traffic) vanillabarrow.KeyMemory { return NewKeyMemory(t) },
			),
			fx.Invoke(serve),
		),
	})
}

func provideForwarder(lc fx.Lifecycle, id *kernel.Identity, o Observer, t *kernel.Traffic) vanillabarrow.Forwarder {
	f := NewForwarder(id.VM, o, t)
	lc.Append(fx.StopHook(f.Close))
	return f
}

func provideRelayClient(lc fx.Lifecycle, id *kernel.Identity, t *kernel.Traffic) vanillabarrow.Relay {
	c := NewRelayClient(id.VM, t)
	lc.Append(fx.StopHook(c.Close))
	return c
}

func serve(lc fx.Lifecycle, s *Server, relays *RelayServer, listeners kernel.Listeners, logger *slog.Logger) {
	server := kernel.NewHTTPServer("peer", listeners.Peer, s.Handler(relays), maxHeaderBytes, logger)
	lc.Append(server.Hook())
}

// observer passes what answers tell to the tables that keep it.
type observer struct {
	loads    *dispatch.Loads
	tokens   *dispatch.Tokens
	members  *membership.Table
	table    *rollout.Table
	follower *relay.Follower
}

func newObserver(loads *dispatch.Loads, tokens *dispatch.Tokens, members *membership.Table, table *rollout.Table, follower *relay.Follower) *observer {
	return &observer{loads: loads, tokens: tokens, members: members, table: table, follower: follower}
}

// Report implements Observer.
func (o *observer) Report(target string, load vanillabarrow.Load, now time.Time) {
	o.loads.Report(target, load, now)
}

// Put implements Observer.
func (o *observer) Put(target string, token vanillabarrow.Token) { o.tokens.Put(target, token) }

// SeenVersion implements Observer. A node that is behind pulls from the one
// that is ahead.
func (o *observer) SeenVersion(vm string, version vanillabarrow.Version) {
	snapshot := o.table.Snapshot()
	if snapshot == nil || version <= snapshot.Version {
		return
	}
	// A version that was rejected here is held all the same.
	if version <= o.table.HeldVersion(vanillabarrow.TopicConfig) {
		return
	}
	if address := o.members.Address(vm); address != "" {
		o.follower.Hint(address)
	}
}
