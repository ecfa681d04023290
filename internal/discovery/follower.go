package discovery

import (
	"cmp"
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
	"github.com/vanillabarrow/vanillabarrow/internal/relay"
	"github.com/vanillabarrow/vanillabarrow/internal/sleep"
)

const (
	// outageGracePeriod is how long after the platform's recovery the items
	// that it removed during an outage stay in effect: their writers write them
	// again within two seconds.
	outageGracePeriod = 2200 * time.Millisecond
	// outageThreshold is the time without a response of the platform to any node
	// that counts as an outage.
	outageThreshold = 1500 * time.Millisecond
	// recoveryWatchWait is the wait of the first watch after a failure, which
	// shows immediately whether the platform responds again, and of the first
	// one of a node that begins to read, whose followers have no recent data
	// until it is confirmed.
	recoveryWatchWait = time.Millisecond
	// coalesceDelay is the wait after a change before the next watch, so that a
	// burst of changes takes few calls.
	coalesceDelay = 250 * time.Millisecond
	// backoffBase and backoffMax bound the delay after a failed call.
	backoffBase = 100 * time.Millisecond
	backoffMax  = 800 * time.Millisecond
	// standbyReadPeriod is how long a standby reader keeps reading the platform
	// after its data was last stale. While the platform rejects the readers,
	// its own calls keep its data fresh, so the age does not show whether the
	// readers work again.
	standbyReadPeriod = 20 * time.Second
	// roleCheckInterval is how often a node checks whether it should read the
	// platform.
	roleCheckInterval = 500 * time.Millisecond
	// startupPlatformWait is how long a starting node that has got items from
	// another node waits for the platform before it becomes ready without it.
	startupPlatformWait = 700 * time.Millisecond
	// firstReadShare is the share of the read budget for the first reads of a
	// fleet whose nodes all start together.
	firstReadShare = 0.25
	// pullTimeout is the time after which a pull from another node fails if
	// nothing arrives. A large delta may take longer in total.
	pullTimeout = time.Second
)

var backoff = follow.Backoff{Base: backoffBase, Max: backoffMax}

// Config holds the dependencies and settings of a follower.
type Config struct {
	Table    *Table
	Members  *membership.Table
	Source   vanillabarrow.ItemSource
	Compiler vanillabarrow.ItemCompiler
	Relay    vanillabarrow.ItemRelay
	Pool     *kernel.Pool
	Logger   *slog.Logger
	Scope    tally.Scope
	// Seeds are peer addresses of nodes to query when no item is held.
	Seeds []string
	// OwnTarget names the target that this node serves.
	OwnTarget vanillabarrow.TargetRef
	// SelfAddress is the node's own peer address.
	SelfAddress string
	// FleetSize is the number of nodes assumed until items are known.
	FleetSize int
	// ReadBudget is the number of platform reads per second allowed to all
	// nodes together.
	ReadBudget int
	// Bounds are the deployment's. DefaultBounds are used if they are zero.
	Bounds vanillabarrow.Bounds
}

// Follower implements vanillabarrow.Rollout with the items of the platform's
// store. Readers watch the store; the other nodes follow readers, directly or
// through other nodes.
type Follower struct {
	Config
	timers      timers
	readLimiter *relay.ReadLimiter
	snapshot    atomic.Pointer[vanillabarrow.Snapshot]
	// changed is closed and replaced when a new snapshot comes into force.
	changed   atomic.Pointer[chan struct{}]
	ready     atomic.Bool
	parents   follow.Parents
	hints     *follow.Hints
	startedAt time.Time
	// platformUnavailable is set while calls to the platform fail, so that only
	// the first failure and the recovery are logged.
	platformUnavailable atomic.Bool
	// loggedProblems holds the problems of the items in force, all of which
	// have been logged. Only loopApply uses it.
	loggedProblems map[string]bool
	connectivity   connectivity
	// watch is the watch that waits at the moment, nil for none.
	watch atomic.Pointer[waitingWatch]
	// readRequested is set while the platform has to be called, because a node may have
	// news that only the platform can confirm. readRequests wakes loopSource then.
	readRequested atomic.Bool
	readRequests  chan struct{}
	// probedAt is when the platform last responded to a probe, in nanoseconds since
	// startedAt, 0 for never.
	probedAt atomic.Int64
	// status is shown to operators; it is replaced as a whole.
	status atomic.Pointer[vanillabarrow.RolloutStatus]
}

