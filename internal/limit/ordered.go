package limit

import (
	"context"
	"slices"
	"time"

	"golang.org/x/time/rate"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
)

const (
	// warmUpBurstDivisor sets the burst of the warm-up rate limiter: an eighth
	// of the requests of one second, so that no sliding second holds many more
	// requests than the rate allows.
	warmUpBurstDivisor = 8
	// warmUpRateFactor is the ratio of the rate sent to a cold target to its
	// configured warm-up rate. Targets handle somewhat more than they announce.
	warmUpRateFactor = 1.35
	// execTimeWeight is the weight of a new sample in the moving averages of
	// execution times.
	execTimeWeight = 0.05
	// priorityShareWeight is the weight of a new request in the moving averages
	// of priority shares.
	priorityShareWeight = 0.02
	// maxUrgentShare bounds the share of more urgent requests that is assumed in
	// wait estimates. It lengthens them by a factor of 5 at most.
	maxUrgentShare = 0.8
	// failureRateWeight is the weight of a new outcome in the moving average of
	// the failure rate.
	failureRateWeight = 0.05
	// initialExecTime is the mean execution time assumed before the first
	// response.
	initialExecTime = 50 * time.Millisecond
	// coldSlowdown is the ratio of execution times at a cold and a warm target.
	coldSlowdown = 2
	// minQueueLength is the queue length up to which requests wait even if the
	// estimated wait is too long for them.
	minQueueLength = 1
	// lateQueueDivisor bounds the queued requests for which the deadline alone
	// counts: to a quarter of the slots, but at least one.
	lateQueueDivisor = 4
	// downRetryAfter is the retry delay sent with refusals while the target is
	// down.
	downRetryAfter = 200 * time.Millisecond
)

// Ordered admits as many concurrent requests as the target has slots. Its queue
// is sorted by priority, then by whether the request's tenant has got more slots
// than the mean of all tenants, then by whether a request can still meet its
// objective, then by objective, or by deadline for requests without one.
//
// Its wait estimates assume that all load on the target passes through it. A
// request that can't be served in time is refused on arrival, or as soon as more
// urgent requests displace it. Requests to a cold target are limited to the
// warm-up rate.
type Ordered struct {
	mu       *kernel.Mutex
	slots    int
	inFlight int
	queue    []*queuedRequest
	// execTimes holds the mean execution time of each class of requests: the
	// time from the grant of a slot to the response.
	execTimes map[string]time.Duration
	// meanExecTime is the mean execution time over all classes.
	meanExecTime time.Duration
	// failureRate is the share of recent requests that failed, from 0 to 1.
	failureRate float64
	// priorityShares holds the share of each priority among the requests
	// recently granted a slot from the queue.
	priorityShares map[int]float64
	tenantShares   tenantShares

	// warmUpRate is the configured warm-up rate in requests per second, 0 for
	// none.
	warmUpRate    float64
	warmUpLimiter *rate.Limiter
	coldUntil     time.Time
	// target is the name of the target that coldUntil belongs to.
	target       string
	outOfService bool
	// healthUnknown is set when the target may have restarted and so may be
	// cold. The warm-up rate applies until a health check succeeds.
	healthUnknown bool
	// suspect is set when a connection was reset or the target shed load. It
	// calls for a health check without applying the warm-up rate, because
	// targets also lose responses without having restarted.
	suspect bool
	// down is set while the target refuses connections.
	down bool
	// adverseSignals counts timeouts, reset or refused connections and responses
	// that shed load.
	adverseSignals uint64
	// wakeTimer fires when the warm-up rate allows the next request.
	wakeTimer *time.Timer
}

// NewOrdered returns a limiter for a target in an unknown state. The target
// counts as cold until its health is known.
func NewOrdered(slots int) *Ordered {
	return &Ordered{
		mu:             kernel.NewMutex(kernel.RankLimiter),
		slots:          max(1, slots),
		execTimes:      map[string]time.Duration{},
		priorityShares: map[int]float64{},
		tenantShares:   tenantShares{},
		meanExecTime:   initialExecTime,
		warmUpLimiter:  rate.NewLimiter(rate.Inf, 1),
		healthUnknown:  true,
	}
}

// Acquire implements vanillabarrow.Limiter.
func (o *Ordered) Acquire(ctx context.Context, admission vanillabarrow.Admission) error {
	r, err := o.admitOrQueue(admission, time.Now())
	if r == nil {
		return err
	}
	select {
	case err := <-r.result:
		return err
	case <-ctx.Done():
		return o.cancelWait(r)
	}
}

