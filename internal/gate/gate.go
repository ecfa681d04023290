// Package gate guards one target: it decides what runs there, when, and what
// is known about it afterwards. It does no I/O of its own.
package gate

import (
	"context"
	"log/slog"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/fence"
	"github.com/vanillabarrow/vanillabarrow/internal/idempotency"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
	"github.com/vanillabarrow/vanillabarrow/internal/message"
)

// bodyHold is the largest part of a body, in bytes, that is read before the
// request is sent to the target.
const bodyHold = 64 << 10

// Gate implements vanillabarrow.Gate for the target beside the node.
type Gate struct {
	own      vanillabarrow.TargetRef
	cfg      vanillabarrow.Configuration
	executor vanillabarrow.Executor
	memory   vanillabarrow.KeyReleaser
	limiter  vanillabarrow.Limiter
	fence    *fence.Table
	keys     *idempotency.Table
	homes    *idempotency.Homes
	scope    tally.Scope
	logger   *slog.Logger
	// isolation tells whether the node reaches the platform.
	isolation vanillabarrow.PlatformConnectivity
	// waited and ran are the times that attempts wait for a slot, and that the
	// target takes.
	waited tally.Histogram
	ran    tally.Histogram

	draining atomic.Bool
	closed   atomic.Bool
	leaving  atomic.Bool
	awake    atomic.Pointer[chan struct{}]
	running  atomic.Int64
	start    time.Time
	// healthyAt is when the target last said that it is well, in nanoseconds
	// since the start.
	healthyAt    atomic.Int64
	lapsedServed atomic.Bool
	answered     atomic.Pointer[answered]
	// beat is when the watcher last ran, in nanoseconds since the start, 0
	// without a watcher.
	beat atomic.Int64
}

// Config holds what a gate is made of.
type Config struct {
	OwnTarget     vanillabarrow.TargetRef
	Incarnation   string
	Configuration vanillabarrow.Configuration
	Executor      vanillabarrow.Executor
	KeyReleaser   vanillabarrow.KeyReleaser
	Limiter       vanillabarrow.Limiter
	Connectivity  vanillabarrow.PlatformConnectivity
	Scope         tally.Scope
	Logger        *slog.Logger
}

// New returns a gate that starts now.
func New(cfg Config) *Gate {
	now := time.Now()
	scope := cfg.Scope.SubScope("gate")
	g := &Gate{
		own:       cfg.OwnTarget,
		cfg:       cfg.Configuration,
		executor:  cfg.Executor,
		memory:    cfg.KeyReleaser,
		limiter:   cfg.Limiter,
		fence:     fence.New(cfg.Incarnation, now),
		keys:      idempotency.New(now),
		homes:     idempotency.NewHomes(),
		scope:     scope,
		waited:    scope.Histogram("wait", kernel.LatencyBuckets()),
		ran:       scope.Histogram("latency", kernel.LatencyBuckets()),
		logger:    cfg.Logger,
		isolation: cfg.Connectivity,
		start:     now,
	}
	g.healthyAt.Store(int64(-healthyFor))
	return g
}

// Configure takes over what a new snapshot says about the target. Homes is
// the sorted list of the targets that share the service's idempotency keys.
// Leaving is set while the VM is published as leaving.
func (g *Gate) Configure(snapshot *vanillabarrow.Snapshot, homes []string, leaving bool) {
	g.leaving.Store(leaving)
	if target := g.own.Resolve(snapshot); target != nil {
		g.limiter.Configure(target, snapshot.Services[target.Service], time.Now())
	}
	g.homes.Set(homes, snapshot.Version, time.Now())
}

// Drain notes that the node is about to leave. Work that can end before it does
// is still taken.
func (g *Gate) Drain() { g.draining.Store(true) }

// Close makes the gate refuse new work.
func (g *Gate) Close() {
	g.draining.Store(true)
	g.closed.Store(true)
}

// Draining reports whether the node is about to leave.
func (g *Gate) Draining() bool { return g.draining.Load() || g.leaving.Load() }

// refuses reports whether the gate takes no new work because the node leaves.
func (g *Gate) refuses() bool { return g.closed.Load() || g.leaving.Load() }

// Running returns the number of attempts that wait or run.
func (g *Gate) Running() int { return int(g.running.Load()) }

// Token implements vanillabarrow.Gate.
func (g *Gate) Token() vanillabarrow.Token { return g.fence.Token(time.Now()) }