// NewFollower returns a follower that does nothing until Start is called.
func NewFollower(cfg Config) *Follower {
	cfg.Bounds = cmp.Or(cfg.Bounds, vanillabarrow.DefaultBounds())
	cfg.Scope = cfg.Scope.SubScope("discovery")
	f := &Follower{
		Config:      cfg,
		timers:      newTimers(cfg.Bounds),
		readLimiter: relay.NewReadLimiter(cfg.ReadBudget),
		hints:       follow.NewHints(),
		startedAt:   time.Now(),

		readRequests: make(chan struct{}, 1),
	}
	f.connectivity.startedAt = f.startedAt
	changed := make(chan struct{})
	f.changed.Store(&changed)
	f.status.Store(&vanillabarrow.RolloutStatus{})
	return f
}

// Start submits the follower's jobs to the pool.
func (f *Follower) Start() error {
	return follow.SubmitJobs(f.Pool, map[string]func(ctx context.Context){
		"discovery.source": f.loopSource,
		"discovery.probe":  f.loopProbe,
		"discovery.first":  func(ctx context.Context) { f.loopParent(ctx, 0) },
		"discovery.second": func(ctx context.Context) { f.loopParent(ctx, 1) },
		"discovery.apply":  f.loopApply,
		"discovery.hints":  f.loopHints,
	})
}

// Snapshot implements vanillabarrow.Configuration.
func (f *Follower) Snapshot() *vanillabarrow.Snapshot { return f.snapshot.Load() }

// Changed implements vanillabarrow.Rollout.
func (f *Follower) Changed() <-chan struct{} { return *f.changed.Load() }

// IsReady implements vanillabarrow.Rollout.
func (f *Follower) IsReady() bool { return f.ready.Load() }

// VMList implements vanillabarrow.Rollout. The store lists no VMs.
func (f *Follower) VMList() *vanillabarrow.VMList { return nil }

// HeldVersion implements vanillabarrow.Rollout.
func (f *Follower) HeldVersion() vanillabarrow.Version { return f.Table.AsOf() }

// Parents implements vanillabarrow.Rollout.
func (f *Follower) Parents() []string { return f.parents.Addresses() }

// Status implements vanillabarrow.Rollout.
func (f *Follower) Status() vanillabarrow.RolloutStatus {
	s := *f.status.Load()
	s.Held = f.Table.AsOf()
	s.ConfirmedAt = f.Table.ConfirmedAt()
	s.EraChangedAt = f.Table.EraChangedAt()
	s.Kept = f.Table.KeptCount()
	// Items have no parts, so operators see the number of items here.
	s.Parts = f.Table.Size()
	return s
}

// Hint implements vanillabarrow.Rollout. At most one hint is queued; further
// ones are dropped.
func (f *Follower) Hint(address string, version vanillabarrow.Version) {
	f.hints.Add(follow.Hint{Address: address, Version: version})
}

func (f *Follower) loopHints(ctx context.Context) { f.hints.HandleAll(ctx, f.handleHint) }

// handleHint pulls the items of a hint, unless they arrive on the stream of the
// parent in time. A node without items does not wait.
func (f *Follower) handleHint(ctx context.Context, h follow.Hint) {
	if h.Version > 0 && f.Table.AsOf() > 0 && f.waitForRevision(ctx, h.Version, announceGracePeriod) {
		return
	}
	if err := f.syncFrom(ctx, h.Address, pullHint); err != nil {
		f.Logger.Debug(logging.EventHintFailed, "peer", h.Address, "error", err)
	}
}

// Causes of a pull, the values of "cause" in log lines and metrics.
const (
	pullHint         = "hint"
	pullAnnouncement = "announcement"
	pullPause        = "pause"
)

// request returns the request for the items that this node lacks, given the
// large items that it holds.
func (f *Follower) request(held heldValues) vanillabarrow.ItemRequest {
	return vanillabarrow.ItemRequest{AsOf: f.Table.AsOf(), Held: held.list(), AcceptsPatches: true}
}

// syncFrom pulls the items that this node lacks from a peer and merges them.
func (f *Follower) syncFrom(ctx context.Context, address, cause string) error {
	ctx, progress := kernel.WithProgressTimeout(ctx, pullTimeout)
	defer progress.Stop()
	f.Scope.Tagged(map[string]string{"cause": cause}).Counter("pulls").Inc(1)
	start := time.Now()
	held := f.Table.bases()
	d, err := f.Relay.Pull(ctx, address, f.request(held))
	if err != nil {
		return err
	}
	f.addTransit(d, &transitClock{}, address)
	size := d.Size()
	if err := f.decode(d, held); err != nil {
		return err
	}
	f.Logger.Info(logging.EventItemsPulled, "peer", address, "cause", cause, "asOf", d.AsOf, "items", len(d.Items),
		"bytes", size, "took", time.Since(start))
	f.merge(d, address)
	return nil
}

