// Package gate implements the admission control in front of one target. It
// decides whether and when a request runs there and keeps a record of its
// outcome. The package does no I/O of its own.
package gate

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/dispatch"
	"github.com/vanillabarrow/vanillabarrow/internal/fence"
	"github.com/vanillabarrow/vanillabarrow/internal/hedge"
	"github.com/vanillabarrow/vanillabarrow/internal/idempotency"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
	"github.com/vanillabarrow/vanillabarrow/internal/tenant"
)

// Gate implements vanillabarrow.Gate for the target on the node's VM.
type Gate struct {
	ownTarget    vanillabarrow.TargetRef
	cfg          vanillabarrow.Configuration
	executor     vanillabarrow.Executor
	keyReleaser  vanillabarrow.KeyReleaser
	limiter      vanillabarrow.Limiter
	transfers    *transfers
	waits        *waits
	fence        *fence.Table
	keys         *idempotency.Table
	owners       *idempotency.OwnerHistory
	scope        tally.Scope
	logger       *slog.Logger
	connectivity vanillabarrow.PlatformConnectivity
	calls        *dispatch.CallOutcomes
	hedges       *hedge.Running
	// waitTime records how long attempts wait for a slot, targetLatency how long
	// the target takes.
	waitTime      tally.Histogram
	targetLatency tally.Histogram

	draining atomic.Bool
	closed   atomic.Bool
	// leaving is set while the platform publishes the VM as leaving.
	leaving atomic.Bool
	running atomic.Int64
	start   time.Time
	// lastHealthy is the time of the target's last successful health check, in
	// nanoseconds since the start.
	lastHealthy   atomic.Int64
	servesExpired atomic.Bool
	stopped       atomic.Pointer[stoppedTarget]
	lastResponder atomic.Pointer[healthResponder]
	// leavingReports is set by the prober and never nil.
	leavingReports atomic.Pointer[leavingReports]
	suspension     *suspension
}

// Config holds the dependencies of a gate.
type Config struct {
	OwnTarget     vanillabarrow.TargetRef
	Incarnation   string
	Configuration vanillabarrow.Configuration
	Executor      vanillabarrow.Executor
	KeyReleaser   vanillabarrow.KeyReleaser
	Limiter       vanillabarrow.Limiter
	Connectivity  vanillabarrow.PlatformConnectivity
	// Calls holds the outcomes of the requests that the target sends, nil for none.
	Calls *dispatch.CallOutcomes
	// Hedges counts the hedges that run, nil for none.
	Hedges *hedge.Running
	Scope  tally.Scope
	Logger *slog.Logger
}

// New returns a gate whose incarnation starts now.
func New(cfg Config) *Gate {
	now := time.Now()
	scope := cfg.Scope.SubScope("gate")
	g := &Gate{
		ownTarget:     cfg.OwnTarget,
		cfg:           cfg.Configuration,
		executor:      cfg.Executor,
		keyReleaser:   cfg.KeyReleaser,
		limiter:       cfg.Limiter,
		transfers:     newTransfers(),
		waits:         newWaits(),
		fence:         fence.New(cfg.Incarnation, now),
		keys:          idempotency.New(now),
		owners:        idempotency.NewOwnerHistory(),
		scope:         scope,
		waitTime:      scope.Histogram("wait", kernel.LatencyBuckets()),
		targetLatency: scope.Histogram("latency", kernel.LatencyBuckets()),
		logger:        cfg.Logger,
		connectivity:  cfg.Connectivity,
		calls:         cfg.Calls,
		hedges:        cfg.Hedges,
		start:         now,
		suspension:    newSuspension(now),
	}
	// No health check has succeeded yet.
	g.lastHealthy.Store(int64(-healthValidity))
	g.leavingReports.Store(&leavingReports{})
	return g
}

// Configure applies a new snapshot. The owners are the targets among which the
// service's idempotency keys are divided, sorted by name. Leaving is set while
// the VM is published as leaving.
func (g *Gate) Configure(snapshot *vanillabarrow.Snapshot, owners []string, leaving bool) {
	g.leaving.Store(leaving)
	if leaving {
		g.waits.refuseAll(errDraining())
	}
	if target := g.ownTarget.Resolve(snapshot); target != nil {
		g.limiter.Configure(target, snapshot.Services[target.Service], time.Now())
	}
	g.owners.Update(owners, snapshot.Version, time.Now())
}

// Drain marks the gate as draining, because the node is about to shut down. New
// requests are accepted until Close, as they can still finish before the node
// exits.
func (g *Gate) Drain() { g.draining.Store(true) }

// Close makes the gate refuse new requests and those that wait for a slot.
func (g *Gate) Close() {
	g.draining.Store(true)
	g.closed.Store(true)
	g.waits.refuseAll(errDraining())
}

// errDraining returns the refusal for an attempt that has not got a slot before the
// node shuts down.
func errDraining() *vanillabarrow.Refusal {
	return vanillabarrow.NotRun(vanillabarrow.ReasonDraining, "the node is shutting down")
}

