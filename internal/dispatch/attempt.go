package dispatch

import (
	"context"
	"io"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/logging"
	"github.com/vanillabarrow/vanillabarrow/internal/tenant"
)

const (
	// queryTimeout is the timeout of one query to a gate.
	queryTimeout = 500 * time.Millisecond
	// queryInterval is the delay between two queries about an attempt whose
	// response was lost.
	queryInterval = 100 * time.Millisecond
	// resolveTimeout limits the total time of the queries about one attempt
	// whose response was lost.
	resolveTimeout = 2 * time.Second
)

// attemptOnce makes one attempt at the target and updates the tables with its
// result.
func (d *Dispatcher) attemptOnce(ctx context.Context, rs *requestState, target *vanillabarrow.Target) (*vanillabarrow.Response, error) {
	snapshot := d.Configuration.Snapshot()
	vm, ok := snapshot.VMs[target.VM]
	if !ok {
		return nil, vanillabarrow.NotRun(vanillabarrow.ReasonNoTarget, "unknown VM "+target.VM)
	}
	if err := tenant.CheckCredential(snapshot, rs.request); err != nil {
		return nil, err
	}
	a := &vanillabarrow.Attempt{
		ID:          d.NewID(),
		Request:     rs.request,
		Target:      target,
		Address:     vm.PeerAddress,
		Version:     snapshot.Version,
		Token:       d.GateTokens.Get(target.Name),
		Deadline:    rs.deadline,
		Late:        rs.late,
		Hedge:       rs.hedge,
		Sending:     &vanillabarrow.Sending{},
		RetriesLeft: max(0, min(rs.service.Retries, rs.request.RetriesLeft)-rs.retries),
	}
	a.CredentialProof = tenant.Proof(rs.request, a.ID)
	rs.attemptID, rs.attemptStart = a.ID, time.Now()
	rs.reportedLoad, rs.loadAge = d.TargetLoads.expectedLoad(target.Name, rs.request.Priority, rs.attemptStart)
	trial := d.TargetLoads.beginAttempt(target.Name, rs.attemptStart)
	resp, err := d.awaitOutcome(ctx, a, rs.breakerOpened)
	if isHedgeLoser(ctx) {
		// The attempt was canceled, so its end says nothing about the target.
		d.Scope.Counter("attemptsCanceled").Inc(1)
		d.TargetLoads.endAttempt(target.Name, trial, resultInconclusive, time.Now())
		return resp, err
	}
	var refusal *vanillabarrow.Refusal
	if err != nil {
		refusal = vanillabarrow.AsRefusal(err)
		d.Scope.Tagged(map[string]string{"reason": string(refusal.Reason)}).Counter("attemptsFailed").Inc(1)
		d.GateTokens.Put(target.Name, refusal.Token)
		d.recordConnectionFailure(rs, target, vm.DataCentre, refusal.Reason)
	}
	if refusal == nil || provesReachable(refusal.Reason) {
		d.recordDataCentreResponse(vm.DataCentre, target.Name)
	}
	if target.Expired {
		d.ExpiredTargets.RecordResult(target.Name, refusal, time.Now())
	}
	d.logEjectionChange(target.Name, d.TargetLoads.endAttempt(target.Name, trial, resultOf(refusal), time.Now()))
	return resp, err
}

// recordConnectionFailure records that the connection to the target's node
// failed, and does nothing for other reasons. If the request has MaxAttempts
// set, the next target is tried without delay, so the VM is not reported as
// suspect: its target is ejected until a trial request reaches it. A node that
// does not react at all also counts against its data centre, since the network
// path may be down; a refused or reset connection concerns the node alone.
func (d *Dispatcher) recordConnectionFailure(rs *requestState, target *vanillabarrow.Target, dataCentre string, reason vanillabarrow.Reason) {
	if reason != vanillabarrow.ReasonConnectionFailed && reason != vanillabarrow.ReasonUnreachable {
		return
	}
	if rs.request.MaxAttempts == 0 {
		d.Members.Suspect(target.VM)
		return
	}
	d.TargetLoads.ejectOnNextFailure(target.Name)
	if reason == vanillabarrow.ReasonUnreachable && d.DataCentreBreakers.RecordFailure(dataCentre, target.Name, time.Now()) {
		d.Scope.Counter("areasSetAside").Inc(1)
		d.Logger.Warn(logging.EventDataCentreBreakerOpened, "dataCentre", dataCentre, "target", target.Name)
	}
}

// provesReachable reports whether an attempt that ended for the reason shows
// that the target's node can be reached. Reaching the deadline without a
// response does not.
func provesReachable(reason vanillabarrow.Reason) bool {
	switch reason {
	case vanillabarrow.ReasonUnreachable, vanillabarrow.ReasonNodeDelayed, vanillabarrow.ReasonCutOff,
		vanillabarrow.ReasonDeadline, vanillabarrow.ReasonCanceled:
		return false
	default:
		return true
	}
}

