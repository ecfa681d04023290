package dispatch

import (
	"context"
	"io"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/logging"
)

const (
	// askTimeout bounds one question.
	askTimeout = 500 * time.Millisecond
	// askAgain is the delay between two questions about a lost attempt.
	askAgain = 100 * time.Millisecond
	// settleFor bounds the questions about a lost attempt.
	settleFor = 2 * time.Second
)

// outcome is the end of one attempt.
type outcome struct {
	answer *vanillabarrow.Response
	err    error
}

// attemptRun is one attempt on its way.
type attemptRun struct {
	dispatcher *Dispatcher
	attempt    *vanillabarrow.Attempt
	cancel     context.CancelFunc
	result     chan outcome
}

func (r *attemptRun) run(ctx context.Context) {
	answer, err := r.dispatcher.Forwarder.Forward(ctx, r.attempt)
	r.result <- outcome{answer, err}
}

// loopDiscard closes an answer that arrives after the attempt was settled in
// another way.
func (r *attemptRun) loopDiscard() {
	if out := <-r.result; out.answer != nil && out.answer.Stream != nil {
		_ = out.answer.Stream.Close()
	}
}

func (d *Dispatcher) attempt(ctx context.Context, f *flight, target *vanillabarrow.Target) (*vanillabarrow.Response, error) {
	snapshot := d.Configuration.Snapshot()
	vm, ok := snapshot.VMs[target.VM]
	if !ok {
		return nil, vanillabarrow.NotRun(vanillabarrow.ReasonNoTarget, "no VM "+target.VM)
	}
	a := &vanillabarrow.Attempt{
		ID:          d.NewID(),
		Request:     f.request,
		Target:      target,
		Address:     vm.PeerAddress,
		Version:     snapshot.Version,
		Token:       d.GateTokens.Get(target.Name),
		Deadline:    f.deadline,
		Late:        f.late,
		RetriesLeft: max(0, min(f.service.Retries, f.request.RetriesLeft)-f.retries),
	}
	f.attemptID, f.attemptAt = a.ID, time.Now()
	f.seen, f.seenAge = d.TargetLoads.seen(target.Name, f.request.Priority, f.attemptAt)
	d.TargetLoads.begin(target.Name, f.attemptAt)
	d.DataCentreBreakers.beginTrial(vm.DataCentre, f.attemptAt)
	if target.Expired {
		d.ExpiredTargets.beginTrial(target.Name, f.attemptAt)
	}
	answer, err := d.settled(ctx, a, vm.DataCentre)
	var refusal *vanillabarrow.Refusal
	if err != nil {
		refusal = vanillabarrow.AsRefusal(err)
		d.Scope.Tagged(map[string]string{"reason": string(refusal.Reason)}).Counter("attemptsFailed").Inc(1)
		d.GateTokens.Put(target.Name, refusal.Token)
		d.notReached(f, target, vm.DataCentre, refusal.Reason)
	}
	if refusal == nil || reacted(refusal.Reason) {
		d.heard(vm.DataCentre, target.Name)
	}
	if target.Expired {
		d.ExpiredTargets.RecordResult(target.Name, refusal, time.Now())
	}
	d.logChange(target.Name, d.TargetLoads.end(target.Name, signOf(refusal), time.Now()))
	return answer, err
}

// notReached notes that the node of a target could not be reached. A route that
// bounds the targets it may reach has its next gate at hand, so the target is
// only set aside until a trial reaches it. Silence speaks against the way to the
// data centre; a refused connection only against the node.
func (d *Dispatcher) notReached(f *flight, target *vanillabarrow.Target, dataCentre string, reason vanillabarrow.Reason) {
	if reason != vanillabarrow.ReasonConnectionFailed && reason != vanillabarrow.ReasonUnreachable {
		return
	}
	if f.request.MaxAttempts == 0 {
		d.Members.Suspect(target.VM)
		return
	}
	d.TargetLoads.unreachable(target.Name)
	if reason == vanillabarrow.ReasonUnreachable && d.DataCentreBreakers.RecordFailure(dataCentre, target.Name, time.Now()) {
		d.Scope.Counter("areasSetAside").Inc(1)
		d.Logger.Warn(logging.EventDataCentreBreakerOpened, "dataCentre", dataCentre, "target", target.Name)
	}
}

// reacted reports whether an attempt that ended for the reason shows that the
// node of the target can be reached. Silence until the deadline does not.
func reacted(reason vanillabarrow.Reason) bool {
	switch reason {
	case vanillabarrow.ReasonUnreachable, vanillabarrow.ReasonCutOff,
		vanillabarrow.ReasonDeadline, vanillabarrow.ReasonCanceled:
		return false
	default:
		return true
	}
}

// signOf returns what the end of an attempt says about its target and the node
// beside it. The refusal is nil for an answer; an honest refusal is as good.
func signOf(refusal *vanillabarrow.Refusal) sign {
	switch {
	case refusal == nil:
		return signGood
	case faulty(refusal.Reason):
		return signBad
	case reacted(refusal.Reason):
		return signGood
	default:
		return signNone
	}
}

// faulty reports whether the reason speaks against the target or its node.
func faulty(reason vanillabarrow.Reason) bool {
	switch reason {
	case vanillabarrow.ReasonTargetDown, vanillabarrow.ReasonTargetFailed,
		vanillabarrow.ReasonConnectionFailed, vanillabarrow.ReasonAnswerLost,
		vanillabarrow.ReasonUnreachable, vanillabarrow.ReasonCutOff, vanillabarrow.ReasonMisdirected:
		return true
	default:
		return false
	}
}

