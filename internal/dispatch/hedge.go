package dispatch

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
	"github.com/vanillabarrow/vanillabarrow/internal/logging"
)

const (
	// hedgePause is the time without hedges at a service after a gate refused one,
	// which shows that targets are filling up.
	hedgePause = 500 * time.Millisecond
	// maxHedgePauses is the number of services above which all pauses end.
	maxHedgePauses = 1024
	// maxHedgedBody is the size in bytes of the largest body that is sent twice. The
	// forwarder holds larger ones back until the gate reads them, and until then the
	// gate doesn't notice that the attempt was canceled.
	maxHedgedBody = 4 << 10
)

// errHedgeLost is the cause of the cancellation of an attempt after the other
// attempt of a hedged request got a response.
var errHedgeLost = errors.New("the other attempt of the request got a response")

// isHedgeLoser reports whether the attempt with the context was canceled because
// another attempt of the request got a response.
func isHedgeLoser(ctx context.Context) bool {
	return ctx.Err() != nil && errors.Is(context.Cause(ctx), errHedgeLost)
}

// attemptHedged makes an attempt at the target. If that takes longer than usual for
// the route, it hedges the request with an attempt at another target. It returns
// the first good response and cancels the other attempt, or else the result of the
// attempt that ended last, with that attempt's target. The one that ended before is
// recorded then, and the later one counts as its retry.
func (d *Dispatcher) attemptHedged(ctx context.Context, rs *requestState, target *vanillabarrow.Target) (*vanillabarrow.Target, *vanillabarrow.Response, error) {
	rs.hedge = false
	if !d.mayHedge(rs) {
		resp, err := d.attemptTarget(ctx, rs, target)
		return target, resp, err
	}
	start := time.Now()
	decisive := target
	var out outcome
	if delay, ok := d.Hedge.Delay(rs.request.Route); ok {
		decisive, out = d.raceHedge(ctx, rs, target, delay)
	} else {
		out.response, out.err = d.attemptTarget(ctx, rs, target)
	}
	if out.isGood() {
		// A request that a hedge answered counts with its whole time, although the
		// first attempt would have taken longer: the quantile would fall without it.
		d.Hedge.Record(rs.request.Route, time.Since(start))
	}
	return decisive, out.response, out.err
}

// mayHedge reports whether the next attempt may be hedged: the first one of an
// idempotent request that can be sent again and may have another attempt.
func (d *Dispatcher) mayHedge(rs *requestState) bool {
	r := rs.request
	if d.Hedge == nil || !r.Idempotent || r.Key != "" || r.Stream != nil || len(r.Body) > maxHedgedBody {
		return false
	}
	if rs.attempts > 0 || rs.late || d.HedgesRunning.Any() {
		return false
	}
	if r.MaxAttempts > 0 {
		return r.MaxAttempts > 1
	}
	return min(rs.service.Retries, r.RetriesLeft) > 0
}

// raceHedge makes an attempt at the target and a hedge after the delay, if that is
// possible then. It returns the result that decides, with its target.
func (d *Dispatcher) raceHedge(ctx context.Context, rs *requestState, target *vanillabarrow.Target, delay time.Duration) (*vanillabarrow.Target, outcome) {
	first := d.startRacer(ctx, rs, target)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	var out outcome
	select {
	case out = <-first.result:
		first.finish(rs, &out)
		return target, out
	case <-timer.C:
	}
	second := d.startHedge(ctx, rs, target, delay)
	if second == nil {
		out = <-first.result
		first.finish(rs, &out)
		return target, out
	}
	ended, other := first, second
	select {
	case out = <-first.result:
	case out = <-second.result:
		ended, other = second, first
	}
	ended.finish(rs, &out)
	if out.isGood() {
		other.cancel(errHedgeLost)
		go other.loopDiscard()
		rs.attempts++
		d.recordHedge(rs, first, second, delay, hedgeResult(ended == second, out))
		return ended.target, out
	}
	d.recordEnded(ctx, rs, ended, out)
	last := <-other.result
	other.finish(rs, &last)
	own := last
	if ended == second {
		own = out
	}
	d.recordHedge(rs, first, second, delay, hedgeResult(true, own))
	if other == second && last.isOverloaded() {
		// The gate had no free slot for a hedge, which says nothing about other
		// requests, so the first attempt decides.
		d.hedgePauses.add(rs.service.Name, time.Now())
		if out.err != nil {
			rs.tried[second.target.Name] = true
			return ended.target, out
		}
	}
	if out.err != nil && last.err != nil {
		last.err = mergeRetryAfter(vanillabarrow.AsRefusal(out.err), vanillabarrow.AsRefusal(last.err))
	}
	return other.target, last
}