// resultOf returns what an attempt that ended shows about its target and the
// target's node. The refusal is nil for a response. A refusal that indicates no
// fault counts as a success if it proves that the node can be reached, because
// it shows that the gate works.
func resultOf(refusal *vanillabarrow.Refusal) attemptResult {
	switch {
	case refusal == nil:
		return resultSuccess
	case isFault(refusal.Reason):
		return resultFailure
	case provesReachable(refusal.Reason):
		return resultSuccess
	default:
		return resultInconclusive
	}
}

// isFault reports whether the reason indicates a fault of the target or its
// node.
func isFault(reason vanillabarrow.Reason) bool {
	switch reason {
	case vanillabarrow.ReasonTargetDown, vanillabarrow.ReasonTargetFailed,
		vanillabarrow.ReasonConnectionFailed, vanillabarrow.ReasonAnswerLost,
		vanillabarrow.ReasonUnreachable, vanillabarrow.ReasonCutOff, vanillabarrow.ReasonMisdirected:
		return true
	default:
		return false
	}
}

// watchBreaker sets the channel that aborts the next attempt, at a target in the
// data centre. It is called before that breaker is checked, as an open breaker
// has no such channel.
func (d *Dispatcher) watchBreaker(rs *requestState, dataCentre string) {
	rs.breakerOpened = nil
	if rs.request.MaxAttempts > 0 && rs.request.Idempotent && dataCentre != d.DataCentre {
		rs.breakerOpened = d.DataCentreBreakers.Opened(dataCentre)
	}
}

// awaitOutcome sends the attempt and waits until its outcome is known, the
// context ends or the gate can't know the outcome. While there is no response,
// it queries the gate over another connection at intervals of QueryAfter, which
// detects connections that stopped delivering data. An outcome that arrives
// during a query takes precedence over the gate's report, because a gate that
// ends an attempt meanwhile may report no more of it. An idempotent request with
// MaxAttempts set also stops waiting when the breaker of a remote data centre
// opens, since it can be tried at another target, unless the node shuts down. Once
// the dispatcher withdraws requests, an attempt that was not sent ends, and the gate
// is asked to refuse one that waits there.
func (d *Dispatcher) awaitOutcome(ctx context.Context, a *vanillabarrow.Attempt, breakerOpened <-chan struct{}) (*vanillabarrow.Response, error) {
	forwardCtx, cancel := context.WithCancel(ctx)
	p := &pendingAttempt{dispatcher: d, attempt: a, start: time.Now(), cancel: cancel, result: make(chan outcome, 1)}
	go p.run(forwardCtx)
	timer := time.NewTimer(d.QueryAfter)
	defer timer.Stop()
	queryCtx, cancelQuery := context.WithCancel(ctx)
	defer cancelQuery()
	query := &pendingQuery{attempt: p, result: make(chan queryResult, 1)}
	withdrawing := d.withdrawing
	for {
		select {
		case out := <-p.result:
			return d.handleOutcome(ctx, p, out)
		case <-breakerOpened:
			if d.draining.Load() {
				breakerOpened = nil
				continue
			}
			return nil, p.abandon(vanillabarrow.ReasonCutOff, "the data centre became unreachable")
		case <-withdrawing:
			withdrawing = nil
			if a.Sending.Abandon() {
				p.cancel()
				go p.loopDiscard()
				return nil, errWithdrawn()
			}
			if timer.Stop() {
				timer.Reset(0)
			}
		case <-timer.C:
			go query.run(queryCtx)
		case reported := <-query.result:
			if reported.resolved {
				return d.handleReport(ctx, p, reported.outcome)
			}
			wait := d.QueryAfter
			if withdrawing == nil && !reported.withdrawn {
				// The query was sent before the withdrawal.
				wait = 0
			}
			timer.Reset(wait)
		case <-ctx.Done():
			return nil, p.abandon(contextReason(ctx), "no response before the request ended")
		}
	}
}

// handleReport returns the outcome that a gate reported, or the forwarder's
// result if it has arrived too. If the gate can't know whether the request has
// run, the forwarder reports whether the attempt was sent.
func (d *Dispatcher) handleReport(ctx context.Context, p *pendingAttempt, reported outcome) (*vanillabarrow.Response, error) {
	select {
	case out := <-p.result:
		return d.handleOutcome(ctx, p, out)
	default:
	}
	if reported.err != nil && vanillabarrow.AsRefusal(reported.err).Verdict == vanillabarrow.VerdictMayHaveRun {
		return nil, p.abandonUnknown(vanillabarrow.AsRefusal(reported.err))
	}
	p.cancel()
	go p.loopDiscard()
	return reported.response, reported.err
}

