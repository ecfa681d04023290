package relay

import (
	"context"
	"slices"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/follow"
	"github.com/vanillabarrow/vanillabarrow/internal/logging"
	"github.com/vanillabarrow/vanillabarrow/internal/membership"
	"github.com/vanillabarrow/vanillabarrow/internal/sleep"
)

const (
	// bootstrapPeers is the maximum number of peers queried in each round, and
	// requiredPeerResponses the number of peers whose responses make the node ready
	// without the platform.
	bootstrapPeers        = 3
	requiredPeerResponses = 2
	// bootstrapWait bounds the wait for further responses once a version is in
	// force, and each query of the platform.
	bootstrapWait = time.Second
	// bootstrapInterval is the mean delay between two rounds.
	bootstrapInterval = 100 * time.Millisecond
)

// bootstrap is the state of a node that starts.
type bootstrap struct {
	follower       *Follower
	respondedPeers map[string]bool
	nextReadAt     time.Time
	// firstInForceAt is when a configuration was first seen in force.
	firstInForceAt time.Time
}

// runBootstrap queries peers and the platform until the node is ready. It is
// ready when a configuration is in force and either the platform has returned
// or confirmed one, or two peers have responded, or bootstrapWait has passed
// since one came into force.
func (f *Follower) runBootstrap(ctx context.Context) {
	b := &bootstrap{follower: f, respondedPeers: map[string]bool{}, nextReadAt: time.Now().Add(f.firstReadDelay())}
	for ctx.Err() == nil {
		b.queryPeers(ctx)
		b.queryPlatform(ctx)
		if b.done(time.Now()) {
			f.Logger.Info(logging.EventReady, "version", f.Table.Snapshot().Version,
				"peers", len(b.respondedPeers), "platform", f.configRead.Load())
			close(f.ready)
			return
		}
		sleep.For(ctx, jittered(bootstrapInterval)())
	}
}

func (b *bootstrap) queryPeers(ctx context.Context) {
	for _, address := range b.follower.samplePeerAddresses() {
		if b.follower.syncFrom(ctx, address) != nil {
			continue
		}
		b.follower.noteContact()
		if b.follower.Table.Snapshot() != nil {
			b.respondedPeers[address] = true
		}
	}
}

// queryPlatform reads the VM list, which shows whether the node is a reader. A
// reader then watches the configuration; any other node gets it from peers,
// since its share of the read budget is too small for a full inventory.
func (b *bootstrap) queryPlatform(ctx context.Context) {
	f := b.follower
	if f.Table.VMList() != nil || time.Now().Before(b.nextReadAt) {
		return
	}
	b.nextReadAt = time.Now().Add(f.firstReadDelay() + bootstrapInterval)
	ctx, cancel := context.WithTimeout(ctx, bootstrapWait)
	defer cancel()
	b.readTopic(ctx, vanillabarrow.TopicVMs)
	if f.Table.VMList() != nil {
		return
	}
	// Without a valid VM list the node does not know whether it is a reader, so it
	// reads the configuration itself.
	b.readTopic(ctx, vanillabarrow.TopicConfig)
}

func (b *bootstrap) readTopic(ctx context.Context, topic vanillabarrow.Topic) {
	if err := b.follower.readSource(ctx, topic); err != nil {
		b.follower.Logger.Debug(logging.EventFirstReadFailed, "topic", topic, "error", err)
	}
}

func (b *bootstrap) done(now time.Time) bool {
	if b.follower.Table.Snapshot() == nil {
		return false
	}
	if b.firstInForceAt.IsZero() {
		b.firstInForceAt = now
	}
	return b.follower.configRead.Load() || len(b.respondedPeers) >= requiredPeerResponses || now.Sub(b.firstInForceAt) >= bootstrapWait
}

// samplePeerAddresses returns the addresses of up to bootstrapPeers other nodes,
// drawn at random from the seeds and the known peers.
func (f *Follower) samplePeerAddresses() []string {
	view := f.Members.View()
	known := membership.Sample(slices.Concat(view.Parents, view.PrecedingPeers, view.RemoteReaders), bootstrapPeers)
	addresses := follow.Others(slices.Concat(f.Seeds, membership.Addresses(known)), f.SelfAddress)
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	peers := make([]membership.Peer, len(addresses))
	for i, a := range addresses {
		peers[i].Address = a
	}
	return membership.Addresses(membership.Sample(peers, bootstrapPeers))
}

var _ vanillabarrow.Configuration = (*Follower)(nil)

// Snapshot implements vanillabarrow.Configuration. It returns nil until the
// node is ready, so that no requests are served before.
func (f *Follower) Snapshot() *vanillabarrow.Snapshot {
	if !f.IsReady() {
		return nil
	}
	return f.Table.Snapshot()
}
