// Package limit implements the limiters by which a gate bounds the concurrent
// requests to its target. They queue the requests that wait for a slot and
// refuse those that would not finish in time. The package does no I/O.
package limit

import (
	"context"
	"slices"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
)

const (
	// initialLimit is the concurrency limit of a target that just started, and
	// the one that the limit falls back to when the target refuses requests.
	initialLimit = 2
	// queueLengthPerSlot bounds the queue, in requests per slot of the current
	// limit.
	queueLengthPerSlot = 2
	// increasePerRound is the additive increase, in slots, for one timely
	// response per slot of the current limit.
	increasePerRound = 0.5
	// latencyTolerance is the ratio of smoothed to baseline latency above which
	// the limit is decreased.
	latencyTolerance = 4
	// latencyWeight is the weight of a new sample in the moving average of the
	// latency.
	latencyWeight = 0.1
	// baseLatencyDrift is the factor by which each response may raise the baseline
	// latency, so that it follows a target that has become permanently slower.
	baseLatencyDrift = 1.001
	// minBaseLatency is the least baseline used in the comparison. Without it,
	// jitter of very short latencies would decrease the limit.
	minBaseLatency = 2 * time.Millisecond
	// overloadRetryAfter is the retry delay sent with a refusal for overload.
	overloadRetryAfter = 100 * time.Millisecond
)

// Adaptive limits concurrency by additive increase and multiplicative decrease.
// The limit starts low, rises with timely responses, is halved on timeouts and
// high latency, and falls to its initial value immediately when the
// target refuses connections or sheds load, as a cold target does.
type Adaptive struct {
	mu *kernel.Mutex
	// slots is the upper bound of limit.
	slots    int
	limit    float64
	inFlight int
	queue    []*waiter
	// smoothedLatency is an exponentially weighted moving average, and
	// baseLatency its minimum, which drifts upwards by baseLatencyDrift.
	smoothedLatency time.Duration
	baseLatency     time.Duration
	// responsesSinceDecrease counts responses since the last decrease. High
	// latency decreases the limit again only after more responses than the limit,
	// since earlier ones belong to requests admitted under the old limit.
	responsesSinceDecrease int
	decreases              uint64
	// fixed keeps limit equal to slots.
	fixed bool
}

// waiter is a queued request. Its channel is closed when it gets a slot.
type waiter struct {
	granted chan struct{}
}

// NewAdaptive returns a limiter for a target that just started and runs at most
// the given number of requests concurrently.
func NewAdaptive(slots int) *Adaptive {
	return &Adaptive{
		mu:    kernel.NewMutex(kernel.RankLimiter),
		slots: max(1, slots),
		limit: float64(min(initialLimit, max(1, slots))),
	}
}

// NewFixed returns a limiter whose limit always equals the slots. It is the
// baseline that the adaptive limit is compared with, and suits targets that
// need no warm-up.
func NewFixed(slots int) *Adaptive {
	a := NewAdaptive(slots)
	a.fixed = true
	a.SetSlots(slots)
	return a
}

// Acquire implements vanillabarrow.Limiter.
func (a *Adaptive) Acquire(ctx context.Context, admission vanillabarrow.Admission) error {
	if admission.Hedge {
		return a.admitHedge()
	}
	deadline := admission.Deadline
	w, err := a.admitOrQueue(deadline)
	if w == nil {
		return err
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-w.granted:
		return nil
	case <-timer.C:
		return a.cancelWait(w, vanillabarrow.NotRun(vanillabarrow.ReasonDeadline, "no slot before the deadline"))
	case <-ctx.Done():
		return a.cancelWait(w, vanillabarrow.NotRun(vanillabarrow.ReasonCanceled, "canceled while waiting"))
	}
}

// admitHedge admits a request if a slot is free, and refuses it otherwise.
func (a *Adaptive) admitHedge() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.queue) > 0 || a.inFlight >= a.currentLimit() {
		return newRefusal(vanillabarrow.ReasonOverloaded, "no free slot for a hedge", 0)
	}
	a.inFlight++
	return nil
}

// admitOrQueue admits, queues or refuses a request. It returns a waiter for a
// queued request, and neither a waiter nor an error for an admitted one.
func (a *Adaptive) admitOrQueue(deadline time.Time) (*waiter, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.queue) == 0 && a.inFlight < a.currentLimit() {
		a.inFlight++
		return nil, nil
	}
	if len(a.queue) >= queueLengthPerSlot*a.currentLimit() {
		return nil, overloadRefusal("queue is full")
	}
	wait := a.smoothedLatency * time.Duration(len(a.queue)+1) / time.Duration(a.currentLimit())
	if time.Now().Add(wait + a.smoothedLatency).After(deadline) {
		return nil, overloadRefusal("estimated wait exceeds the deadline")
	}
	w := &waiter{granted: make(chan struct{})}
	a.queue = append(a.queue, w)
	return w, nil
}