// admitOrQueue admits, queues or refuses a request. It returns a queuedRequest
// for a queued one, and neither that nor an error for an admitted one. A
// request with less than half of its estimated execution time left before its
// deadline is refused immediately.
func (o *Ordered) admitOrQueue(admission vanillabarrow.Admission, now time.Time) (*queuedRequest, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.down {
		return nil, newRefusal(vanillabarrow.ReasonTargetDown, "the target refuses connections", downRetryAfter)
	}
	if admission.Hedge && (len(o.queue) > 0 || o.inFlight >= o.slots || o.healthUnknown || now.Before(o.coldUntil)) {
		return nil, newRefusal(vanillabarrow.ReasonOverloaded, "no free slot of a warm target for a hedge", 0)
	}
	r := &queuedRequest{Admission: admission, execTime: o.execTimeOf(admission.Class, now), result: make(chan error, 1)}
	if now.Add(r.execTime / 2).After(admission.Deadline) {
		return nil, newRefusal(vanillabarrow.ReasonOverloaded, "the deadline leaves no time to run", 0)
	}
	if admission.Hedge && o.mayBeCold(now) {
		return nil, errNoFreeSlot()
	}
	if len(o.queue) == 0 && o.inFlight < o.slots && o.takeWarmUpToken(now) {
		o.inFlight++
		o.tenantShares.record(r.Tenant)
		return nil, nil
	}
	if admission.Hedge {
		return nil, errNoFreeSlot()
	}
	at := o.insertPosition(r, now)
	wait := o.waitForPriority(r.Priority, at, now)
	if r.Late && o.countLate() >= max(1, o.slots/lateQueueDivisor) {
		return nil, newRefusal(vanillabarrow.ReasonOverloaded, "too many queued requests can't meet their objective", wait)
	}
	if at >= minQueueLength && now.Add(wait+r.execTime).After(r.finishBy()) {
		return nil, newRefusal(vanillabarrow.ReasonOverloaded, "no slot in time", wait)
	}
	if o.wouldDelayOthers(r, at, now) {
		return nil, newRefusal(vanillabarrow.ReasonOverloaded, "would make queued requests of the same priority late", wait)
	}
	o.queue = slices.Insert(o.queue, at, r)
	r.expiryTimer = time.AfterFunc(r.Deadline.Add(-r.execTime/2).Sub(now), func() { o.expire(r) })
	o.refuseUnmeetable(at+1, now)
	o.scheduleWake(now)
	return r, nil
}

// execTimeOf estimates the execution time of a class.
func (o *Ordered) execTimeOf(class string, now time.Time) time.Duration {
	execTime, ok := o.execTimes[class]
	if !ok {
		execTime = o.meanExecTime
	}
	if now.Before(o.coldUntil) {
		execTime *= coldSlowdown
	}
	return execTime
}

// waitAtPosition estimates the wait of the request at a position in the queue,
// from the requests ahead of it and from the warm-up rate.
func (o *Ordered) waitAtPosition(at int, now time.Time) time.Duration {
	wait := time.Duration(0)
	ahead := at + o.inFlight - o.slots + 1
	if ahead > 0 {
		wait = o.meanExecTime * time.Duration(ahead) / time.Duration(o.slots)
	}
	if o.isWarmUpLimited(now) {
		wait = max(wait, time.Duration(float64(at+1)/float64(o.warmUpLimiter.Limit())*float64(time.Second)))
	}
	return wait
}

// waitForPriority estimates the wait of a request of the given priority at a
// position in the queue. More urgent requests that arrive while it waits
// overtake it: if they take a share u of the slots, its wait is longer by the
// factor 1/(1-u).
func (o *Ordered) waitForPriority(priority, at int, now time.Time) time.Duration {
	urgentShare := 0.0
	for other, share := range o.priorityShares {
		if other < priority {
			urgentShare += share
		}
	}
	return time.Duration(float64(o.waitAtPosition(at, now)) / (1 - min(urgentShare, maxUrgentShare)))
}

// recordGrant updates the priority shares with a request granted a slot from the
// queue.
func (o *Ordered) recordGrant(priority int) {
	for other := range o.priorityShares {
		o.priorityShares[other] *= 1 - priorityShareWeight
	}
	o.priorityShares[priority] += priorityShareWeight
}

// cancelWait removes a request whose context ended from the queue. If it has
// been granted a slot in the meantime, the slot goes to the next one.
func (o *Ordered) cancelWait(r *queuedRequest) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	refusal := vanillabarrow.NotRun(vanillabarrow.ReasonCanceled, "canceled while waiting")
	if i := slices.Index(o.queue, r); i >= 0 {
		o.queue = slices.Delete(o.queue, i, i+1)
		r.expiryTimer.Stop()
		return refusal
	}
	if err := <-r.result; err != nil {
		return err
	}
	o.inFlight--
	o.grantSlots(time.Now())
	return refusal
}

