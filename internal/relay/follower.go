// Package relay keeps a node's versions up to date from the platform and from
// other nodes. It decides whom to ask and when; the interfaces of the root
// package do the I/O.
package relay

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
	"github.com/vanillabarrow/vanillabarrow/internal/logging"
	"github.com/vanillabarrow/vanillabarrow/internal/membership"
	"github.com/vanillabarrow/vanillabarrow/internal/random"
	"github.com/vanillabarrow/vanillabarrow/internal/retry"
	"github.com/vanillabarrow/vanillabarrow/internal/rollout"
)

const (
	// peekInterval is the period at which readers compare versions with
	// readers elsewhere.
	peekInterval = time.Second
	// peekSlots is the number of other data centres asked in each period.
	peekSlots = 2
	// peekTimeout bounds the question for another reader's versions. It is
	// short, so that a data centre that can't be reached does not keep the
	// reader from asking the next one.
	peekTimeout = 500 * time.Millisecond
	// callTimeout bounds a call to another node.
	callTimeout = 2 * time.Second
	// platformTimeout bounds a read of the platform.
	platformTimeout = 5 * time.Second
	// watchTimeout bounds a waiting watch, so that one that never returns is
	// given up.
	watchTimeout = 3 * time.Second
	// retryBase and retryLimit bound the delay after a failure.
	retryBase  = 50 * time.Millisecond
	retryLimit = 2 * time.Second
	// escalateAfter is the time without any parent after which a node reads
	// the platform itself, at its small share of the read budget.
	escalateAfter = 4 * time.Second
	// announceGrace is how long the first parent may take to send a version
	// that the second has announced.
	announceGrace = 200 * time.Millisecond
)

// topics lists what passes between nodes.
var topics = []vanillabarrow.Topic{vanillabarrow.TopicConfig, vanillabarrow.TopicVMs, vanillabarrow.TopicAccepted}

// Config holds what a follower is made of.
type Config struct {
	Table   *rollout.Table
	Members *membership.Table
	Source  vanillabarrow.Source
	Relay   vanillabarrow.Relay
	Pool    *kernel.Pool
	Logger  *slog.Logger
	Scope   tally.Scope
	// Seeds are addresses of nodes to ask when no list is held.
	Seeds []string
	// SelfAddress is the node's own peer address.
	SelfAddress string
	// FleetSize is the number of nodes to assume when no list is held.
	FleetSize int
	// ReadBudget is the number of platform reads a second for all nodes.
	ReadBudget int
}

// Follower keeps the versions of one node up to date.
type Follower struct {
	Config
	budget *ReadLimiter
	ready  chan struct{}
	// heardAt is when a parent or the platform was last heard, in
	// nanoseconds since the start.
	heardAt atomic.Int64
	start   time.Time
	parents [2]atomic.Pointer[string]
	hints   chan string
	// configRead is set once the platform has answered for the configuration.
	configRead atomic.Bool

	mu *kernel.Mutex
	// read holds parts of versions that are not whole yet, by digest.
	read map[string][]byte
}

// NewFollower returns a follower that does nothing until Start.
func NewFollower(cfg Config) *Follower {
	cfg.Scope = cfg.Scope.SubScope("relay")
	f := &Follower{
		Config: cfg,
		budget: NewReadLimiter(cfg.ReadBudget),
		ready:  make(chan struct{}),
		start:  time.Now(),
		hints:  make(chan string, 1),
		mu:     kernel.NewMutex(kernel.RankRelay),
		read:   map[string][]byte{},
	}
	f.heard()
	return f
}

// Start begins the jobs of the follower.
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
	for name, job := range jobs {
		if err := f.Pool.SubmitIO(name, job); err != nil {
			return err
		}
	}
	for slot := range peekSlots {
		p := &peeker{follower: f, next: slot}
		f.Pool.Every(jittered(peekInterval), true, "relay.peek", p.peek)
	}
	return nil
}

