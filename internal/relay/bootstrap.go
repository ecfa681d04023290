package relay

import (
	"context"
	"slices"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/logging"
	"github.com/vanillabarrow/vanillabarrow/internal/membership"
)

const (
	// startPeers is the number of peers asked in each round, and enoughPeers
	// the number of answers that make the node ready without the platform.
	startPeers  = 3
	enoughPeers = 2
	// startWindow bounds the wait for further answers once a version is held.
	startWindow = time.Second
	// startRound is the mean delay between two rounds.
	startRound = 100 * time.Millisecond
)

// bootstrap is the state of a start.
type bootstrap struct {
	follower *Follower
	answered map[string]bool
	readAt   time.Time
	heldAt   time.Time
}

// runBootstrap asks peers and the platform until the node may take work: when
// a version is in force and the platform or two peers have answered, or one
// has and startWindow has passed.
func (f *Follower) runBootstrap(ctx context.Context) {
	b := &bootstrap{follower: f, answered: map[string]bool{}, readAt: time.Now().Add(f.firstRead())}
	for ctx.Err() == nil {
		b.askPeers(ctx)
		b.askPlatform(ctx)
		if b.done(time.Now()) {
			f.Logger.Info(logging.EventReady, "version", f.Table.Snapshot().Version,
				"peers", len(b.answered), "platform", f.configRead.Load())
			close(f.ready)
			return
		}
		sleep(ctx, jittered(startRound)())
	}
}

func (b *bootstrap) askPeers(ctx context.Context) {
	for _, address := range b.follower.known() {
		if b.follower.catchUp(ctx, address) != nil {
			continue
		}
		b.follower.heard()
		if b.follower.Table.Snapshot() != nil {
			b.answered[address] = true
		}
	}
}

// askPlatform reads the VM list, which tells whether the node is a reader. A
// reader then watches the configuration; any other node learns it from peers,
// since its share of the read budget is too small for a whole inventory.
func (b *bootstrap) askPlatform(ctx context.Context) {
	f := b.follower
	if f.Table.VMList() != nil || time.Now().Before(b.readAt) {
		return
	}
	b.readAt = time.Now().Add(f.firstRead() + startRound)
	ctx, cancel := context.WithTimeout(ctx, startWindow)
	defer cancel()
	if err := f.readSource(ctx, vanillabarrow.TopicVMs); err == nil {
		return
	}
	// Without a list no node knows its rank, so the configuration is read too.
	if err := f.readSource(ctx, vanillabarrow.TopicConfig); err != nil {
		f.Logger.Debug(logging.EventFirstReadFailed, "error", err)
	}
}

func (b *bootstrap) done(now time.Time) bool {
	if b.follower.Table.Snapshot() == nil {
		return false
	}
	if b.heldAt.IsZero() {
		b.heldAt = now
	}
	return b.follower.configRead.Load() || len(b.answered) >= enoughPeers || now.Sub(b.heldAt) >= startWindow
}

// known returns addresses of a few other nodes, at random.
func (f *Follower) known() []string {
	view := f.Members.View()
	addresses := f.otherSeeds()
	for _, p := range membership.Sample(slices.Concat(view.Parents, view.PrecedingPeers, view.RemoteReaders), startPeers) {
		addresses = append(addresses, p.Address)
	}
	addresses = slices.DeleteFunc(addresses, func(a string) bool { return a == f.SelfAddress })
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	peers := make([]membership.Peer, len(addresses))
	for i, a := range addresses {
		peers[i].Address = a
	}
	sample := membership.Sample(peers, startPeers)
	out := make([]string, len(sample))
	for i, p := range sample {
		out[i] = p.Address
	}
	return out
}

var _ vanillabarrow.Configuration = (*Follower)(nil)

// Snapshot implements vanillabarrow.Configuration for requests: there is none
// until the node is ready.
func (f *Follower) Snapshot() *vanillabarrow.Snapshot {
	if !f.IsReady() {
		return nil
	}
	return f.Table.Snapshot()
}