// Release implements vanillabarrow.Limiter.
func (o *Ordered) Release(admission vanillabarrow.Admission, signal vanillabarrow.TargetSignal, latency time.Duration) {
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.inFlight--
	o.observe(admission.Class, signal, latency)
	o.grantSlots(now)
}

// observe updates the limiter's state with the outcome of an attempt.
func (o *Ordered) observe(class string, signal vanillabarrow.TargetSignal, latency time.Duration) {
	failed := 0.0
	switch signal {
	case vanillabarrow.SignalOK:
		o.down = false
		o.observeExecTime(class, latency)
	case vanillabarrow.SignalFailed:
		failed = 1
	case vanillabarrow.SignalTimeout:
		failed = 1
		o.adverseSignals++
	case vanillabarrow.SignalRefused:
		failed = 1
		o.suspect = true
		o.adverseSignals++
	case vanillabarrow.SignalDown:
		failed = 1
		o.healthUnknown = true
		o.adverseSignals++
		o.markDown()
	case vanillabarrow.SignalNeutral:
		return
	}
	o.failureRate += failureRateWeight * (failed - o.failureRate)
}

// markDown refuses all queued requests. New ones are refused until the target
// responds to a request or a health check.
func (o *Ordered) markDown() {
	if o.down {
		return
	}
	o.down = true
	for _, r := range o.queue {
		r.resolve(newRefusal(vanillabarrow.ReasonTargetDown, "the target refuses connections", downRetryAfter))
	}
	o.queue = nil
}

func (o *Ordered) observeExecTime(class string, latency time.Duration) {
	old, ok := o.execTimes[class]
	if !ok {
		old = latency
	}
	o.execTimes[class] = old + time.Duration(execTimeWeight*float64(latency-old))
	o.meanExecTime += time.Duration(execTimeWeight * float64(latency-o.meanExecTime))
}

// grantSlots gives free slots to queued requests, as far as the warm-up rate
// allows.
func (o *Ordered) grantSlots(now time.Time) {
	for len(o.queue) > 0 && o.inFlight < o.slots && o.takeWarmUpToken(now) {
		at := o.nextPosition(now)
		r := o.queue[at]
		o.queue = slices.Delete(o.queue, at, at+1)
		o.inFlight++
		o.recordGrant(r.Priority)
		o.tenantShares.record(r.Tenant)
		r.resolve(nil)
	}
	o.scheduleWake(now)
}

// Configure implements vanillabarrow.Limiter.
func (o *Ordered) Configure(target *vanillabarrow.Target, service *vanillabarrow.Service, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.slots = max(1, target.Slots)
	if service != nil && service.WarmUpRate != o.warmUpRate {
		o.setWarmUpRate(service.WarmUpRate, now)
	}
	if target.Name != o.target || o.outOfService && !target.OutOfService {
		// A different target, or one that is back in service, may be cold.
		o.target, o.healthUnknown = target.Name, true
	}
	o.outOfService = target.OutOfService
	if target.ColdUntil.After(o.coldUntil) {
		o.coldUntil = target.ColdUntil
	}
	o.grantSlots(now)
}

// NeedsHealthCheck implements vanillabarrow.Limiter.
func (o *Ordered) NeedsHealthCheck() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.healthUnknown || o.suspect || o.down
}

// UpdateHealth implements vanillabarrow.Limiter.
func (o *Ordered) UpdateHealth(health vanillabarrow.Health, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.down = false
	o.suspect = false
	if health.OK {
		o.healthUnknown = false
		o.coldUntil = now.Add(health.WarmUpRemaining)
	}
	o.grantSlots(now)
}

// Load implements vanillabarrow.Limiter.
func (o *Ordered) Load(priority int) vanillabarrow.Load {
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	ahead := 0
	for _, r := range o.queue {
		if r.Priority <= priority {
			ahead++
		}
	}
	load := vanillabarrow.Load{
		InFlight:       o.inFlight,
		Queued:         ahead,
		Priority:       priority,
		Limit:          o.slots,
		Unavailable:    o.down,
		FailurePercent: int(100 * o.failureRate),
	}
	if ahead > 0 || o.inFlight >= o.slots {
		load.Wait = o.waitForPriority(priority, ahead, now)
	}
	return load
}

// ExecTime implements vanillabarrow.ExecTimeReporter.
func (o *Ordered) ExecTime(class string) time.Duration {
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, ok := o.execTimes[class]; !ok {
		return 0
	}
	return o.execTimeOf(class, now)
}

// LimitDecreases implements vanillabarrow.Limiter. The limit itself stays at the
// slots; the count is that of signals for which an adaptive limit is decreased.
func (o *Ordered) LimitDecreases() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.adverseSignals
}
