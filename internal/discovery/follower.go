package discovery

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
	"github.com/vanillabarrow/vanillabarrow/internal/relay"
	"github.com/vanillabarrow/vanillabarrow/internal/retry"
)

const (
	// removeKeep and relistKeep are how long an item counts on after its removal
	// was learned. The bound on requests to a target that left decides.
	removeKeep = 800 * time.Millisecond
	relistKeep = removeKeep
	// outageKeep is how long after the platform's return the items count on that
	// it dropped while it was away: their writers are back within two seconds.
	outageKeep = 2200 * time.Millisecond
	// outageAfter is the silence of the platform that counts as an outage.
	outageAfter = 1500 * time.Millisecond
	// watchWait is the wait of a watch. It is short, so that a watch on a silent
	// connection is noticed within the bound on configuration changes, and
	// returnWait the one of the first watch after a failure, which tells at once
	// whether the platform is back.
	watchWait  = 2500 * time.Millisecond
	returnWait = time.Millisecond
	// coalesce is the wait after an event before the next watch, so that a
	// series of changes costs few calls.
	coalesce = 250 * time.Millisecond
	// retryBase and retryLimit bound the delay after a failed call.
	retryBase  = 100 * time.Millisecond
	retryLimit = 800 * time.Millisecond
	// staleAfter is the age of the platform's last word after which a node that
	// is no reader asks the platform itself. A reader's watch waits 2.5 s.
	staleAfter = 3500 * time.Millisecond
	// deputyFor is how long a deputy goes on to read the platform after it had no
	// word of it. While readers are turned away, its own calls keep its word
	// recent, so that it can't tell when it is no longer needed.
	deputyFor = 15 * time.Second
	// deputyStep is how much longer a node waits for each rank before its own,
	// and deputyWait the most, so that the first deputies spare the others.
	deputyStep = 20 * time.Millisecond
	deputyWait = time.Second
	// roleCheck is how often a node looks whether it should read.
	roleCheck = 500 * time.Millisecond
	// startAlone is how long a start without the platform waits for it, once
	// another node has given its items.
	startAlone = 700 * time.Millisecond
	// firstReadShare is the share of the read budget for a fleet that starts at
	// once.
	firstReadShare = 0.25
	// callTimeout bounds a call to another node.
	callTimeout = time.Second
)

// Config holds what a follower is made of.
type Config struct {
	Table    *Table
	Members  *membership.Table
	Source   vanillabarrow.ItemSource
	Compiler vanillabarrow.ItemCompiler
	Relay    vanillabarrow.ItemRelay
	Pool     *kernel.Pool
	Logger   *slog.Logger
	Scope    tally.Scope
	// Seeds are peer addresses of nodes to ask when no item is held.
	Seeds []string
	// OwnTarget names the target beside the node.
	OwnTarget vanillabarrow.TargetRef
	// SelfAddress is the node's own peer address.
	SelfAddress string
	// FleetSize is the number of nodes to assume at the start.
	FleetSize int
	// ReadBudget is the number of platform reads a second for all nodes.
	ReadBudget int
}

// Follower implements vanillabarrow.Rollout with the items of the platform's
// store. Readers watch the store; the other nodes follow readers.
type Follower struct {
	Config
	budget   *relay.ReadLimiter
	snapshot atomic.Pointer[vanillabarrow.Snapshot]
	applied  atomic.Pointer[chan struct{}]
	ready    atomic.Bool
	parents  [slots]atomic.Pointer[string]
	hints    chan string
	started  time.Time
	// lost is set while calls to the platform fail.
	lost atomic.Bool
	// told holds the problems of the items in force, which were logged. It
	// belongs to the job that applies items.
	told      map[string]bool
	isolation isolation
	// status is what operators see, replaced as a whole.
	status atomic.Pointer[vanillabarrow.RolloutStatus]
}

// NewFollower returns a follower that does nothing until Start.
func NewFollower(cfg Config) *Follower {
	cfg.Scope = cfg.Scope.SubScope("discovery")
	f := &Follower{
		Config:  cfg,
		budget:  relay.NewReadLimiter(cfg.ReadBudget),
		hints:   make(chan string, 1),
		started: time.Now(),
	}
	f.isolation.started = f.started
	changed := make(chan struct{})
	f.applied.Store(&changed)
	f.status.Store(&vanillabarrow.RolloutStatus{})
	return f
}

// Start begins the jobs of the follower.
func (f *Follower) Start() error {
	jobs := map[string]func(ctx context.Context){
		"discovery.source": f.loopSource,
		"discovery.first":  func(ctx context.Context) { f.loopPeer(ctx, 0) },
		"discovery.second": func(ctx context.Context) { f.loopPeer(ctx, 1) },
		"discovery.apply":  f.loopApply,
		"discovery.hints":  f.loopHints,
	}
	for name, job := range jobs {
		if err := f.Pool.SubmitIO(name, job); err != nil {
			return err
		}
	}
	return nil
}

// Snapshot implements vanillabarrow.Configuration.
func (f *Follower) Snapshot() *vanillabarrow.Snapshot { return f.snapshot.Load() }

// Changed implements vanillabarrow.Rollout.
func (f *Follower) Changed() <-chan struct{} { return *f.applied.Load() }

