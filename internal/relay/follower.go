// Package relay replicates published versions of the configuration from the
// platform and between nodes. It decides which node to query and when; the
// interfaces of the root package do the I/O.
package relay

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/follow"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
	"github.com/vanillabarrow/vanillabarrow/internal/logging"
	"github.com/vanillabarrow/vanillabarrow/internal/membership"
	"github.com/vanillabarrow/vanillabarrow/internal/random"
	"github.com/vanillabarrow/vanillabarrow/internal/rollout"
)

const (
	// peekInterval is the mean period at which readers compare versions with
	// readers of other data centres.
	peekInterval = time.Second
	// peekerCount is the number of peekers, each of which queries one other data
	// centre in each period.
	peekerCount = 2
	// peekTimeout bounds the query for another node's versions. It is short,
	// so that an unreachable data centre does not keep the reader from
	// querying the next one.
	peekTimeout = 500 * time.Millisecond
	// fetchTimeout is the time after which a fetch from another node fails if
	// nothing arrives. A large update may take longer in total.
	fetchTimeout = 2 * time.Second
	// platformTimeout is the time after which a read from the platform fails if
	// nothing arrives.
	platformTimeout = 5 * time.Second
	// watchTimeout is the time after which a watch fails if nothing arrives, so
	// that one that hangs is aborted.
	watchTimeout = 3 * time.Second
	// backoffBase and backoffMax bound the delay after a failure.
	backoffBase = 50 * time.Millisecond
	backoffMax  = 2 * time.Second
	// platformFallbackAfter is the time since the last contact after which a
	// node that is not a reader reads the platform itself, at its small share
	// of the read budget.
	platformFallbackAfter = 4 * time.Second
	// announceGracePeriod is how long the first parent may take to deliver a
	// version that another node has announced or was seen to have.
	announceGracePeriod = 200 * time.Millisecond
)

var backoff = follow.Backoff{Base: backoffBase, Max: backoffMax}

// topics lists the topics that nodes exchange.
var topics = []vanillabarrow.Topic{vanillabarrow.TopicConfig, vanillabarrow.TopicVMs, vanillabarrow.TopicAccepted}

// Config holds the dependencies and settings of a follower.
type Config struct {
	Table   *rollout.Table
	Members *membership.Table
	Source  vanillabarrow.Source
	Relay   vanillabarrow.Relay
	Pool    *kernel.Pool
	Logger  *slog.Logger
	Scope   tally.Scope
	// Seeds are peer addresses of nodes to query when no VM list is held.
	Seeds []string
	// SelfAddress is the node's own peer address.
	SelfAddress string
	// FleetSize is the number of nodes assumed until the VM list is known.
	FleetSize int
	// ReadBudget is the number of platform reads per second allowed to all
	// nodes together.
	ReadBudget int
}

// Follower implements vanillabarrow.Rollout with the versions that the platform
// publishes. Readers watch the platform; the other nodes follow readers,
// directly or through other nodes.
type Follower struct {
	Config
	readLimiter *ReadLimiter
	ready       chan struct{}
	// lastContactAt is when a parent, a peer queried by bootstrap or the
	// platform last responded, in nanoseconds since startedAt.
	lastContactAt atomic.Int64
	startedAt     time.Time
	parents       follow.Parents
	hints         *follow.Hints
	// configRead is set once the platform has returned the configuration or
	// confirmed the one held.
	configRead atomic.Bool

	// mu guards partCache, which holds the parts read so far of incomplete
	// versions, by digest.
	mu        *kernel.Mutex
	partCache map[string][]byte
}

// NewFollower returns a follower that does nothing until Start is called.
func NewFollower(cfg Config) *Follower {
	cfg.Scope = cfg.Scope.SubScope("relay")
	f := &Follower{
		Config:      cfg,
		readLimiter: NewReadLimiter(cfg.ReadBudget),
		ready:       make(chan struct{}),
		startedAt:   time.Now(),
		hints:       follow.NewHints(),
		mu:          kernel.NewMutex(kernel.RankRelay),
		partCache:   map[string][]byte{},
	}
	f.noteContact()
	return f
}

// Start submits the follower's jobs to the pool.
func (f *Follower) Start() error {
	jobs := map[string]func(ctx context.Context){
		"relay.bootstrap": f.runBootstrap,
		"relay.config":    func(ctx context.Context) { f.loopSource(ctx, vanillabarrow.TopicConfig) },
		"relay.vms":       func(ctx context.Context) { f.loopSource(ctx, vanillabarrow.TopicVMs) },
		"relay.first":     func(ctx context.Context) { f.loopParent(ctx, 0) },
		"relay.second":    func(ctx context.Context) { f.loopParent(ctx, 1) },
		"relay.hints":     f.loopHints,
		"relay.members":   f.loopMembers,
	}
	if err := follow.SubmitJobs(f.Pool, jobs); err != nil {
		return err
	}
	for slot := range peekerCount {
		p := &peeker{follower: f, nextGroup: slot}
		f.Pool.Every(jittered(peekInterval), true, "relay.peek", p.peek)
	}
	return nil
}

// Ready returns a channel that is closed once the node is ready to take work.
func (f *Follower) Ready() <-chan struct{} { return f.ready }