// Load implements vanillabarrow.Gate.
func (g *Gate) Load(priority int) vanillabarrow.Load {
	load := g.limiter.Load(priority)
	load.Draining = load.Draining || g.refuses() || g.isOut()
	return load
}

func (g *Gate) isOut() bool {
	snapshot := g.cfg.Snapshot()
	if snapshot == nil {
		return false
	}
	target := g.own.Resolve(snapshot)
	return target == nil || target.OutOfService || target.Draining || !g.isServed(target, time.Now())
}

// QueryAttempt implements vanillabarrow.Gate.
func (g *Gate) QueryAttempt(attempt *vanillabarrow.Attempt) *vanillabarrow.AttemptReport {
	report := g.fence.Ask(attempt.ID, attempt.Token, time.Now())
	g.scope.Tagged(map[string]string{"state": report.State.String()}).Counter("asked").Inc(1)
	return report
}

// Handle implements vanillabarrow.Gate. Work that may run only once goes on
// when the connection to the asking node breaks, so that its answer can still
// be fetched.
func (g *Gate) Handle(ctx context.Context, attempt *vanillabarrow.Attempt) (*vanillabarrow.Response, error) {
	g.running.Add(1)
	defer g.running.Add(-1)
	start := time.Now()
	once := !attempt.Request.Idempotent
	// Refusals are on record too: a second copy of the message may arrive when
	// the reason for the refusal has gone.
	if err := g.fence.Begin(attempt.ID, attempt.Token, once, time.Now()); err != nil {
		return nil, g.refuse(attempt, start, err)
	}
	answer, err := g.checked(ctx, attempt)
	var refusal *vanillabarrow.Refusal
	if err != nil {
		refusal = vanillabarrow.AsRefusal(err)
	}
	g.fence.Finish(attempt.ID, answer, refusal)
	if refusal != nil {
		return nil, g.refuse(attempt, start, refusal)
	}
	g.scope.Counter("finished").Inc(1)
	return answer, nil
}

// checked refuses the attempt or runs it.
func (g *Gate) checked(ctx context.Context, attempt *vanillabarrow.Attempt) (*vanillabarrow.Response, error) {
	if err := g.check(ctx, attempt); err != nil {
		return nil, err
	}
	if attempt.Request.Idempotent {
		return g.run(ctx, attempt)
	}
	return g.runKeyed(ctx, attempt)
}

// refuse counts and logs a refusal.
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

// check refuses what must not even wait here.
func (g *Gate) check(ctx context.Context, attempt *vanillabarrow.Attempt) error {
	g.suspendIfPaused()
	if err := g.waitAwake(ctx); err != nil {
		return err
	}
	if ctx.Err() != nil {
		return vanillabarrow.NotRun(vanillabarrow.ReasonCanceled, "the sender gave up")
	}
	if err := g.checkTarget(attempt); err != nil {
		return err
	}
	if g.refuses() {
		return vanillabarrow.NotRun(vanillabarrow.ReasonDraining, "")
	}
	if g.cfg.Snapshot() == nil {
		return vanillabarrow.NotRun(vanillabarrow.ReasonNoConfig, "")
	}
	if g.isOut() {
		return vanillabarrow.NotRun(vanillabarrow.ReasonTargetOut, "")
	}
	if !time.Now().Before(attempt.Deadline) {
		return vanillabarrow.NotRun(vanillabarrow.ReasonDeadline, "deadline passed on arrival")
	}
	return nil
}

// checkTarget refuses attempts for a target that is not beside this node.
func (g *Gate) checkTarget(attempt *vanillabarrow.Attempt) error {
	if attempt.Target != nil && attempt.Target.Name == g.own.Name {
		return nil
	}
	if g.own.Name != "" || attempt.Target == nil {
		return vanillabarrow.NotRun(vanillabarrow.ReasonWrongTarget, "this gate guards "+g.own.Name)
	}
	snapshot := g.cfg.Snapshot()
	if snapshot == nil {
		return vanillabarrow.NotRun(vanillabarrow.ReasonNoConfig, "")
	}
	// Several entries may name one address. The target itself refuses what is
	// meant for another.
	target := snapshot.Targets[attempt.Target.Name]
	if target == nil || target.Address != g.own.Address {
		return vanillabarrow.NotRun(vanillabarrow.ReasonWrongTarget, "this gate guards the target at "+g.own.Address)
	}
	if g.isReplaced(target) {
		return vanillabarrow.NotRun(vanillabarrow.ReasonWrongTarget, "another target answers at "+g.own.Address)
	}
	return nil
}

