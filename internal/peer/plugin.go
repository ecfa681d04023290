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

// maxHeaderBytes is the maximum size of a forwarded request's header.
const maxHeaderBytes = 256 << 10

// serverTCPUserTimeout is the TCP_USER_TIMEOUT of accepted connections, except
// while a streamed response is sent, which ends at its attempt's deadline. It
// leaves time to retransmit two lost packets. If a response is lost all the same,
// the sender can query the attempt over another connection.
const serverTCPUserTimeout = time.Second

func init() {
	kernel.Register(kernel.Plugin{
		Name: "peer",
		Options: fx.Options(
			fx.Provide(
				provideForwarder, NewServer, provideAllowanceExchange,
				func(o *observer) Observer { return o },
				newObserver,
				func(t *kernel.Traffic) vanillabarrow.KeyReleaser { return NewKeyReleaser(t) },
			),
			fx.Invoke(serve),
		),
	})
	kernel.Register(kernel.Plugin{
		Name:    "peer.relay",
		Profile: vanillabarrow.ProfileInventory,
		Options: fx.Provide(provideRelayClient, NewRelayServer,
			func(s *RelayServer) DistributionService { return s }),
	})
	kernel.Register(kernel.Plugin{
		Name:    "peer.discovery",
		Profile: vanillabarrow.ProfileStore,
		Options: fx.Provide(provideDiscoveryClient, NewDiscoveryServer,
			func(s *DiscoveryServer) DistributionService { return s }),
	})
}

// DistributionService serves the control messages by which nodes distribute
// published values to each other.
type DistributionService interface {
	// Mount returns the path prefix of the service and its handler.
	Mount() (string, http.Handler)
}

func provideForwarder(lc fx.Lifecycle, id *kernel.Identity, o Observer, t *kernel.Traffic, gate vanillabarrow.Gate, listeners kernel.Listeners) (vanillabarrow.Forwarder, vanillabarrow.Withdrawer) {
	f := NewForwarder(id.VM, o, t)
	lc.Append(fx.StopHook(f.Close))
	local := NewLocalForwarder(f, listeners.Peer.Addr().String(), gate, o)
	return local, local
}

func provideAllowanceExchange(lc fx.Lifecycle, t *kernel.Traffic) vanillabarrow.AllowanceExchange {
	c := NewAllowanceClient(t)
	lc.Append(fx.StopHook(c.Close))
	return c
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

func serve(lc fx.Lifecycle, s *Server, distribution DistributionService, owner vanillabarrow.AllowanceOwner, listeners kernel.Listeners, intake *kernel.Intake, logger *slog.Logger) {
	server := kernel.NewHTTPServer(kernel.HTTPServerConfig{
		Name: "peer", Listener: listeners.Peer, Handler: &allowanceHandler{owner: owner, next: s.Handler(distribution)},
		MaxHeaderBytes: maxHeaderBytes, TCPUserTimeout: serverTCPUserTimeout, Intake: intake, Logger: logger,
	})
	lc.Append(server.Hook())
}

// observer passes the state reported by other nodes to the tables that store
// it.
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

// ObserveSender implements Observer. Nodes use the same peer port on every VM,
// except for those that share a loopback interface.
func (o *observer) ObserveSender(host string) {
	self, err := netip.ParseAddrPort(o.self.String())
	if err != nil || self.Addr().IsLoopback() {
		return
	}
	o.rollout.Hint(net.JoinHostPort(host, strconv.Itoa(int(self.Port()))), 0)
}

// ObserveLoad implements Observer.
func (o *observer) ObserveLoad(target string, load vanillabarrow.Load, now time.Time) {
	o.loads.Report(target, load, now)
}

// ObserveToken implements Observer.
func (o *observer) ObserveToken(target string, token vanillabarrow.Token) {
	o.tokens.Put(target, token)
}

// ObserveVersion implements Observer. A newer version is fetched from the node
// that has it, unless it arrives from elsewhere first.
func (o *observer) ObserveVersion(vm string, version vanillabarrow.Version) {
	snapshot := o.rollout.Snapshot()
	if snapshot == nil || version <= snapshot.Version {
		return
	}
	// A version that was received but rejected is not fetched again.
	if version <= o.rollout.HeldVersion() {
		return
	}
	if address := o.members.Address(vm); address != "" {
		o.rollout.Hint(address, version)
	}
}