// startHedge starts an attempt at another target of the service and returns it, nil
// if none may be sent now. It charges the limit of hedges and the retry budget. A
// hedge that has less time left than the first attempt has had would rarely end in
// time.
func (d *Dispatcher) startHedge(ctx context.Context, rs *requestState, first *vanillabarrow.Target, delay time.Duration) *racer {
	if ctx.Err() != nil || time.Until(rs.deadline) < max(delay, minTimeLeft) {
		return nil
	}
	hedged := *rs
	hedged.hedge = true
	hedged.overloaded = slices.Clip(rs.overloaded)
	rs.tried[first.Name] = true
	target := d.chooseHedge(&hedged)
	if target == nil {
		d.countHedge("shortage")
		return nil
	}
	if !d.Hedge.Allow(rs.service.Name) || !d.Retry.Allow(rs.service.Name, vanillabarrow.ReasonDeadline) {
		d.countHedge("limited")
		return nil
	}
	rs.retries++
	hedged.retries++
	d.Scope.Counter("retries").Inc(1)
	d.countHedge("sent")
	return d.startRacer(ctx, &hedged, target)
}

// chooseHedge returns the target for a hedge, nil during a shortage: while the route
// is throttled, shortly after a gate refused a hedge, and unless at least half of
// the other targets are expected to have a free slot.
func (d *Dispatcher) chooseHedge(rs *requestState) *vanillabarrow.Target {
	now := time.Now()
	snapshot := d.Configuration.Snapshot()
	service, ok := snapshot.Services[rs.request.Service]
	if !ok || d.Throttle.admitShare(rs.request.Route) < 1 || d.hedgePauses.contains(service.Name, now) {
		return nil
	}
	candidates := d.candidates(snapshot, service, rs)
	all := len(candidates) + len(rs.overloaded)
	candidates = slices.DeleteFunc(candidates, func(c vanillabarrow.Candidate) bool { return !d.suitsHedge(snapshot, &c, now) })
	if 2*len(candidates) < all {
		return nil
	}
	return d.pick(snapshot, rs, candidates)
}

// suitsHedge reports whether a candidate is expected to begin a request at once. A
// hedge is no trial request, and it goes to no target that is cold.
func (d *Dispatcher) suitsHedge(s *vanillabarrow.Snapshot, c *vanillabarrow.Candidate, now time.Time) bool {
	if c.Trial || c.Target.Expired || now.Before(c.Target.ColdUntil) {
		return false
	}
	if dc := s.VMs[c.Target.VM].DataCentre; dc != d.DataCentre && d.DataCentreBreakers.Opened(dc) == nil {
		return false
	}
	if now.Sub(c.ReportedAt) > queueReportTTL || c.Load.Limit == 0 {
		return true
	}
	return c.Load.Wait == 0 && c.Load.Queued == 0 && max(c.InFlight, c.Load.InFlight) < c.Load.Limit
}

// recordEnded records an attempt that failed while the other attempt of the request
// goes on. The gate of a hedge refuses because it has no free slot, which says
// nothing about other requests.
func (d *Dispatcher) recordEnded(ctx context.Context, rs *requestState, ended *racer, out outcome) {
	rs.tried[ended.target.Name] = true
	if out.err == nil {
		rs.targetsReached++
		d.observeThrottle(rs, out.response)
		d.logResponseReplaced(rs, out.response)
		rs.failedResponse = out.response
		return
	}
	refusal := vanillabarrow.AsRefusal(out.err)
	if refusal.Verdict != vanillabarrow.VerdictNotRun {
		rs.mayHaveRun = true
	}
	rs.retries += refusal.Retries
	if refusal.ReachedTarget() {
		rs.targetsReached++
	}
	if !ended.state.hedge {
		d.recordRefusal(rs, ended.target, refusal)
	} else if refusal.Reason == vanillabarrow.ReasonOverloaded {
		d.hedgePauses.add(rs.service.Name, time.Now())
	}
	d.logAttemptEnded(&ended.state, ended.target, refusal, ctx.Err() == nil)
}

// Results of a hedge.
const (
	hedgeWon     = "won"
	hedgeLost    = "lost"
	hedgeRefused = "refused"
	hedgeFailed  = "failed"
)