// settled sends the attempt and stays with it until its outcome is known, its
// deadline passes or the gate can't know. While no answer comes it asks the
// gate over another connection, which finds silent connections.
func (d *Dispatcher) settled(ctx context.Context, a *vanillabarrow.Attempt, dataCentre string) (*vanillabarrow.Response, error) {
	forwardCtx, cancel := context.WithCancel(ctx)
	r := &attemptRun{dispatcher: d, attempt: a, cancel: cancel, result: make(chan outcome, 1)}
	go r.run(forwardCtx)
	timer := time.NewTimer(d.QueryAfter)
	defer timer.Stop()
	var lost <-chan struct{}
	if a.Request.MaxAttempts > 0 && a.Request.Idempotent && dataCentre != d.DataCentre {
		lost = d.DataCentreBreakers.Opened(dataCentre)
	}
	for {
		select {
		case out := <-r.result:
			return d.finish(ctx, r, out)
		case <-lost:
			cancel()
			go r.loopDiscard()
			return nil, vanillabarrow.MayHaveRun(vanillabarrow.ReasonCutOff, "the data centre can't be reached")
		case <-timer.C:
			if out, settled := d.probe(ctx, a); settled {
				cancel()
				go r.loopDiscard()
				return out.answer, out.err
			}
			timer.Reset(d.QueryAfter)
		case <-ctx.Done():
			cancel()
			go r.loopDiscard()
			return nil, vanillabarrow.MayHaveRun(expiry(ctx), "no answer in time")
		}
	}
}

func expiry(ctx context.Context) vanillabarrow.Reason {
	if context.Cause(ctx) == context.DeadlineExceeded {
		return vanillabarrow.ReasonDeadline
	}
	return vanillabarrow.ReasonCanceled
}

// finish takes the outcome of the forwarder. An outcome without a verdict of
// the gate is settled by asking.
func (d *Dispatcher) finish(ctx context.Context, r *attemptRun, out outcome) (*vanillabarrow.Response, error) {
	if out.err == nil {
		if out.answer.Stream == nil {
			r.cancel()
		} else {
			out.answer.Stream = &cancelingStream{ReadCloser: out.answer.Stream, cancel: r.cancel}
		}
		return out.answer, nil
	}
	r.cancel()
	refusal := vanillabarrow.AsRefusal(out.err)
	if refusal.Verdict != vanillabarrow.VerdictMayHaveRun || !unsettled(refusal.Reason) {
		return nil, refusal
	}
	if r.attempt.Request.MaxAttempts > 0 && r.attempt.Request.Idempotent {
		// Another target answers sooner than questions do.
		return nil, refusal
	}
	return d.settle(ctx, r.attempt, refusal)
}

// unsettled reports whether the gate may know more than the reason tells.
func unsettled(reason vanillabarrow.Reason) bool {
	switch reason {
	case vanillabarrow.ReasonConnectionFailed, vanillabarrow.ReasonUnreachable,
		vanillabarrow.ReasonAnswerLost, vanillabarrow.ReasonDuplicate:
		return true
	default:
		return false
	}
}

// settle asks about an attempt whose answer was lost until the gate tells its
// end, for a bounded time.
func (d *Dispatcher) settle(ctx context.Context, a *vanillabarrow.Attempt, refusal *vanillabarrow.Refusal) (*vanillabarrow.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, settleFor)
	defer cancel()
	for {
		if out, settled := d.probe(ctx, a); settled {
			return out.answer, out.err
		}
		timer := time.NewTimer(askAgain)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil, refusal
		}
	}
}

// probe asks the gate once. Settled is false while the outcome stays open.
func (d *Dispatcher) probe(ctx context.Context, a *vanillabarrow.Attempt) (out outcome, settled bool) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	report, err := d.Forwarder.QueryAttempt(ctx, a)
	if err != nil {
		return outcome{}, false
	}
	if report.State != vanillabarrow.AttemptRunning {
		d.Logger.Info(logging.EventAttemptSettled, "id", a.Request.ID, "attempt", a.ID, "target", a.Target.Name, "state", report.State)
	}
	d.Scope.Tagged(map[string]string{"state": report.State.String()}).Counter("settled").Inc(1)
	switch report.State {
	case vanillabarrow.AttemptRunning:
		return outcome{}, false
	case vanillabarrow.AttemptFinished:
		if report.Response == nil {
			return outcome{err: vanillabarrow.MayHaveRun(vanillabarrow.ReasonAnswerLost, "the answer is no longer stored")}, true
		}
		return outcome{answer: report.Response}, true
	case vanillabarrow.AttemptFenced:
		return outcome{err: fenced(a)}, true
	default:
		return outcome{err: vanillabarrow.MayHaveRun(vanillabarrow.ReasonAnswerLost, "the gate reports "+report.State.String())}, true
	}
}

// fenced returns the verdict on a fenced attempt. The record of an idempotent
// attempt ends with it, so its absence proves nothing.
func fenced(a *vanillabarrow.Attempt) error {
	if a.Request.Idempotent {
		return vanillabarrow.MayHaveRun(vanillabarrow.ReasonAnswerLost, "the connection went silent")
	}
	return vanillabarrow.NotRun(vanillabarrow.ReasonFenced, "the attempt never reached the target")
}

// cancelingStream ends the context of an attempt with its answer.
type cancelingStream struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close closes the stream and cancels the context.
func (s *cancelingStream) Close() error {
	defer s.cancel()
	return s.ReadCloser.Close()
}
