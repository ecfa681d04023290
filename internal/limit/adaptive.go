// Package limit admits requests to one target. It does no I/O.
package limit

import (
	"context"
	"slices"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
)

const (
	// startLimit is the concurrency given to a target that just started.
	startLimit = 2
	// queuePerSlot bounds the waiting requests.
	queuePerSlot = 2
	// climbStep is the part of a slot that a round of timely answers, one for
	// each slot, adds to the limit.
	climbStep = 0.5
	// latencyFactor is how far the smoothed latency may rise above its floor
	// before the limit falls.
	latencyFactor = 4
	// smoothing is the weight of a new latency.
	smoothing = 0.1
	// floorDrift raises the floor slowly, so that it follows a target that
	// has become slower for good.
	floorDrift = 1.001
	// minFloor keeps very short latencies from making the limit nervous.
	minFloor = 2 * time.Millisecond
	// refusedRetryAfter is the delay advised to refused callers.
	refusedRetryAfter = 100 * time.Millisecond
)

// Adaptive is a concurrency limit that starts low, climbs by evidence and
// falls at once when the target turns cold.
type Adaptive struct {
	mu       *kernel.Mutex
	slots    int
	limit    float64
	inFlight int
	waiters  []*waiter
	latency  time.Duration
	floor    time.Duration
	// sinceCut counts answers since the limit last fell for latency.
	sinceCut int
	cuts     uint64
	// fixed keeps the limit at the slots.
	fixed bool
}

type waiter struct {
	granted chan struct{}
}

// NewAdaptive returns a limiter for a target that just started.
func NewAdaptive(slots int) *Adaptive {
	return &Adaptive{
		mu:    kernel.NewMutex(kernel.RankLimiter),
		slots: max(1, slots),
		limit: float64(min(startLimit, max(1, slots))),
	}
}

// NewFixed returns a limiter that always admits as many requests as the warm
// target runs at once. It is the baseline for the adaptive one, and fits
// targets that never start cold.
func NewFixed(slots int) *Adaptive {
	a := NewAdaptive(slots)
	a.fixed = true
	a.SetSlots(slots)
	return a
}

// Acquire implements vanillabarrow.Limiter.
func (a *Adaptive) Acquire(ctx context.Context, admission vanillabarrow.Admission) error {
	deadline := admission.Deadline
	w, err := a.enter(deadline)
	if w == nil {
		return err
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-w.granted:
		return nil
	case <-timer.C:
		return a.leave(w, vanillabarrow.NotRun(vanillabarrow.ReasonDeadline, "no slot before the deadline"))
	case <-ctx.Done():
		return a.leave(w, vanillabarrow.NotRun(vanillabarrow.ReasonCanceled, "canceled while waiting"))
	}
}

// enter admits, queues or refuses. A waiter is returned for a queued request.
func (a *Adaptive) enter(deadline time.Time) (*waiter, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.waiters) == 0 && a.inFlight < a.current() {
		a.inFlight++
		return nil, nil
	}
	if len(a.waiters) >= queuePerSlot*a.current() {
		return nil, overloaded("queue is full")
	}
	wait := a.latency * time.Duration(len(a.waiters)+1) / time.Duration(a.current())
	if time.Now().Add(wait + a.latency).After(deadline) {
		return nil, overloaded("deadline can't be met")
	}
	w := &waiter{granted: make(chan struct{})}
	a.waiters = append(a.waiters, w)
	return w, nil
}

func overloaded(detail string) error {
	r := vanillabarrow.NotRun(vanillabarrow.ReasonOverloaded, detail)
	r.RetryAfter = refusedRetryAfter
	return r
}

// leave takes a waiter out of the queue. A slot granted meanwhile is passed on.
func (a *Adaptive) leave(w *waiter, refusal error) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	i := slices.Index(a.waiters, w)
	if i >= 0 {
		a.waiters = slices.Delete(a.waiters, i, i+1)
		return refusal
	}
	a.inFlight--
	a.grant()
	return refusal
}

// Release implements vanillabarrow.Limiter.
func (a *Adaptive) Release(_ vanillabarrow.Admission, signal vanillabarrow.TargetSignal, latency time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.learn(signal, latency)
	a.inFlight--
	a.grant()
}

func (a *Adaptive) grant() {
	for len(a.waiters) > 0 && a.inFlight < a.current() {
		w := a.waiters[0]
		a.waiters = a.waiters[1:]
		a.inFlight++
		close(w.granted)
	}
}

func (a *Adaptive) learn(signal vanillabarrow.TargetSignal, latency time.Duration) {
	if a.fixed {
		return
	}
	switch signal {
	case vanillabarrow.SignalOK, vanillabarrow.SignalFailed:
		a.learnLatency(latency)
	case vanillabarrow.SignalDown, vanillabarrow.SignalRefused:
		a.fall(startLimit)
	case vanillabarrow.SignalTimeout:
		a.fall(a.limit / 2)
	case vanillabarrow.SignalNeutral:
	}
}

func (a *Adaptive) learnLatency(latency time.Duration) {
	if a.latency == 0 {
		a.latency, a.floor = latency, latency
	}
	a.latency += time.Duration(smoothing * float64(latency-a.latency))
	a.floor = min(a.latency, time.Duration(floorDrift*float64(a.floor)))
	a.sinceCut++
	if a.latency > latencyFactor*max(a.floor, minFloor) {
		if a.sinceCut > a.current() {
			a.fall(a.limit / 2)
		}
		return
	}
	// The limit climbs only while it is in use.
	if 2*a.inFlight >= a.current() {
		a.limit = min(float64(a.slots), a.limit+climbStep/a.limit)
	}
}

func (a *Adaptive) fall(to float64) {
	a.cuts++
	a.sinceCut = 0
	a.limit = max(1, min(a.limit, max(to, min(startLimit, float64(a.slots)))))
}

// current returns the limit as a whole number.
func (a *Adaptive) current() int { return int(a.limit) }

// Configure implements vanillabarrow.Limiter.
func (a *Adaptive) Configure(target *vanillabarrow.Target, _ *vanillabarrow.Service, _ time.Time) {
	a.SetSlots(target.Slots)
}

// NeedsHealthCheck implements vanillabarrow.Limiter. Answers alone move the limit.
func (*Adaptive) NeedsHealthCheck() bool { return false }

// UpdateHealth implements vanillabarrow.Limiter.
func (*Adaptive) UpdateHealth(vanillabarrow.Health, time.Time) {}

// SetSlots changes the bound that the limit may climb to.
func (a *Adaptive) SetSlots(slots int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.slots = max(1, slots)
	a.limit = min(a.limit, float64(a.slots))
	if a.fixed {
		a.limit = float64(a.slots)
	}
	a.grant()
}

// Load implements vanillabarrow.Limiter.
func (a *Adaptive) Load(priority int) vanillabarrow.Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	return vanillabarrow.Load{InFlight: a.inFlight, Queued: len(a.waiters), Limit: a.current(), Priority: priority}
}

// LimitDecreases implements vanillabarrow.Limiter.
func (a *Adaptive) LimitDecreases() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.cuts
}