func overloadRefusal(detail string) error {
	r := vanillabarrow.NotRun(vanillabarrow.ReasonOverloaded, detail)
	r.RetryAfter = overloadRetryAfter
	return r
}

// cancelWait removes a waiter from the queue and returns the refusal. If the
// waiter has been granted a slot in the meantime, the slot goes to the next one.
func (a *Adaptive) cancelWait(w *waiter, refusal error) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	i := slices.Index(a.queue, w)
	if i >= 0 {
		a.queue = slices.Delete(a.queue, i, i+1)
		return refusal
	}
	a.inFlight--
	a.grantSlots()
	return refusal
}

// Release implements vanillabarrow.Limiter.
func (a *Adaptive) Release(_ vanillabarrow.Admission, signal vanillabarrow.TargetSignal, latency time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.observe(signal, latency)
	a.inFlight--
	a.grantSlots()
}

// grantSlots gives free slots to waiters, first in first out.
func (a *Adaptive) grantSlots() {
	for len(a.queue) > 0 && a.inFlight < a.currentLimit() {
		w := a.queue[0]
		a.queue = a.queue[1:]
		a.inFlight++
		close(w.granted)
	}
}

func (a *Adaptive) observe(signal vanillabarrow.TargetSignal, latency time.Duration) {
	if a.fixed {
		return
	}
	switch signal {
	case vanillabarrow.SignalOK, vanillabarrow.SignalFailed:
		a.observeLatency(latency)
	case vanillabarrow.SignalDown, vanillabarrow.SignalRefused:
		a.decreaseTo(initialLimit)
	case vanillabarrow.SignalTimeout:
		a.decreaseTo(a.limit / 2)
	case vanillabarrow.SignalNeutral:
	}
}

func (a *Adaptive) observeLatency(latency time.Duration) {
	if a.smoothedLatency == 0 {
		a.smoothedLatency, a.baseLatency = latency, latency
	}
	a.smoothedLatency += time.Duration(latencyWeight * float64(latency-a.smoothedLatency))
	a.baseLatency = min(a.smoothedLatency, time.Duration(baseLatencyDrift*float64(a.baseLatency)))
	a.responsesSinceDecrease++
	if a.smoothedLatency > latencyTolerance*max(a.baseLatency, minBaseLatency) {
		if a.responsesSinceDecrease > a.currentLimit() {
			a.decreaseTo(a.limit / 2)
		}
		return
	}
	// An increase needs at least half of the limit in use: a limit that is not
	// used says nothing about how much load the target can take.
	if 2*a.inFlight >= a.currentLimit() {
		a.limit = min(float64(a.slots), a.limit+increasePerRound/a.limit)
	}
}

// decreaseTo lowers the limit to the value, but not below the initial limit. It
// counts as a decrease even where the limit stays as it is.
func (a *Adaptive) decreaseTo(to float64) {
	a.decreases++
	a.responsesSinceDecrease = 0
	a.limit = max(1, min(a.limit, max(to, min(initialLimit, float64(a.slots)))))
}

// currentLimit returns the limit rounded down to whole slots.
func (a *Adaptive) currentLimit() int { return int(a.limit) }

// Configure implements vanillabarrow.Limiter.
func (a *Adaptive) Configure(target *vanillabarrow.Target, _ *vanillabarrow.Service, _ time.Time) {
	a.SetSlots(target.Slots)
}

// NeedsHealthCheck implements vanillabarrow.Limiter. It returns false because
// the limit depends on responses alone.
func (*Adaptive) NeedsHealthCheck() bool { return false }

// UpdateHealth implements vanillabarrow.Limiter.
func (*Adaptive) UpdateHealth(vanillabarrow.Health, time.Time) {}

// SetSlots changes the upper bound of the limit.
func (a *Adaptive) SetSlots(slots int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.slots = max(1, slots)
	a.limit = min(a.limit, float64(a.slots))
	if a.fixed {
		a.limit = float64(a.slots)
	}
	a.grantSlots()
}

// Load implements vanillabarrow.Limiter.
func (a *Adaptive) Load(priority int) vanillabarrow.Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	return vanillabarrow.Load{InFlight: a.inFlight, Queued: len(a.queue), Limit: a.currentLimit(), Priority: priority}
}

// LimitDecreases implements vanillabarrow.Limiter. It counts each signal that
// calls for a decrease.
func (a *Adaptive) LimitDecreases() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.decreases
}
