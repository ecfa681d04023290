package dispatch

import (
	"context"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
)

// abandonTimeout limits the wait for the forwarder after an attempt was
// canceled. A request that is running at the node's own target may go on.
const abandonTimeout = 10 * time.Millisecond

// outcome is the result of one attempt.
type outcome struct {
	response *vanillabarrow.Response
	err      error
}

// close closes a response that is not needed.
func (o outcome) close() {
	if o.response != nil && o.response.Stream != nil {
		_ = o.response.Stream.Close()
	}
}

// pendingAttempt is one attempt being forwarded.
type pendingAttempt struct {
	dispatcher *Dispatcher
	attempt    *vanillabarrow.Attempt
	start      time.Time
	cancel     context.CancelFunc
	result     chan outcome
}

func (p *pendingAttempt) run(ctx context.Context) { p.result <- p.forward(ctx) }

// forward forwards the attempt. A panic ends only the attempt, which may have
// been sent by then.
func (p *pendingAttempt) forward(ctx context.Context) (out outcome) {
	defer func() {
		if r := recover(); r != nil {
			p.dispatcher.recordPanic("dispatch.forward", r)
			out = outcome{err: vanillabarrow.MayHaveRun(vanillabarrow.ReasonAnswerLost, "the forwarder panicked")}
		}
	}()
	resp, err := p.dispatcher.Forwarder.Forward(ctx, p.attempt)
	return outcome{resp, err}
}

// loopDiscard waits for the forwarder and closes a response that is no longer
// needed.
func (p *pendingAttempt) loopDiscard() {
	out := <-p.result
	out.close()
}

// abandon cancels the attempt and returns the refusal that it ends with. The
// request has not run if it was not sent yet or the forwarder reports so: the
// attempt was still connecting, waiting for 100 Continue or queued at the node's
// own gate. On a busy processor, the forwarder reports too late.
func (p *pendingAttempt) abandon(reason vanillabarrow.Reason, detail string) error {
	p.cancel()
	if p.attempt.Sending.Abandon() {
		go p.loopDiscard()
		return vanillabarrow.NotRun(reason, detail)
	}
	timer := time.NewTimer(abandonTimeout)
	defer timer.Stop()
	select {
	case out := <-p.result:
		if out.err != nil && vanillabarrow.AsRefusal(out.err).Verdict == vanillabarrow.VerdictNotRun {
			return vanillabarrow.NotRun(reason, detail)
		}
		out.close()
	case <-timer.C:
		go p.loopDiscard()
	}
	return vanillabarrow.MayHaveRun(reason, detail)
}

// abandonUnknown cancels an attempt whose outcome the gate does not know, and
// returns the refusal that it ends with.
func (p *pendingAttempt) abandonUnknown(reported *vanillabarrow.Refusal) error {
	err := p.abandon(reported.Reason, reported.Detail)
	if vanillabarrow.AsRefusal(err).Verdict == vanillabarrow.VerdictNotRun {
		return vanillabarrow.NotRun(vanillabarrow.ReasonFenced, "the attempt was not sent")
	}
	return err
}

// queryResult is the result of one query to a gate. Resolved is false while the
// outcome is unknown.
type queryResult struct {
	outcome  outcome
	resolved bool
	// withdrawn is set if the query has asked the gate to withdraw the attempt.
	withdrawn bool
}

// pendingQuery queries the gate of an attempt.
type pendingQuery struct {
	attempt *pendingAttempt
	result  chan queryResult
}

func (q *pendingQuery) run(ctx context.Context) { q.result <- q.query(ctx) }

// query queries the gate once. After a panic the outcome remains unknown.
func (q *pendingQuery) query(ctx context.Context) (result queryResult) {
	defer func() {
		if r := recover(); r != nil {
			q.attempt.dispatcher.recordPanic("dispatch.query", r)
			result = queryResult{}
		}
	}()
	withdrawn := q.attempt.dispatcher.isWithdrawing()
	out, resolved := q.attempt.dispatcher.queryOutcome(ctx, q.attempt)
	return queryResult{out, resolved, withdrawn}
}