// IsReady implements vanillabarrow.Rollout.
func (f *Follower) IsReady() bool {
	select {
	case <-f.ready:
		return true
	default:
		return false
	}
}

// Parents implements vanillabarrow.Rollout.
func (f *Follower) Parents() []string { return f.parents.Addresses() }

func (f *Follower) noteContact() { f.lastContactAt.Store(int64(time.Since(f.startedAt))) }

func (f *Follower) sinceLastContact() time.Duration {
	return time.Since(f.startedAt) - time.Duration(f.lastContactAt.Load())
}

// jittered returns a function that returns random delays of 50% to 150% of d.
func jittered(d time.Duration) func() time.Duration {
	return func() time.Duration { return d/2 + random.Duration(d) }
}

// offer passes a bundle to the table and logs the outcome. From is the address
// of the node that sent it, or "platform".
func (f *Follower) offer(b *vanillabarrow.Bundle, from string) {
	outcome, err := f.Table.Offer(b, time.Now())
	f.Scope.Tagged(map[string]string{"outcome": outcome.String()}).Counter("offers").Inc(1)
	switch outcome {
	case rollout.OutcomeApplied:
		f.Logger.Info(logging.EventVersionApplied, "topic", b.Topic, "version", b.Version, "from", from)
	case rollout.OutcomeRejected, rollout.OutcomeIncomplete:
		f.Logger.Warn(logging.EventVersionNotApplied, "topic", b.Topic, "version", b.Version, "from", from,
			"outcome", outcome, "error", err)
	case rollout.OutcomeStale:
	}
}

// applyUpdate assembles the bundle of an update and offers it to the table. A
// nil update is ignored.
func (f *Follower) applyUpdate(u *vanillabarrow.Update, from string) error {
	if u == nil {
		return nil
	}
	f.Scope.Counter("contentBytes").Inc(int64(u.Size()))
	if u.Version <= f.Table.HeldVersion(u.Topic) {
		f.Scope.Tagged(map[string]string{"outcome": rollout.OutcomeStale.String()}).Counter("offers").Inc(1)
		return nil
	}
	b, err := f.Table.Assemble(u)
	if err != nil {
		return err
	}
	f.offer(b, from)
	return nil
}

// fetch gets what the peer holds of a topic and this node lacks, and applies
// it.
func (f *Follower) fetch(ctx context.Context, address string, topic vanillabarrow.Topic) error {
	ctx, progress := kernel.WithProgressTimeout(ctx, fetchTimeout)
	defer progress.Stop()
	update, err := f.Relay.Fetch(ctx, address, f.Table.TopicState(topic))
	if err != nil {
		return err
	}
	return f.applyUpdate(update, address)
}

// syncFrom compares versions with a peer and fetches those that are newer
// there.
func (f *Follower) syncFrom(ctx context.Context, address string) error {
	peekCtx, cancel := context.WithTimeout(ctx, peekTimeout)
	defer cancel()
	versions, err := f.Relay.Peek(peekCtx, address)
	if err != nil {
		return err
	}
	for topic, version := range versions {
		if version <= f.Table.HeldVersion(topic) {
			continue
		}
		if err := f.fetch(ctx, address, topic); err != nil {
			return err
		}
	}
	return nil
}

// loopMembers updates the membership and the node's share of the read budget
// after each change of the table.
func (f *Follower) loopMembers(ctx context.Context) {
	for {
		changed := f.Table.Changed()
		f.Members.Update(f.Table.VMList(), f.Table.Snapshot())
		f.readLimiter.UpdateShare(f.Members.View(), f.FleetSize)
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// Changed implements vanillabarrow.Rollout. Until the node is ready, Snapshot
// returns nil whatever the table holds, so readiness is the next change.
func (f *Follower) Changed() <-chan struct{} {
	if !f.IsReady() {
		return f.ready
	}
	return f.Table.Changed()
}

// VMList implements vanillabarrow.Rollout.
func (f *Follower) VMList() *vanillabarrow.VMList { return f.Table.VMList() }

// HeldVersion implements vanillabarrow.Rollout.
func (f *Follower) HeldVersion() vanillabarrow.Version {
	return f.Table.HeldVersion(vanillabarrow.TopicConfig)
}

// Status implements vanillabarrow.Rollout.
func (f *Follower) Status() vanillabarrow.RolloutStatus { return f.Table.Status() }

// WaitForNewest implements vanillabarrow.Rollout: a node that was paused
// fetches what it missed from the first parent or other peer that responds.
func (f *Follower) WaitForNewest(ctx context.Context, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for _, address := range append(f.Parents(), f.samplePeerAddresses()...) {
		if ctx.Err() != nil || f.syncFrom(ctx, address) == nil {
			return
		}
	}
}

// IsDisconnected implements vanillabarrow.PlatformConnectivity. It returns
// false: targets of an inventory stay until operators change it, so none
// expires while the platform does not respond.
func (f *Follower) IsDisconnected(time.Time) bool { return false }

// LastResponse implements vanillabarrow.PlatformConnectivity. The inventory has no
// registrations that expire, so that nothing depends on it.
func (f *Follower) LastResponse() time.Time { return time.Time{} }