// WaitForNewest implements vanillabarrow.Rollout: a node that was paused pulls
// what it missed from the first peer that responds.
func (f *Follower) WaitForNewest(ctx context.Context, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for _, address := range f.candidates(0) {
		if ctx.Err() != nil || f.syncFrom(ctx, address, pullPause) == nil {
			return
		}
	}
}

// decode restores the values of a delta from patches. The items of a node that knows no
// eras are left out if this node knows one, since they change nothing: their bases are not
// named in a way that this node can resolve.
func (f *Follower) decode(d *vanillabarrow.Delta, held heldValues) error {
	if d.WithoutEra && f.Table.AsOf().Era() != 0 {
		d.Items = nil
		return nil
	}
	return decompress(d, held)
}

func (f *Follower) merge(d *vanillabarrow.Delta, from string) {
	result := f.Table.Merge(d, time.Now())
	if result.Changed {
		f.Logger.Debug(logging.EventItemsReceived, "from", from, "asOf", d.AsOf, "items", len(d.Items))
	}
	if result.EraChange != nil {
		f.logEraChange(result.EraChange, from)
	}
	if result.MayHaveNews {
		f.requestRead()
	}
	f.Scope.Counter("itemsReceived").Inc(int64(len(d.Items)))
}

// loopApply compiles the items after each change, and whenever the state of a
// removed item changes by time alone.
func (f *Follower) loopApply(ctx context.Context) {
	for ctx.Err() == nil {
		changed := f.Table.Changed()
		nextChange := f.apply(time.Now())
		wait := time.Hour
		if !nextChange.IsZero() {
			wait = time.Until(nextChange)
		}
		sleep.Until(ctx, changed, wait)
	}
}

// apply compiles the items in effect and puts the snapshot in force, once any
// items are known. It returns when the items in effect change next by time
// alone, zero for never.
func (f *Follower) apply(now time.Time) (nextChange time.Time) {
	asOf := f.Table.AsOf()
	items, nextChange := f.Table.Effective(now)
	if asOf == 0 {
		return nextChange
	}
	snapshot, problems := f.Compiler.Compile(items, asOf, now)
	status := vanillabarrow.RolloutStatus{InForce: asOf, AppliedAt: now}
	f.logProblems(problems, asOf)
	// The status holds one problem only; the log has all of them.
	for _, problem := range problems {
		status.Rejection = &vanillabarrow.Rejection{Version: asOf, Reason: problem.Error(), At: now}
	}
	f.status.Store(&status)
	if snapshot == nil {
		return nextChange
	}
	logApplied(f.Logger, f.snapshot.Load(), snapshot, now.Sub(f.Table.ConfirmedAt()), now)
	f.snapshot.Store(snapshot)
	if f.isOwnTargetRemoved() {
		// Whether the platform responds shows whether the target left or this VM is
		// disconnected. The answer has to come before the platform may be lost.
		f.requestRead()
	}
	f.Members.Update(nil, snapshot)
	f.readLimiter.UpdateShare(f.Members.View(), f.FleetSize)
	next := make(chan struct{})
	close(*f.changed.Swap(&next))
	f.updateReadiness(now)
	return nextChange
}

// logProblems logs the problems that the previous items did not have.
func (f *Follower) logProblems(problems []error, asOf vanillabarrow.Version) {
	problemTexts := make(map[string]bool, len(problems))
	for _, problem := range problems {
		problemTexts[problem.Error()] = true
		if !f.loggedProblems[problem.Error()] {
			f.Logger.Warn(logging.EventItemRejected, "asOf", asOf, "error", problem)
			f.Scope.Counter("itemsRejected").Inc(1)
		}
	}
	f.loggedProblems = problemTexts
}

// updateReadiness marks the node ready once its configuration was confirmed
// recently, or once startupPlatformWait has passed with an older one.
func (f *Follower) updateReadiness(now time.Time) {
	if f.ready.Load() || f.snapshot.Load() == nil {
		return
	}
	age := now.Sub(f.Table.ConfirmedAt())
	if age > f.timers.staleAfter && now.Sub(f.startedAt) < startupPlatformWait {
		return
	}
	f.ready.Store(true)
	f.Logger.Info(logging.EventReady, "asOf", f.Table.AsOf(), "confirmedAge", age)
}

// firstReadDelay returns a random delay before the first read, uniformly
// distributed so that a fleet whose nodes all start together stays within
// firstReadShare of the read budget.
func (f *Follower) firstReadDelay() time.Duration {
	window := time.Duration(float64(f.FleetSize) / (firstReadShare * float64(f.ReadBudget)) * float64(time.Second))
	// Plus one, since random.Duration panics on 0.
	return random.Duration(window + 1)
}
