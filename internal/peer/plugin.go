package peer

import (
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"go.uber.org/fx"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/dispatch"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
	"github.com/vanillabarrow/vanillabarrow/internal/membership"
)

// maxHeaderBytes bounds the header of a forwarded request.
const maxHeaderBytes = 256 << 10

// answerUnackedTimeout breaks a connection on which an answer is not
// acknowledged. It leaves time for two lost packets to be sent again; an answer
// that is lost all the same can be asked for over another connection.
const answerUnackedTimeout = time.Second

func init() {
	kernel.Register(kernel.Plugin{
		Name: "peer",
		Options: fx.Options(
			fx.Provide(
				provideForwarder, NewServer,
				func(o *observer) Observer { return o },
				newObserver,
				func(t *kernel.Traffic) vanillabarrow.KeyReleaser { return NewKeyMemory(t) },
			),
			fx.Invoke(serve),
		),
	})
	kernel.Register(kernel.Plugin{
		Name:    "peer.relay",
		Profile: vanillabarrow.ProfileInventory,
		Options: fx.Provide(provideRelayClient, NewRelayServer,
			func(s *RelayServer) Distribution { return s }),
	})
	kernel.Register(kernel.Plugin{
		Name:    "peer.discovery",
		Profile: vanillabarrow.ProfileStore,
		Options: fx.Provide(provideDiscoveryClient, NewDiscoveryServer,
			func(s *DiscoveryServer) Distribution { return s }),
	})
}

// Distribution serves the control messages by which nodes pass on what is
// published.
type Distribution interface {
	// Mount returns the path of the service and its handler.
	Mount() (string, http.Handler)
}

func provideForwarder(lc fx.Lifecycle, id *kernel.Identity, o Observer, t *kernel.Traffic, gate vanillabarrow.Gate, listeners kernel.Listeners) vanillabarrow.Forwarder {
	f := NewForwarder(id.VM, o, t)
	lc.Append(fx.StopHook(f.Close))
	return NewLocalForwarder(f, listeners.Peer.Addr().String(), gate, o)
}

func provideRelayClient(lc fx.Lifecycle, id *kernel.Identity, t *kernel.Traffic) vanillabarrow.Relay {
	c := NewRelayClient(id.VM, t)
	lc.Append(fx.StopHook(c.Close))
	return c
}

func provideDiscoveryClient(lc fx.Lifecycle, id *kernel.Identity, t *kernel.Traffic) vanillabarrow.ItemRelay {
	c := NewDiscoveryClient(id.VM, t)
	lc.Append(fx.StopHook(c.Close))
	return c
}

func serve(lc fx.Lifecycle, s *Server, distribution Distribution, listeners kernel.Listeners, logger *slog.Logger) {
	server := kernel.NewHTTPServer(kernel.HTTPServerConfig{
		Name: "peer", Listener: listeners.Peer, Handler: s.Handler(distribution),
		MaxHeaderBytes: maxHeaderBytes, TCPUserTimeout: answerUnackedTimeout, Logger: logger,
	})
	lc.Append(server.Hook())
}

// observer passes what answers tell to the tables that keep it.
type observer struct {
	loads   *dispatch.TargetLoads
	tokens  *dispatch.GateTokens
	members *membership.Table
	rollout vanillabarrow.Rollout
	// self is the address of the node's own peer listener.
	self net.Addr
}

func newObserver(loads *dispatch.TargetLoads, tokens *dispatch.GateTokens, members *membership.Table, rollout vanillabarrow.Rollout, listeners kernel.Listeners) *observer {
	return &observer{loads: loads, tokens: tokens, members: members, rollout: rollout, self: listeners.Peer.Addr()}
}

// Met implements Observer. Nodes listen for each other on the same port of every
// VM, unless they share a loopback interface.
func (o *observer) Met(host string) {
	own, err := netip.ParseAddrPort(o.self.String())
	if err != nil || own.Addr().IsLoopback() {
		return
	}
	o.rollout.Hint(net.JoinHostPort(host, strconv.Itoa(int(own.Port()))))
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
	snapshot := o.rollout.Snapshot()
	if snapshot == nil || version <= snapshot.Version {
		return
	}
	// A version that was rejected here is held all the same.
	if version <= o.rollout.HeldVersion() {
		return
	}
	if address := o.members.Address(vm); address != "" {
		o.rollout.Hint(address)
	}
}
