// Package dispatch takes a caller's request to its end: it chooses targets,
// sends attempts, settles those without an answer, and retries what may be
// retried. It does no I/O of its own.
package dispatch

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/uber-go/tally/v4"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/retry"
)

const (
	// MaxDepth is the number of mesh hops after which a request counts as a
	// loop. The deepest expected chain is 22.
	MaxDepth = 32
	// retryBase and retryLimit bound the delay before a retry.
	retryBase  = time.Millisecond
	retryLimit = 50 * time.Millisecond
)

// Members is what a dispatcher asks of the membership.
type Members interface {
	vanillabarrow.Members
	// ListedLive reports whether the published list has the VM as live.
	ListedLive(vm string) bool
	// Suspect notes that a VM refused a connection.
	Suspect(vm string)
}

// Config holds what a dispatcher is made of.
type Config struct {
	// VM and DataCentre name the node's own place.
	VM                 string
	DataCentre         string
	Configuration      vanillabarrow.Configuration
	Members            Members
	Balancer           vanillabarrow.Balancer
	Retry              vanillabarrow.RetryPolicy
	Forwarder          vanillabarrow.Forwarder
	TargetLoads        *TargetLoads
	Throttle           *Throttle
	DataCentreBreakers *DataCentreBreakers
	RefusalCache       *RefusalCache
	ExpiredTargets     *ExpiredTargets
	GateTokens         *GateTokens
	Scope              tally.Scope
	Logger             *slog.Logger
	// NewID returns a unique id for an attempt.
	NewID func() string
	// QueryAfter is how long an attempt may stay without an answer before its
	// gate is asked about it over another connection.
	QueryAfter time.Duration
}

// Dispatcher implements vanillabarrow.Dispatcher.
type Dispatcher struct {
	Config
	latencies latencies
}

// New returns a dispatcher.
func New(cfg Config) *Dispatcher {
	cfg.Scope = cfg.Scope.SubScope("dispatch")
	return &Dispatcher{Config: cfg, latencies: newLatencies(cfg.Scope)}
}

// flight is the state of one request on its way.
type flight struct {
	request  *vanillabarrow.Request
	service  *vanillabarrow.Service
	deadline time.Time
	tried    map[string]bool
	attempts int
	// reached counts the attempts that may have got to a target.
	reached int
	// attemptID names the last attempt, begun at attemptAt.
	attemptID string
	attemptAt time.Time
	// seen is the load of its target as reported before it, seenAge old.
	seen    vanillabarrow.Load
	seenAge time.Duration
	// late is set once no gate could meet the objective.
	late bool
	// refused holds the targets whose gates had no room in time.
	refused []string
	// skipped is the refusal for the gates that were not asked because they had
	// no room a moment ago.
	skipped *vanillabarrow.Refusal
	// failed is an answer by which a target reported a failure of its own,
	// while another target is tried.
	failed *vanillabarrow.Response
	// retries counts attempts beyond the first, here and below.
	retries    int
	mayHaveRun bool
}

// Do implements vanillabarrow.Dispatcher. The context must have a deadline or
// the service's timeout applies.
func (d *Dispatcher) Do(ctx context.Context, request *vanillabarrow.Request) (*vanillabarrow.Response, error) {
	start := time.Now()
	f, err := d.prepare(ctx, request)
	if err != nil {
		return nil, d.refuse(f, start, vanillabarrow.AsRefusal(err))
	}
	ctx, cancel := context.WithDeadline(ctx, f.deadline)
	answer, err := d.attemptAll(ctx, f)
	if err != nil {
		cancel()
		return nil, d.refuse(f, start, vanillabarrow.AsRefusal(err))
	}
	d.latencies.record(request, vanillabarrow.VerdictFinished, time.Since(start))
	d.Scope.Counter("finished").Inc(1)
	d.TargetLoads.sized(request, answer)
	// A gate may hold the answer for others, so it is not written to.
	own := *answer
	own.Attempts = f.attempts
	if own.Stream == nil {
		cancel()
		return &own, nil
	}
	own.Stream = &cancelingStream{ReadCloser: own.Stream, cancel: cancel}
	return &own, nil
}

func (d *Dispatcher) prepare(ctx context.Context, request *vanillabarrow.Request) (*flight, error) {
	f := &flight{request: request, tried: map[string]bool{}}
	if request.Depth > MaxDepth {
		return f, vanillabarrow.NotRun(vanillabarrow.ReasonTooDeep, fmt.Sprintf("more than %d hops", MaxDepth))
	}
	snapshot := d.Configuration.Snapshot()
	if snapshot == nil {
		return f, vanillabarrow.NotRun(vanillabarrow.ReasonNoConfig, "no configuration is in force yet")
	}
	service, ok := snapshot.Services[request.Service]
	if !ok {
		return f, vanillabarrow.NotRun(vanillabarrow.ReasonNoRoute, "no service "+request.Service)
	}
	f.service = service
	timeout := service.Timeout
	if request.Timeout > 0 {
		timeout = request.Timeout
	}
	f.deadline = time.Now().Add(timeout)
	if deadline, ok := ctx.Deadline(); ok && deadline.Before(f.deadline) {
		f.deadline = deadline
	}
	return f, nil
}

