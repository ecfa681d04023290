// Package dispatch brings a caller's request to a target: it chooses targets,
// sends attempts, queries gates about attempts without a response, and retries
// where that is allowed. It does no I/O of its own.
package dispatch

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/hedge"
	"github.com/vanillabarrow/vanillabarrow/internal/random"
	"github.com/vanillabarrow/vanillabarrow/internal/retry"
)

const (
	// MaxDepth is the number of mesh hops above which a request is refused as a
	// routing loop. The deepest expected chain is 22.
	MaxDepth = 32
	// retryBackoffBase and retryBackoffMax are the base and the maximum of the
	// exponential backoff before a retry.
	retryBackoffBase = time.Millisecond
	retryBackoffMax  = 50 * time.Millisecond
)

// Members reports the state of VMs.
type Members interface {
	vanillabarrow.Members
	// ListedLive reports whether the published list has the VM as live.
	ListedLive(vm string) bool
	// Suspect records that a connection to the VM failed.
	Suspect(vm string)
}

// Config holds the dependencies and settings of a Dispatcher.
type Config struct {
	// VM and DataCentre are the names of the node's own VM and data centre.
	VM            string
	DataCentre    string
	Configuration vanillabarrow.Configuration
	Members       Members
	Balancer      vanillabarrow.Balancer
	Retry         vanillabarrow.RetryPolicy
	// Hedge decides about hedged requests, nil for none.
	Hedge vanillabarrow.HedgePolicy
	// HedgesRunning counts the hedges at the node's own gate.
	HedgesRunning *hedge.Running
	Forwarder     vanillabarrow.Forwarder
	// Withdrawer withdraws attempts when the node shuts down, nil if none can be.
	Withdrawer  vanillabarrow.Withdrawer
	TargetLoads *TargetLoads
	Throttle    *Throttle
	// CallOutcomes counts final refusals, nil for none.
	CallOutcomes       *CallOutcomes
	DataCentreBreakers *DataCentreBreakers
	RefusalCache       *RefusalCache
	GateAttempts       *GateAttempts
	ExpiredTargets     *ExpiredTargets
	GateTokens         *GateTokens
	Scope              tally.Scope
	Logger             *slog.Logger
	// NewID returns a unique attempt ID.
	NewID func() string
	// QueryAfter is the time without a response after which the gate is queried
	// about an attempt over another connection.
	QueryAfter time.Duration
}

// Dispatcher implements vanillabarrow.Dispatcher.
type Dispatcher struct {
	Config
	latencies latencies
	subsets   *subsets
	// hedgePauses holds the services at which a hedge was refused a moment ago.
	hedgePauses *hedgePauses
	// draining is set once the node shuts down.
	draining atomic.Bool
	// withdrawing is closed when requests no longer wait for a slot.
	withdrawing  chan struct{}
	withdrawOnce sync.Once
}

// New returns a Dispatcher.
func New(cfg Config) *Dispatcher {
	cfg.Scope = cfg.Scope.SubScope("dispatch")
	return &Dispatcher{
		Config: cfg, latencies: newLatencies(cfg.Scope), subsets: newSubsets(cfg.VM, cfg.DataCentre), hedgePauses: newHedgePauses(),
		withdrawing: make(chan struct{}),
	}
}

// requestState is the state of one request while it is dispatched.
type requestState struct {
	request  *vanillabarrow.Request
	service  *vanillabarrow.Service
	deadline time.Time
	tried    map[string]bool
	attempts int
	// hedge is set in the state of an attempt that hedges another one.
	hedge bool
	// targetsReached counts the attempts that may have reached a target.
	targetsReached int
	// attemptID is the ID of the last attempt, which was started at
	// attemptStart.
	attemptID    string
	attemptStart time.Time
	// breakerOpened is closed when the next or current attempt is to be aborted
	// because the breaker of its data centre opened, nil if it goes on.
	breakerOpened <-chan struct{}
	// reportedLoad is the load of the last attempt's target as known before the
	// attempt, from a report of age loadAge.
	reportedLoad vanillabarrow.Load
	loadAge      time.Duration
	// late is set when no gate can meet the objective, so that gates consider
	// only the deadline.
	late bool
	// overloaded lists the targets whose gates refused because they could not
	// meet the objective, or were skipped because of such a cached refusal.
	overloaded []string
	// skippedRefusal is the refusal for the caller if no attempt is made
	// because of cached refusals.
	skippedRefusal *vanillabarrow.Refusal
	// failedResponse is a failure response of a target, kept while another
	// target is tried. It is returned if no other response arrives.
	failedResponse *vanillabarrow.Response
	// retries counts the retries at this node and in downstream services. It
	// does not count the repeat after a stale token and, with MaxAttempts set,
	// attempts after a refusal by a gate.
	retries    int
	mayHaveRun bool
	// throttled is set if the throttle refused the request.
	throttled bool
}