// contextReason returns the refusal reason for a context that ended.
func contextReason(ctx context.Context) vanillabarrow.Reason {
	switch context.Cause(ctx) {
	case context.DeadlineExceeded:
		return vanillabarrow.ReasonDeadline
	case vanillabarrow.ErrNodeStopping:
		return vanillabarrow.ReasonDraining
	default:
		return vanillabarrow.ReasonCanceled
	}
}

// handleOutcome returns the forwarder's result. If it contains no verdict of
// the gate, it queries the gate first, unless another target can be tried
// instead.
func (d *Dispatcher) handleOutcome(ctx context.Context, p *pendingAttempt, out outcome) (*vanillabarrow.Response, error) {
	if out.err == nil {
		if out.response.Stream == nil {
			p.cancel()
		} else {
			out.response.Stream = &cancelingStream{ReadCloser: out.response.Stream, cancel: p.cancel}
		}
		return out.response, nil
	}
	p.cancel()
	refusal := vanillabarrow.AsRefusal(out.err)
	if refusal.Verdict != vanillabarrow.VerdictMayHaveRun || !isResolvable(refusal.Reason) {
		return nil, refusal
	}
	if p.attempt.Request.MaxAttempts > 0 && p.attempt.Request.Idempotent {
		// Another target responds sooner than queries resolve the attempt.
		return nil, refusal
	}
	return d.queryUntilResolved(ctx, p, refusal)
}

// isResolvable reports whether the gate may know the outcome of an attempt that
// failed for the reason.
func isResolvable(reason vanillabarrow.Reason) bool {
	switch reason {
	case vanillabarrow.ReasonConnectionFailed, vanillabarrow.ReasonUnreachable,
		vanillabarrow.ReasonAnswerLost, vanillabarrow.ReasonDuplicate:
		return true
	default:
		return false
	}
}

// queryUntilResolved queries the gate about an attempt whose response was lost,
// until the gate reports the outcome or resolveTimeout has passed.
func (d *Dispatcher) queryUntilResolved(ctx context.Context, p *pendingAttempt, refusal *vanillabarrow.Refusal) (*vanillabarrow.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	for {
		if out, resolved := d.queryOutcome(ctx, p); resolved {
			return out.response, out.err
		}
		timer := time.NewTimer(queryInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil, refusal
		}
	}
}

// queryOutcome queries the gate once. Resolved is false while the outcome is
// unknown.
func (d *Dispatcher) queryOutcome(ctx context.Context, p *pendingAttempt) (out outcome, resolved bool) {
	a := p.attempt
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	report, withdrawn, err := d.askGate(ctx, a)
	if err != nil {
		return outcome{}, false
	}
	if report.State != vanillabarrow.AttemptRunning {
		d.Logger.Info(logging.EventAttemptResolved, "id", a.Request.ID, "attempt", a.ID, "target", a.Target.Name,
			"state", report.State, "took", time.Since(p.start))
	}
	d.Scope.Tagged(map[string]string{"state": report.State.String()}).Counter("settled").Inc(1)
	switch report.State {
	case vanillabarrow.AttemptRunning:
		return outcome{}, false
	case vanillabarrow.AttemptFinished:
		if report.Response == nil {
			return outcome{err: vanillabarrow.MayHaveRun(vanillabarrow.ReasonAnswerLost, "the gate no longer stores the response")}, true
		}
		return outcome{response: report.Response}, true
	case vanillabarrow.AttemptFenced:
		if withdrawn && report.NotRun {
			return outcome{err: errWithdrawn()}, true
		}
		return outcome{err: fencedError(a, report)}, true
	default:
		return outcome{err: vanillabarrow.MayHaveRun(vanillabarrow.ReasonAnswerLost, "the gate reports attempt state "+report.State.String())}, true
	}
}

// fencedError returns the refusal for an attempt that the gate reports as
// fenced. A gate removes its record of an idempotent attempt when the attempt
// ends, so the lack of a record does not prove that the request did not run,
// unless the gate states that it did not.
func fencedError(a *vanillabarrow.Attempt, report *vanillabarrow.AttemptReport) error {
	if a.Request.Idempotent && !report.NotRun {
		return vanillabarrow.MayHaveRun(vanillabarrow.ReasonAnswerLost, "no response arrived and the gate has no record of the attempt")
	}
	return vanillabarrow.NotRun(vanillabarrow.ReasonFenced, "the attempt never reached the target")
}

// cancelingStream cancels the context of an attempt when its response is
// closed.
type cancelingStream struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close closes the stream and cancels the context.
func (s *cancelingStream) Close() error {
	defer s.cancel()
	return s.ReadCloser.Close()
}