// IsReady implements vanillabarrow.Rollout.
func (f *Follower) IsReady() bool { return f.ready.Load() }

// VMList implements vanillabarrow.Rollout. The store lists no VMs.
func (f *Follower) VMList() *vanillabarrow.VMList { return nil }

// HeldVersion implements vanillabarrow.Rollout.
func (f *Follower) HeldVersion() vanillabarrow.Version { return f.Table.AsOf() }

// Parents implements vanillabarrow.Rollout.
func (f *Follower) Parents() []string {
	var addresses []string
	for i := range f.parents {
		if address := f.parents[i].Load(); address != nil && *address != "" {
			addresses = append(addresses, *address)
		}
	}
	return addresses
}

// Status implements vanillabarrow.Rollout.
func (f *Follower) Status() vanillabarrow.RolloutStatus {
	s := *f.status.Load()
	s.Held = f.Table.AsOf()
	s.ConfirmedAt = f.Table.ConfirmedAt()
	s.Parts = f.Table.Size()
	return s
}

// Hint implements vanillabarrow.Rollout. Hints are dropped while one is being
// followed.
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
			if err := f.pull(ctx, address); err != nil {
				f.Logger.Debug(logging.EventHintFailed, "peer", address, "error", err)
			}
		case <-ctx.Done():
			return
		}
	}
}

// pull takes over everything that a peer holds.
func (f *Follower) pull(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	d, err := f.Relay.Pull(ctx, address, vanillabarrow.Cursor{})
	if err != nil {
		return err
	}
	f.merge(d, address)
	return nil
}

// WaitForNewest implements vanillabarrow.Rollout: a node that was paused asks a
// peer for what it missed.
func (f *Follower) WaitForNewest(ctx context.Context, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for _, address := range f.candidates(0) {
		if ctx.Err() != nil || f.pull(ctx, address) == nil {
			return
		}
	}
}

func (f *Follower) merge(d *vanillabarrow.Delta, from string) {
	if f.Table.Merge(d, time.Now()) {
		f.Logger.Debug(logging.EventItemsLearned, "from", from, "asOf", d.AsOf, "items", len(d.Items))
	}
	f.Scope.Counter("itemsReceived").Inc(int64(len(d.Items)))
}

// loopApply compiles the items after each change and when a removed one stops
// counting.
func (f *Follower) loopApply(ctx context.Context) {
	for ctx.Err() == nil {
		changed := f.Table.Changed()
		until := f.apply(time.Now())
		wait := time.Hour
		if !until.IsZero() {
			wait = time.Until(until)
		}
		waitFor(ctx, changed, wait)
	}
}

// apply puts the items in force that count now.
func (f *Follower) apply(now time.Time) (until time.Time) {
	asOf := f.Table.AsOf()
	items, until := f.Table.Effective(now)
	if asOf == 0 {
		return until
	}
	snapshot, problems := f.Compiler.Compile(items, asOf, now)
	status := vanillabarrow.RolloutStatus{InForce: asOf, AppliedAt: now}
	f.logProblems(problems, asOf)
	for _, problem := range problems {
		status.Rejection = &vanillabarrow.Rejection{Version: asOf, Reason: problem.Error(), At: now}
	}
	f.status.Store(&status)
	if snapshot == nil {
		return until
	}
	logApplied(f.Logger, f.snapshot.Load(), snapshot, now.Sub(f.Table.ConfirmedAt()), now)
	f.snapshot.Store(snapshot)
	f.Members.Update(nil, snapshot)
	f.budget.UpdateShare(f.Members.View(), f.FleetSize)
	fresh := make(chan struct{})
	close(*f.applied.Swap(&fresh))
	f.checkReady(now)
	return until
}

// logProblems tells the problems that the items before did not have.
func (f *Follower) logProblems(problems []error, asOf vanillabarrow.Version) {
	told := make(map[string]bool, len(problems))
	for _, problem := range problems {
		told[problem.Error()] = true
		if !f.told[problem.Error()] {
			f.Logger.Warn(logging.EventItemLeftOut, "asOf", asOf, "error", problem)
		}
	}
	f.told = told
}

// checkReady makes the node ready once it has a configuration that is recent,
// or that a peer gave while the platform does not answer.
func (f *Follower) checkReady(now time.Time) {
	if f.ready.Load() || f.snapshot.Load() == nil {
		return
	}
	age := now.Sub(f.Table.ConfirmedAt())
	if age > staleAfter && now.Sub(f.started) < startAlone {
		return
	}
	f.ready.Store(true)
	f.Logger.Info(logging.EventReady, "asOf", f.Table.AsOf(), "confirmedAge", age)
}

// waitFor waits for the channel, at most for the delay. It returns false when
// the context ended.
func waitFor(ctx context.Context, changed <-chan struct{}, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-changed:
		return true
	case <-ctx.Done():
		return false
	}
}

// backoff returns the delay after the n-th failure in a row.
func backoff(n int) time.Duration {
	return retryBase/2 + retry.Backoff(retryBase, retryLimit, n)
}

// firstRead returns the delay of the first read, uniform so that a fleet that
// starts at once stays within its share of the read budget.
func (f *Follower) firstRead() time.Duration {
	window := time.Duration(float64(f.FleetSize) / (firstReadShare * float64(f.ReadBudget)) * float64(time.Second))
	return random.Duration(window + 1)
}