// Ready is closed once the node may take work.
func (f *Follower) Ready() <-chan struct{} { return f.ready }

// IsReady reports whether the node may take work.
func (f *Follower) IsReady() bool {
	select {
	case <-f.ready:
		return true
	default:
		return false
	}
}

// Parents returns the addresses of the nodes that are watched.
func (f *Follower) Parents() []string {
	var addresses []string
	for i := range f.parents {
		if address := f.parents[i].Load(); address != nil && *address != "" {
			addresses = append(addresses, *address)
		}
	}
	return addresses
}

func (f *Follower) heard() { f.heardAt.Store(int64(time.Since(f.start))) }

func (f *Follower) silence() time.Duration {
	return time.Since(f.start) - time.Duration(f.heardAt.Load())
}

// jittered returns delays of 50% to 150% of d.
func jittered(d time.Duration) func() time.Duration {
	return func() time.Duration { return d/2 + random.Duration(d) }
}

// pause waits with full jitter after the n-th failure in a row. It returns
// false when the context ended.
func pause(ctx context.Context, n int) bool {
	return sleep(ctx, retryBase/2+retry.Backoff(retryBase, retryLimit, n))
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// sleepUntil waits for the channel, at most for the delay.
func sleepUntil(ctx context.Context, changed <-chan struct{}, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-changed:
	case <-ctx.Done():
	}
}

// offer gives a bundle to the table and logs what became of it.
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

// apply assembles an update and offers it.
func (f *Follower) apply(u *vanillabarrow.Update, from string) error {
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

// fetch pulls what the peer holds beyond this node.
func (f *Follower) fetch(ctx context.Context, address string, topic vanillabarrow.Topic) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	update, err := f.Relay.Fetch(ctx, address, f.Table.TopicState(topic))
	if err != nil {
		return err
	}
	return f.apply(update, address)
}

// catchUp compares versions with a peer and pulls what is newer there.
func (f *Follower) catchUp(ctx context.Context, address string) error {
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

// loopMembers recomputes the membership at each change of a topic.
func (f *Follower) loopMembers(ctx context.Context) {
	for {
		changed := f.Table.Changed()
		f.Members.Update(f.Table.VMList(), f.Table.Snapshot())
		f.budget.UpdateShare(f.Members.View(), f.FleetSize)
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// Changed implements vanillabarrow.Rollout.
func (f *Follower) Changed() <-chan struct{} { return f.Table.Changed() }

// VMList implements vanillabarrow.Rollout.
func (f *Follower) VMList() *vanillabarrow.VMList { return f.Table.VMList() }

// HeldVersion implements vanillabarrow.Rollout.
func (f *Follower) HeldVersion() vanillabarrow.Version {
	return f.Table.HeldVersion(vanillabarrow.TopicConfig)
}

// Status implements vanillabarrow.Rollout.
func (f *Follower) Status() vanillabarrow.RolloutStatus { return f.Table.Status() }

// Hint tells that a peer holds a newer version. Hints are dropped while one is
// being followed.
func (f *Follower) Hint(address string) {
	select {
	case f.hints <- address:
	default:
	}
}

func (f *Follower) loopHints(ctx context.Context) {
	for {
		select {
		case address := <-f.hints:
			if err := f.catchUp(ctx, address); err != nil {
				f.Logger.Debug(logging.EventHintFailed, "peer", address, "error", err)
			}
		case <-ctx.Done():
			return
		}
	}
}

// WaitForNewest asks one peer or the parents whether anything newer exists, for
// a node that was paused. It ends after the timeout at the latest.
func (f *Follower) WaitForNewest(ctx context.Context, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for _, address := range append(f.Parents(), f.known()...) {
		if ctx.Err() != nil || f.catchUp(ctx, address) == nil {
			return
		}
	}
}

// IsDisconnected implements vanillabarrow.PlatformConnectivity. An inventory names targets until
// operators change it, so none lapses.
func (f *Follower) IsDisconnected(time.Time) bool { return false }