// Do implements vanillabarrow.Dispatcher. The deadline is that of the context
// or the end of the timeout, whichever is sooner. The request's timeout, if
// set, replaces that of its service.
func (d *Dispatcher) Do(ctx context.Context, request *vanillabarrow.Request) (*vanillabarrow.Response, error) {
	start := time.Now()
	rs, err := d.newRequestState(ctx, request)
	if err != nil {
		return nil, d.finalRefusal(rs, start, vanillabarrow.AsRefusal(err))
	}
	ctx, cancel := context.WithDeadline(ctx, rs.deadline)
	resp, err := d.runAttempts(ctx, rs)
	if err != nil {
		cancel()
		return nil, d.finalRefusal(rs, start, vanillabarrow.AsRefusal(err))
	}
	d.latencies.record(request, vanillabarrow.VerdictFinished, time.Since(start))
	d.Scope.Counter("finished").Inc(1)
	d.TargetLoads.recordResponseSize(request, resp)
	// The gate may share the response with other callers, so a copy is changed.
	result := *resp
	result.Attempts = rs.attempts
	if result.Stream == nil {
		cancel()
		return &result, nil
	}
	result.Stream, result.Deadline = &cancelingStream{ReadCloser: result.Stream, cancel: cancel}, rs.deadline
	return &result, nil
}

// newRequestState checks the request against the configuration and sets its
// deadline. The error is a refusal.
func (d *Dispatcher) newRequestState(ctx context.Context, request *vanillabarrow.Request) (*requestState, error) {
	rs := &requestState{request: request, tried: map[string]bool{}}
	if request.Depth > MaxDepth {
		return rs, vanillabarrow.NotRun(vanillabarrow.ReasonTooDeep, fmt.Sprintf("call chain exceeds %d hops", MaxDepth))
	}
	snapshot := d.Configuration.Snapshot()
	if snapshot == nil {
		return rs, vanillabarrow.NotRun(vanillabarrow.ReasonNoConfig, "no configuration is in force yet")
	}
	service, ok := snapshot.Services[request.Service]
	if !ok {
		return rs, vanillabarrow.NotRun(vanillabarrow.ReasonNoRoute, "unknown service "+request.Service)
	}
	rs.service = service
	timeout := service.Timeout
	if request.Timeout > 0 {
		timeout = request.Timeout
	}
	rs.deadline = time.Now().Add(timeout)
	if deadline, ok := ctx.Deadline(); ok && deadline.Before(rs.deadline) {
		rs.deadline = deadline
	}
	return rs, nil
}

// finalRefusal records the refusal of a request and returns it as the caller
// gets it. If any attempt may have run, the verdict is VerdictMayHaveRun.
func (d *Dispatcher) finalRefusal(rs *requestState, start time.Time, refusal *vanillabarrow.Refusal) *vanillabarrow.Refusal {
	r := *refusal
	if d.CallOutcomes != nil && !rs.throttled {
		d.CallOutcomes.Record(r.Reason, time.Now())
	}
	if rs.mayHaveRun {
		r.Verdict = vanillabarrow.VerdictMayHaveRun
	}
	r.Retries = max(r.Retries, rs.retries)
	if r.Reason == vanillabarrow.ReasonOverloaded && r.RetryAfter > 0 {
		// Callers refused at the same time come back at different times.
		r.RetryAfter += random.Duration(r.RetryAfter)
	}
	d.latencies.record(rs.request, r.Verdict, time.Since(start))
	d.Scope.Tagged(map[string]string{
		"verdict": r.Verdict.String(),
		"reason":  string(r.Reason),
	}).Counter("refused").Inc(1)
	return &r
}

// runAttempts makes attempts until one of them decides the result of the
// request.
func (d *Dispatcher) runAttempts(ctx context.Context, rs *requestState) (*vanillabarrow.Response, error) {
	if rs.request.MaxAttempts > 0 {
		if err := d.Throttle.Admit(rs.request); err != nil {
			rs.throttled = true
			return nil, err
		}
	}
	d.Retry.Observe(rs.service.Name)
	if d.Hedge != nil {
		d.Hedge.Observe(rs.service.Name)
	}
	d.GateAttempts.budget.Observe(rs.request.Route)
	var last *vanillabarrow.Refusal
	for {
		target := d.choose(rs)
		if target == nil && last == nil {
			last = rs.skippedRefusal
		}
		if target == nil && rs.switchToLate(last) {
			continue
		}
		if target == nil {
			return rs.finalResult(noTargetError(last))
		}
		target, resp, err := d.attemptHedged(ctx, rs, target)
		if err == nil && rs.request.MaxAttempts > 0 {
			d.observeThrottle(rs, resp)
		}
		if err == nil && !d.shouldRetryResponse(ctx, rs, resp) {
			rs.closeFailedResponse()
			return resp, nil
		}
		if err == nil {
			d.logResponseReplaced(rs, resp)
			rs.failedResponse = resp
			rs.tried[target.Name] = true
			continue
		}
		next := false
		if last, next = d.handleRefusal(ctx, rs, target, last, vanillabarrow.AsRefusal(err)); !next {
			return rs.finalResult(last)
		}
	}
}