// run waits for a slot and sends the request to the target. What may run only
// once is not canceled once it has been sent.
func (g *Gate) run(ctx context.Context, attempt *vanillabarrow.Attempt) (*vanillabarrow.Response, error) {
	admission := admissionOf(attempt)
	arrived := time.Now()
	if err := g.limiter.Acquire(ctx, admission); err != nil {
		return nil, err
	}
	g.waited.RecordDuration(time.Since(arrived))
	// The wait may have outlasted the reasons to run at all.
	if err := g.check(ctx, attempt); err != nil {
		g.limiter.Release(admission, vanillabarrow.SignalNeutral, 0)
		return nil, err
	}
	if err := takeBody(attempt.Request); err != nil {
		g.limiter.Release(admission, vanillabarrow.SignalNeutral, 0)
		return nil, err
	}
	if !attempt.Request.Idempotent {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, attempt.Deadline)
	start := time.Now()
	answer, err := g.executor.Execute(ctx, attempt)
	latency := time.Since(start)
	g.ran.RecordDuration(latency)
	if err == nil {
		err = g.shed(attempt, answer)
	}
	if err != nil {
		cancel()
		g.limiter.Release(admission, signalOf(err), latency)
		return nil, err
	}
	g.release(admission, answer, latency, cancel)
	return answer, nil
}

// takeBody asks the sender for a body that it held back, as far as it is held
// in memory. A target that has got no byte of a request does not run it.
func takeBody(r *vanillabarrow.Request) error {
	if r.Stream == nil || len(r.Body) > 0 {
		return nil
	}
	start, rest, err := message.SplitBody(r.Stream, bodyHold)
	if err != nil {
		return vanillabarrow.NotRun(vanillabarrow.ReasonBodyIncomplete, err.Error())
	}
	r.Body, r.Stream = start, rest
	if rest == nil {
		r.Size = int64(len(start))
	}
	return nil
}

func admissionOf(a *vanillabarrow.Attempt) vanillabarrow.Admission {
	return vanillabarrow.Admission{
		Class:     a.Request.Route,
		Priority:  a.Request.Priority,
		Objective: a.Request.Objective,
		Deadline:  a.Deadline,
		Late:      a.Late,
	}
}

// shed turns an answer by which the target states that it did not run the
// request into a refusal.
func (g *Gate) shed(attempt *vanillabarrow.Attempt, answer *vanillabarrow.Response) error {
	service, ok := g.cfg.Snapshot().Services[attempt.Request.Service]
	if !ok || !slices.Contains(service.NotRunStatuses, answer.Status) {
		return nil
	}
	if answer.Stream != nil {
		_ = answer.Stream.Close()
	}
	refusal := vanillabarrow.NotRun(vanillabarrow.ReasonShed, "the target stated that it did not run the request")
	if values := answer.Header[message.RetriesHeader]; len(values) > 0 {
		refusal.Retries, _ = strconv.Atoi(values[0])
	}
	return refusal
}

// release gives the slot back once the whole answer has been read.
func (g *Gate) release(admission vanillabarrow.Admission, answer *vanillabarrow.Response, latency time.Duration, cancel context.CancelFunc) {
	if answer.Stream == nil {
		cancel()
		signal := vanillabarrow.SignalOK
		if answer.Status >= http.StatusInternalServerError {
			signal = vanillabarrow.SignalFailed
		}
		g.limiter.Release(admission, signal, latency)
		return
	}
	answer.Stream = &releaser{ReadCloser: answer.Stream, gate: g, admission: admission, latency: latency, cancel: cancel}
	g.running.Add(1)
}

func signalOf(err error) vanillabarrow.TargetSignal {
	switch vanillabarrow.AsRefusal(err).Reason {
	case vanillabarrow.ReasonTargetDown:
		return vanillabarrow.SignalDown
	case vanillabarrow.ReasonShed, vanillabarrow.ReasonTargetFailed:
		return vanillabarrow.SignalRefused
	case vanillabarrow.ReasonDeadline:
		return vanillabarrow.SignalTimeout
	default:
		return vanillabarrow.SignalNeutral
	}
}