// Draining reports whether the node is about to shut down.
func (g *Gate) Draining() bool { return g.draining.Load() || g.leaving.Load() }

// refusesNew reports whether new requests are refused because the node shuts
// down.
func (g *Gate) refusesNew() bool { return g.closed.Load() || g.leaving.Load() }

// Running returns the number of attempts that are queued or running.
func (g *Gate) Running() int { return int(g.running.Load()) }

// Token implements vanillabarrow.Gate.
func (g *Gate) Token() vanillabarrow.Token { return g.fence.Token(time.Now()) }

// Load implements vanillabarrow.Gate.
func (g *Gate) Load(priority int) vanillabarrow.Load {
	load := g.limiter.Load(priority)
	load.Unavailable = load.Unavailable || g.checkOpen() != nil || g.isUnavailable()
	load.CallsShed = g.calls != nil && g.calls.MostlyShed(time.Now())
	return load
}

// ExecTime implements vanillabarrow.ExecTimeReporter.
func (g *Gate) ExecTime(class string) time.Duration {
	if reporter, ok := g.limiter.(vanillabarrow.ExecTimeReporter); ok {
		return reporter.ExecTime(class)
	}
	return 0
}

// isUnavailable reports whether the snapshot in force lets no new requests run at
// the target.
func (g *Gate) isUnavailable() bool {
	snapshot := g.cfg.Snapshot()
	if snapshot == nil {
		return false
	}
	target := g.ownTarget.Resolve(snapshot)
	return target == nil || target.OutOfService || target.Draining || !g.isServable(target, time.Now())
}

// QueryAttempt implements vanillabarrow.Gate.
func (g *Gate) QueryAttempt(attempt *vanillabarrow.Attempt) *vanillabarrow.AttemptReport {
	report := g.fence.Query(attempt.ID, attempt.Token, time.Now())
	g.scope.Tagged(map[string]string{"state": report.State.String()}).Counter("asked").Inc(1)
	return report
}

// WithdrawAttempt implements vanillabarrow.Gate.
func (g *Gate) WithdrawAttempt(attempt *vanillabarrow.Attempt) *vanillabarrow.AttemptReport {
	if g.waits.refuse(attempt.ID, vanillabarrow.NotRun(vanillabarrow.ReasonDraining, "the sending node is shutting down")) {
		g.scope.Counter("withdrawn").Inc(1)
		return &vanillabarrow.AttemptReport{State: vanillabarrow.AttemptFenced, NotRun: true}
	}
	return g.QueryAttempt(attempt)
}

// Handle implements vanillabarrow.Gate. A non-idempotent request keeps running
// when the connection to the sending node breaks, so that its response can still
// be fetched by QueryAttempt.
func (g *Gate) Handle(ctx context.Context, attempt *vanillabarrow.Attempt) (*vanillabarrow.Response, error) {
	g.running.Add(1)
	defer g.running.Add(-1)
	start := time.Now()
	retain := !attempt.Request.Idempotent
	// Refused attempts are recorded too: a duplicate of the message may arrive
	// when the reason for the refusal no longer holds, and must not run then.
	if err := g.fence.Begin(attempt.ID, attempt.Token, retain, time.Now()); err != nil {
		return nil, g.refuse(attempt, start, err)
	}
	response, err := g.checkAndRun(ctx, attempt)
	var refusal *vanillabarrow.Refusal
	if err != nil {
		refusal = vanillabarrow.AsRefusal(err)
	}
	g.fence.Finish(attempt.ID, response, refusal)
	if refusal != nil {
		return nil, g.refuse(attempt, start, refusal)
	}
	if ctx.Err() != nil {
		g.logLate(attempt, start, response)
	}
	g.scope.Counter("finished").Inc(1)
	return response, nil
}

// checkAndRun runs the attempt unless a check refuses it.
func (g *Gate) checkAndRun(ctx context.Context, attempt *vanillabarrow.Attempt) (*vanillabarrow.Response, error) {
	if err := g.check(ctx, attempt); err != nil {
		return nil, err
	}
	if attempt.Hedge {
		defer g.hedges.Begin()()
	}
	if attempt.Request.Idempotent {
		return g.run(ctx, attempt)
	}
	return g.runKeyed(ctx, attempt)
}

// refuse counts and logs the refusal and returns it.
func (g *Gate) refuse(attempt *vanillabarrow.Attempt, start time.Time, err error) error {
	refusal := vanillabarrow.AsRefusal(err)
	g.scope.Tagged(map[string]string{
		"verdict": refusal.Verdict.String(),
		"reason":  string(refusal.Reason),
	}).Counter("refused").Inc(1)
	if refusal.ReachedTarget() || refusal.Reason == vanillabarrow.ReasonTargetDown {
		g.logFailed(attempt, start, refusal)
	} else {
		g.logRefused(attempt, start, refusal)
	}
	return refusal
}