// hedgeResult returns the result of a hedge from the outcome that decides it, which
// is its own or that of the first attempt.
func hedgeResult(own bool, out outcome) string {
	switch {
	case !own:
		return hedgeLost
	case out.isGood():
		return hedgeWon
	case out.err != nil && vanillabarrow.AsRefusal(out.err).Reason == vanillabarrow.ReasonOverloaded:
		return hedgeRefused
	default:
		return hedgeFailed
	}
}

// recordHedge counts and logs a hedge that has ended or was canceled.
func (d *Dispatcher) recordHedge(rs *requestState, first, second *racer, delay time.Duration, result string) {
	d.countHedge(result)
	d.Logger.Info(logging.EventRequestHedged, "id", rs.request.ID, "target", first.target.Name, "hedgeTarget", second.target.Name,
		"after", delay, "result", result, "took", time.Since(first.start))
}

func (d *Dispatcher) countHedge(event string) {
	d.Scope.Tagged(map[string]string{"event": event}).Counter("hedges").Inc(1)
}

// isGood reports whether the outcome is a response other than a failure of the
// target.
func (o outcome) isGood() bool {
	return o.err == nil && o.response.Status < http.StatusInternalServerError
}

// isOverloaded reports whether the outcome is the refusal of a gate because of its
// load.
func (o outcome) isOverloaded() bool {
	return o.err != nil && vanillabarrow.AsRefusal(o.err).Reason == vanillabarrow.ReasonOverloaded
}

// racer is one of the two attempts of a request that may be hedged.
type racer struct {
	dispatcher *Dispatcher
	// state is a copy of the request's state with the changes of this attempt. It
	// may be read after a value was received from result.
	state  requestState
	target *vanillabarrow.Target
	start  time.Time
	cancel context.CancelCauseFunc
	result chan outcome
}

// startRacer starts an attempt at the target beside the caller's goroutine.
func (d *Dispatcher) startRacer(ctx context.Context, rs *requestState, target *vanillabarrow.Target) *racer {
	ctx, cancel := context.WithCancelCause(ctx)
	r := &racer{dispatcher: d, state: *rs, target: target, start: time.Now(), cancel: cancel, result: make(chan outcome, 1)}
	r.state.attempts = 0
	go r.run(ctx)
	return r
}

func (r *racer) run(ctx context.Context) { r.result <- r.attempt(ctx) }

// attempt makes the attempt. A panic ends only the attempt.
func (r *racer) attempt(ctx context.Context) (out outcome) {
	defer func() {
		if p := recover(); p != nil {
			r.dispatcher.recordPanic("dispatch.attempt", p)
			out = outcome{err: vanillabarrow.MayHaveRun(vanillabarrow.ReasonAnswerLost, "the attempt panicked")}
		}
	}()
	resp, err := r.dispatcher.attemptTarget(ctx, &r.state, r.target)
	return outcome{resp, err}
}

// finish merges the state of the attempt, which has ended, into that of the request.
// The context of the attempt ends now, or with the stream of its response.
func (r *racer) finish(rs *requestState, out *outcome) {
	rs.attempts += r.state.attempts
	rs.attemptID, rs.attemptStart = r.state.attemptID, r.state.attemptStart
	rs.reportedLoad, rs.loadAge = r.state.reportedLoad, r.state.loadAge
	rs.hedge = r.state.hedge
	r.state.attempts = rs.attempts
	cancel := func() { r.cancel(context.Canceled) }
	if out.response == nil || out.response.Stream == nil {
		cancel()
		return
	}
	out.response.Stream = &cancelingStream{ReadCloser: out.response.Stream, cancel: cancel}
}

// loopDiscard waits for the end of an attempt that was canceled and closes its
// response.
func (r *racer) loopDiscard() {
	out := <-r.result
	out.close()
}

// hedgePauses holds the services at which no request is hedged for a while.
type hedgePauses struct {
	mu    *kernel.Mutex
	until map[string]time.Time
}

func newHedgePauses() *hedgePauses {
	return &hedgePauses{mu: kernel.NewMutex(kernel.RankHedging), until: map[string]time.Time{}}
}

func (p *hedgePauses) add(service string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.until) >= maxHedgePauses {
		clear(p.until)
	}
	p.until[service] = now.Add(hedgePause)
}

func (p *hedgePauses) contains(service string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Before(p.until[service])
}