// refuse completes a refusal. When any attempt may have run, so may have the
// request.
func (d *Dispatcher) refuse(f *flight, start time.Time, refusal *vanillabarrow.Refusal) *vanillabarrow.Refusal {
	r := *refusal
	if f.mayHaveRun {
		r.Verdict = vanillabarrow.VerdictMayHaveRun
	}
	r.Retries = max(r.Retries, f.retries)
	d.latencies.record(f.request, r.Verdict, time.Since(start))
	d.Scope.Tagged(map[string]string{
		"verdict": r.Verdict.String(),
		"reason":  string(r.Reason),
	}).Counter("refused").Inc(1)
	return &r
}

// attemptAll makes attempts until one ends the request.
func (d *Dispatcher) attemptAll(ctx context.Context, f *flight) (*vanillabarrow.Response, error) {
	if f.request.MaxAttempts > 0 {
		if err := d.Throttle.Admit(f.request); err != nil {
			return nil, err
		}
	}
	d.Retry.Observe(f.service.Name)
	var last *vanillabarrow.Refusal
	for {
		target := d.choose(f)
		if target == nil && last == nil {
			last = f.skipped
		}
		if target == nil && f.acceptLate(last) {
			continue
		}
		if target == nil {
			return f.end(noTarget(last))
		}
		answer, err := d.attemptAt(ctx, f, target)
		if err == nil && f.request.MaxAttempts > 0 {
			d.observe(f, answer)
		}
		if err == nil && !d.mayReplace(ctx, f, answer) {
			f.discard()
			return answer, nil
		}
		if err == nil {
			d.logReplaced(f, answer)
			f.failed = answer
			f.tried[target.Name] = true
			continue
		}
		next := false
		if last, next = d.refused(ctx, f, target, last, vanillabarrow.AsRefusal(err)); !next {
			return f.end(last)
		}
	}
}

// refused takes note of an attempt that failed. It returns the refusal that the
// request would end with and whether another attempt follows.
func (d *Dispatcher) refused(ctx context.Context, f *flight, target *vanillabarrow.Target, last, r *vanillabarrow.Refusal) (*vanillabarrow.Refusal, bool) {
	d.noteRefused(f, target, r)
	last = keepHint(last, r)
	f.retries += last.Retries
	if last.Verdict != vanillabarrow.VerdictNotRun {
		f.mayHaveRun = true
	}
	f.tried[target.Name] = true
	next := d.mayRetry(ctx, f, last)
	d.logEnded(f, target, r, next)
	return last, next
}

// end ends the request with the target's own failure when there is one.
func (f *flight) end(err error) (*vanillabarrow.Response, error) {
	if f.failed != nil {
		return f.failed, nil
	}
	return nil, err
}

// discard drops the failure that another answer replaces.
func (f *flight) discard() {
	if f.failed != nil && f.failed.Stream != nil {
		_ = f.failed.Stream.Close()
	}
}

// keepHint returns the newer refusal with the shorter of the two advised
// delays, since any of the targets will do.
func keepHint(last, next *vanillabarrow.Refusal) *vanillabarrow.Refusal {
	if last == nil || last.RetryAfter == 0 || (next.RetryAfter > 0 && next.RetryAfter < last.RetryAfter) {
		return next
	}
	r := *next
	r.RetryAfter = last.RetryAfter
	return &r
}

// attemptAt makes an attempt at the target. A refusal for a stale token brings
// the new one, so the same target is asked again at no cost to the budget.
func (d *Dispatcher) attemptAt(ctx context.Context, f *flight, target *vanillabarrow.Target) (*vanillabarrow.Response, error) {
	f.attempts++
	answer, err := d.attempt(ctx, f, target)
	if err == nil || vanillabarrow.AsRefusal(err).Reason != vanillabarrow.ReasonStaleToken || !replayable(f.request) {
		return answer, err
	}
	f.attempts++
	return d.attempt(ctx, f, target)
}

func noTarget(last *vanillabarrow.Refusal) error {
	if last != nil {
		return last
	}
	r := vanillabarrow.NotRun(vanillabarrow.ReasonNoTarget, "no target of the service takes work")
	r.RetryAfter = time.Second
	return r
}

// mayRetry decides on another attempt and waits before it.
func (d *Dispatcher) mayRetry(ctx context.Context, f *flight, last *vanillabarrow.Refusal) bool {
	if last.Verdict != vanillabarrow.VerdictNotRun && !f.request.Idempotent {
		return false
	}
	if last.Reason == vanillabarrow.ReasonBodyIncomplete || !replayable(f.request) {
		return false
	}
	if f.request.MaxAttempts > 0 {
		return d.mayTryNext(ctx, f, last)
	}
	limit := min(f.service.Retries, f.request.RetriesLeft)
	if f.retries >= limit || ctx.Err() != nil {
		return false
	}
	// Only refusals for load can multiply load; a target that left or moved
	// is replaced without a charge.
	if !free(last.Reason) && !d.Retry.Allow(f.service.Name, last.Reason) {
		return false
	}
	f.retries++
	d.Scope.Counter("retries").Inc(1)
	timer := time.NewTimer(retry.Backoff(retryBase, retryLimit, f.retries))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// free reports whether a retry after the reason adds no load to any target.
func free(reason vanillabarrow.Reason) bool {
	switch reason {
	case vanillabarrow.ReasonDraining, vanillabarrow.ReasonTargetOut,
		vanillabarrow.ReasonWrongTarget, vanillabarrow.ReasonStaleToken:
		return true
	default:
		return false
	}
}

// replayable reports whether the body can be sent again from its start.
func replayable(r *vanillabarrow.Request) bool {
	if r.Stream == nil {
		return true
	}
	s, ok := r.Stream.(interface{ IsUnread() bool })
	return ok && s.IsUnread()
}