// handleRefusal records a failed attempt. It returns the refusal that the
// request ends with if it is not retried, and whether it is retried.
func (d *Dispatcher) handleRefusal(ctx context.Context, rs *requestState, target *vanillabarrow.Target, last, r *vanillabarrow.Refusal) (*vanillabarrow.Refusal, bool) {
	d.recordRefusal(rs, target, r)
	last = mergeRetryAfter(last, r)
	rs.retries += last.Retries
	if last.Verdict != vanillabarrow.VerdictNotRun {
		rs.mayHaveRun = true
	}
	rs.tried[target.Name] = true
	next := d.shouldRetry(ctx, rs, last)
	d.logAttemptEnded(rs, target, r, next)
	return last, next
}

// finalResult returns the target's own failure response if there is one, else
// the error.
func (rs *requestState) finalResult(err error) (*vanillabarrow.Response, error) {
	if rs.failedResponse != nil {
		return rs.failedResponse, nil
	}
	return nil, err
}

// closeFailedResponse closes the failure response that another response
// replaces.
func (rs *requestState) closeFailedResponse() {
	if rs.failedResponse != nil && rs.failedResponse.Stream != nil {
		_ = rs.failedResponse.Stream.Close()
	}
}

// mergeRetryAfter returns the newer refusal with the shorter of the two
// Retry-After delays (0 for none): the request can go to any of the targets, so
// the first one that is available again counts.
func mergeRetryAfter(last, next *vanillabarrow.Refusal) *vanillabarrow.Refusal {
	if last == nil || last.RetryAfter == 0 || (next.RetryAfter > 0 && next.RetryAfter < last.RetryAfter) {
		return next
	}
	r := *next
	r.RetryAfter = last.RetryAfter
	return &r
}

// attemptTarget makes an attempt at the target. A refusal for a stale token
// contains the current token, so the attempt is repeated once at the same
// target without a charge to the retry budget.
func (d *Dispatcher) attemptTarget(ctx context.Context, rs *requestState, target *vanillabarrow.Target) (*vanillabarrow.Response, error) {
	rs.attempts++
	resp, err := d.attemptOnce(ctx, rs, target)
	if err == nil || vanillabarrow.AsRefusal(err).Reason != vanillabarrow.ReasonStaleToken || !isReplayable(rs.request) {
		return resp, err
	}
	rs.attempts++
	// The refusal has closed the breaker, if it was open.
	if vm, ok := d.Configuration.Snapshot().VMs[target.VM]; ok {
		d.watchBreaker(rs, vm.DataCentre)
	}
	return d.attemptOnce(ctx, rs, target)
}

// noTargetError returns the last refusal, or one with ReasonNoTarget if there
// is none.
func noTargetError(last *vanillabarrow.Refusal) error {
	if last != nil {
		return last
	}
	r := vanillabarrow.NotRun(vanillabarrow.ReasonNoTarget, "no target of the service is available")
	r.RetryAfter = time.Second
	return r
}

// shouldRetry reports whether another attempt follows. If so, it has charged
// the retry budget where required and waited for any backoff.
func (d *Dispatcher) shouldRetry(ctx context.Context, rs *requestState, last *vanillabarrow.Refusal) bool {
	if d.isWithdrawing() {
		return false
	}
	if last.Verdict != vanillabarrow.VerdictNotRun && !rs.request.Idempotent {
		return false
	}
	if last.Reason == vanillabarrow.ReasonBodyIncomplete || !isReplayable(rs.request) {
		return false
	}
	if last.Reason == vanillabarrow.ReasonUnauthorized {
		return false
	}
	if rs.request.MaxAttempts > 0 {
		return d.shouldTryNextTarget(ctx, rs, last)
	}
	limit := min(rs.service.Retries, rs.request.RetriesLeft)
	if rs.retries >= limit || ctx.Err() != nil {
		return false
	}
	if !isBudgetExempt(last.Reason) && !d.Retry.Allow(rs.service.Name, last.Reason) {
		return false
	}
	rs.retries++
	d.Scope.Counter("retries").Inc(1)
	timer := time.NewTimer(retry.Backoff(retryBackoffBase, retryBackoffMax, rs.retries))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// isBudgetExempt reports whether a retry after the reason is not charged to the
// retry budget. The budget keeps retries from amplifying an overload. Gates
// refuse for these reasons whatever the load, so a retry at another target
// replaces the attempt and adds no load.
func isBudgetExempt(reason vanillabarrow.Reason) bool {
	switch reason {
	case vanillabarrow.ReasonDraining, vanillabarrow.ReasonTargetOut,
		vanillabarrow.ReasonWrongTarget, vanillabarrow.ReasonStaleToken:
		return true
	default:
		return false
	}
}

// isReplayable reports whether the body can be sent again from its start.
func isReplayable(r *vanillabarrow.Request) bool {
	if r.Stream == nil {
		return true
	}
	s, ok := r.Stream.(interface{ IsUnread() bool })
	return ok && s.IsUnread()
}