// check refuses attempts that must not be queued. It is called again after the
// wait for a slot.
func (g *Gate) check(ctx context.Context, attempt *vanillabarrow.Attempt) error {
	g.suspension.suspendIfPaused()
	if err := g.suspension.wait(ctx); err != nil {
		return err
	}
	if ctx.Err() != nil {
		return vanillabarrow.NotRun(vanillabarrow.ReasonCanceled, "the sending node canceled the attempt")
	}
	if err := g.checkTarget(attempt); err != nil {
		return err
	}
	if err := g.checkOpen(); err != nil {
		return err
	}
	if g.cfg.Snapshot() == nil {
		return vanillabarrow.NotRun(vanillabarrow.ReasonNoConfig, "")
	}
	if err := tenant.CheckProof(g.cfg.Snapshot(), attempt); err != nil {
		return err
	}
	if g.isUnavailable() {
		return vanillabarrow.NotRun(vanillabarrow.ReasonTargetOut, "")
	}
	if !time.Now().Before(attempt.Deadline) {
		return vanillabarrow.NotRun(vanillabarrow.ReasonDeadline, "the deadline has passed")
	}
	return nil
}

// checkTarget refuses attempts for targets other than the one on this VM.
func (g *Gate) checkTarget(attempt *vanillabarrow.Attempt) error {
	if attempt.Target != nil && attempt.Target.Name == g.ownTarget.Name {
		return nil
	}
	if g.ownTarget.Name != "" || attempt.Target == nil {
		return vanillabarrow.NotRun(vanillabarrow.ReasonWrongTarget, "the target of this gate is "+g.ownTarget.Name)
	}
	snapshot := g.cfg.Snapshot()
	if snapshot == nil {
		return vanillabarrow.NotRun(vanillabarrow.ReasonNoConfig, "")
	}
	// Several targets may be registered with one address. The target itself
	// refuses requests that are meant for another.
	target := snapshot.Targets[attempt.Target.Name]
	if target == nil || target.Address != g.ownTarget.Address {
		return vanillabarrow.NotRun(vanillabarrow.ReasonWrongTarget, "the target of this gate has the address "+g.ownTarget.Address)
	}
	if g.isReplaced(target) {
		return vanillabarrow.NotRun(vanillabarrow.ReasonWrongTarget, "health checks are answered by another target at "+g.ownTarget.Address)
	}
	return nil
}

// run waits for a slot and sends the request to the target. A non-idempotent
// request is not canceled after it has been sent.
func (g *Gate) run(ctx context.Context, attempt *vanillabarrow.Attempt) (*vanillabarrow.Response, error) {
	admission := admissionOf(attempt)
	arrived := time.Now()
	wait := g.waits.begin(ctx, attempt.ID)
	defer func() { _ = wait.end() }()
	// The gate may have closed before the wait began.
	if err := g.checkOpen(); err != nil {
		return nil, err
	}
	turn, err := g.transfers.acquire(wait.ctx, attempt.Request, admission)
	if err != nil {
		return nil, wait.endedBy(err)
	}
	defer turn.end()
	if err := g.limiter.Acquire(wait.ctx, admission); err != nil {
		return nil, wait.endedBy(err)
	}
	g.waitTime.RecordDuration(time.Since(arrived))
	// The result of the check may have changed during the wait.
	if err := g.check(ctx, attempt); err != nil {
		g.limiter.Release(admission, vanillabarrow.SignalNeutral, 0)
		return nil, err
	}
	if err := wait.end(); err != nil {
		g.limiter.Release(admission, vanillabarrow.SignalNeutral, 0)
		return nil, err
	}
	if err := readBody(attempt.Request, turn); err != nil {
		g.limiter.Release(admission, vanillabarrow.SignalNeutral, 0)
		return nil, err
	}
	if !attempt.Sending.Begin() {
		g.limiter.Release(admission, vanillabarrow.SignalNeutral, 0)
		return nil, errAbandoned()
	}
	if !attempt.Request.Idempotent {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, attempt.Deadline)
	start := time.Now()
	response, err := g.executor.Execute(ctx, attempt)
	latency := time.Since(start)
	g.targetLatency.RecordDuration(latency)
	if err == nil {
		err = g.shedRefusal(attempt, response)
	}
	if err != nil {
		cancel()
		g.limiter.Release(admission, signalOf(err), latency)
		return nil, err
	}
	g.releaseSlot(admission, response, latency, cancel)
	return response, nil
}

// errAbandoned returns the refusal for an attempt that the own node gave up before
// it was sent to the target.
func errAbandoned() error {
	return vanillabarrow.NotRun(vanillabarrow.ReasonCanceled, "the own node gave up the attempt")
}

func admissionOf(a *vanillabarrow.Attempt) vanillabarrow.Admission {
	return vanillabarrow.Admission{
		Class:     a.Request.Route,
		Priority:  a.Request.Priority,
		Objective: a.Request.Objective,
		Deadline:  a.Deadline,
		Late:      a.Late,
		Tenant:    a.Request.Tenant,
		Hedge:     a.Hedge,
	}
}
