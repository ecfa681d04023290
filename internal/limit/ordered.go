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
	// coldBurstShare is the share of a second's warm-up rate that a cold target
	// gets at once, so that no sliding second holds much more than the rate.
	coldBurstShare = 8
	// coldShare is the part of the warm-up rate that a cold target is given. A
	// target bears somewhat more than it announces.
	coldShare = 1.35
	// workWeight is the weight of a new work time in a class's estimate.
	workWeight = 0.05
	// mixWeight is the weight of a new request in the shares of priorities.
	mixWeight = 0.02
	// maxUrgent bounds the share of more urgent requests that a wait is
	// stretched for.
	maxUrgent = 0.8
	// failureWeight is the weight of a new outcome in the failure share.
	failureWeight = 0.05
	// unknownWork is assumed for a class before its first answer.
	unknownWork = 50 * time.Millisecond
	// coldFactor is how much longer work takes at a cold target.
	coldFactor = 2
	// minWaiters keeps a short queue even where estimates say that nothing
	// would be in time.
	minWaiters = 1
	// lateShare is the part of the slots for which late requests may wait.
	lateShare = 4
	// downRetryAfter is the delay advised while the target is down.
	downRetryAfter = 200 * time.Millisecond
)

// Ordered admits exactly as many requests as the target has slots, and orders
// those that wait by priority, then by whether they can still meet their
// objective, then by deadline. It answers the load of a node that is the only
// way to its target: what can't be served in time is refused on arrival, or as
// soon as more urgent requests take its place. A cold target is given its
// warm-up rate.
type Ordered struct {
	mu       *kernel.Mutex
	slots    int
	inFlight int
	waiters  []*claim
	work     map[string]time.Duration
	// meanWork is the work time over all classes.
	meanWork time.Duration
	failures float64
	// mix holds the share of each priority among the requests that lately were
	// let run from the queue.
	mix map[int]float64

	warmUp    time.Duration
	warmRate  float64
	pace      *rate.Limiter
	coldUntil time.Time
	// target names the target that coldUntil is about.
	target string
	out    bool
	// unknown is set when the target may be cold, because it may have started
	// anew. It is given its warm-up rate until its health is learned.
	unknown bool
	// suspect is set when an answer was lost, which calls for a health check
	// but says little: targets lose answers that have not started anew.
	suspect bool
	// down is set while the target refuses connections.
	down bool
	cuts uint64
	// wake runs when the pace lets the next request pass.
	wake *time.Timer
}

// NewOrdered returns a limiter for a target of which nothing is known. Until
// its health is learned it counts as cold.
func NewOrdered(slots int) *Ordered {
	return &Ordered{
		mu:       kernel.NewMutex(kernel.RankLimiter),
		slots:    max(1, slots),
		work:     map[string]time.Duration{},
		mix:      map[int]float64{},
		meanWork: unknownWork,
		pace:     rate.NewLimiter(rate.Inf, 1),
		unknown:  true,
	}
}

// Acquire implements vanillabarrow.Limiter.
func (o *Ordered) Acquire(ctx context.Context, admission vanillabarrow.Admission) error {
	c, err := o.enter(admission, time.Now())
	if c == nil {
		return err
	}
	select {
	case err := <-c.decided:
		return err
	case <-ctx.Done():
		return o.leave(c)
	}
}

// enter admits, queues or refuses. A claim is returned for a queued request.
func (o *Ordered) enter(admission vanillabarrow.Admission, now time.Time) (*claim, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.down {
		return nil, refuse(vanillabarrow.ReasonTargetDown, "the target refuses connections", downRetryAfter)
	}
	c := &claim{Admission: admission, work: o.workOf(admission.Class, now), decided: make(chan error, 1)}
	if now.Add(c.work / 2).After(admission.Deadline) {
		return nil, refuse(vanillabarrow.ReasonOverloaded, "the deadline leaves no time to run", 0)
	}
	if len(o.waiters) == 0 && o.inFlight < o.slots && o.take(now) {
		o.inFlight++
		return nil, nil
	}
	at := o.place(c, now)
	wait := o.waitOf(c.Priority, at, now)
	if c.Late && o.lateWaiters() >= max(1, o.slots/lateShare) {
		return nil, refuse(vanillabarrow.ReasonOverloaded, "too many late requests wait", wait)
	}
	if at >= minWaiters && now.Add(wait+c.work).After(c.limit()) {
		return nil, refuse(vanillabarrow.ReasonOverloaded, "no slot in time", wait)
	}
	if o.displaces(c, at, now) {
		return nil, refuse(vanillabarrow.ReasonOverloaded, "others that wait would be late", wait)
	}
	o.waiters = slices.Insert(o.waiters, at, c)
	c.expiry = time.AfterFunc(c.Deadline.Add(-c.work/2).Sub(now), func() { o.expire(c) })
	o.dropLate(at+1, now)
	o.schedule(now)
	return c, nil
}

// workOf estimates the work time of a class.
func (o *Ordered) workOf(class string, now time.Time) time.Duration {
	work, ok := o.work[class]
	if !ok {
		work = o.meanWork
	}
	if now.Before(o.coldUntil) {
		work *= coldFactor
	}
	return work
}

// waitAt estimates how long the claim at a place in the queue waits.
func (o *Ordered) waitAt(at int, now time.Time) time.Duration {
	wait := time.Duration(0)
	ahead := at + o.inFlight - o.slots + 1
	if ahead > 0 {
		wait = o.meanWork * time.Duration(ahead) / time.Duration(o.slots)
	}
	if o.paced(now) {
		wait = max(wait, time.Duration(float64(at+1)/float64(o.pace.Limit())*float64(time.Second)))
	}
	return wait
}

// waitOf estimates the wait of a request of a priority at a place in the queue.
// More urgent requests that are still to come go before it: with a share u of the
// slots they stretch its wait by 1/(1-u).
func (o *Ordered) waitOf(priority, at int, now time.Time) time.Duration {
	urgent := 0.0
	for other, part := range o.mix {
		if other < priority {
			urgent += part
		}
	}
	return time.Duration(float64(o.waitAt(at, now)) / (1 - min(urgent, maxUrgent)))
}

// countGrant notes the priority of a request that is let run from the queue.
func (o *Ordered) countGrant(priority int) {
	for other := range o.mix {
		o.mix[other] *= 1 - mixWeight
	}
	o.mix[priority] += mixWeight
}

// leave takes a claim out whose sender gave up. A slot granted meanwhile is
// passed on.
func (o *Ordered) leave(c *claim) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	refusal := vanillabarrow.NotRun(vanillabarrow.ReasonCanceled, "canceled while waiting")
	if i := slices.Index(o.waiters, c); i >= 0 {
		o.waiters = slices.Delete(o.waiters, i, i+1)
		c.expiry.Stop()
		return refusal
	}
	if err := <-c.decided; err != nil {
		return err
	}
	o.inFlight--
	o.grant(time.Now())
	return refusal
}

// Release implements vanillabarrow.Limiter.
func (o *Ordered) Release(admission vanillabarrow.Admission, signal vanillabarrow.TargetSignal, latency time.Duration) {
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.inFlight--
	o.learn(admission.Class, signal, latency)
	o.grant(now)
}

func (o *Ordered) learn(class string, signal vanillabarrow.TargetSignal, latency time.Duration) {
	failed := 0.0
	switch signal {
	case vanillabarrow.SignalOK:
		o.down = false
		o.learnWork(class, latency)
	case vanillabarrow.SignalFailed:
		failed = 1
	case vanillabarrow.SignalTimeout:
		failed = 1
		o.cuts++
	case vanillabarrow.SignalRefused:
		failed = 1
		o.suspect = true
		o.cuts++
	case vanillabarrow.SignalDown:
		failed = 1
		o.unknown = true
		o.cuts++
		o.fall()
	case vanillabarrow.SignalNeutral:
		return
	}
	o.failures += failureWeight * (failed - o.failures)
}

// fall refuses everything until the target is known to be up again.
func (o *Ordered) fall() {
	if o.down {
		return
	}
	o.down = true
	for _, c := range o.waiters {
		c.end(refuse(vanillabarrow.ReasonTargetDown, "the target refuses connections", downRetryAfter))
	}
	o.waiters = nil
}

func (o *Ordered) learnWork(class string, latency time.Duration) {
	old, ok := o.work[class]
	if !ok {
		old = latency
	}
	o.work[class] = old + time.Duration(workWeight*float64(latency-old))
	o.meanWork += time.Duration(workWeight * float64(latency-o.meanWork))
}

// grant gives free slots to those who wait.
func (o *Ordered) grant(now time.Time) {
	for len(o.waiters) > 0 && o.inFlight < o.slots && o.take(now) {
		best := o.first(now)
		c := o.waiters[best]
		o.waiters = slices.Delete(o.waiters, best, best+1)
		o.inFlight++
		o.countGrant(c.Priority)
		c.end(nil)
	}
	o.schedule(now)
}

// Configure implements vanillabarrow.Limiter.
func (o *Ordered) Configure(target *vanillabarrow.Target, service *vanillabarrow.Service, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.slots = max(1, target.Slots)
	if service != nil && service.WarmUpRate > 0 && service.WarmUpRate != o.warmRate {
		o.warmUp, o.warmRate = service.WarmUp, service.WarmUpRate
		o.pace = rate.NewLimiter(rate.Limit(coldShare*o.warmRate), max(1, int(o.warmRate/coldBurstShare)))
		// What a former process sent in the last second is not known.
		o.pace.AllowN(now, o.pace.Burst())
	}
	if target.Name != o.target || o.out && !target.OutOfService {
		// Another target, or one that operators gave back, may be cold.
		o.target, o.unknown = target.Name, true
	}
	o.out = target.OutOfService
	if target.ColdUntil.After(o.coldUntil) {
		o.coldUntil = target.ColdUntil
	}
	o.grant(now)
}

// NeedsHealthCheck implements vanillabarrow.Limiter.
func (o *Ordered) NeedsHealthCheck() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.unknown || o.suspect || o.down
}

// UpdateHealth implements vanillabarrow.Limiter.
func (o *Ordered) UpdateHealth(health vanillabarrow.Health, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.down = false
	o.suspect = false
	if health.OK {
		o.unknown = false
		o.coldUntil = now.Add(health.WarmUpRemaining)
	}
	o.grant(now)
}

// Load implements vanillabarrow.Limiter.
func (o *Ordered) Load(priority int) vanillabarrow.Load {
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	ahead := 0
	for _, c := range o.waiters {
		if c.Priority <= priority {
			ahead++
		}
	}
	load := vanillabarrow.Load{
		InFlight:       o.inFlight,
		Queued:         ahead,
		Priority:       priority,
		Limit:          o.slots,
		Draining:       o.down,
		FailurePercent: int(100 * o.failures),
	}
	if ahead > 0 || o.inFlight >= o.slots {
		load.Wait = o.waitOf(priority, ahead, now)
	}
	return load
}

// LimitDecreases implements vanillabarrow.Limiter.
func (o *Ordered) LimitDecreases() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.cuts
}

func refuse(reason vanillabarrow.Reason, detail string, retryAfter time.Duration) error {
	r := vanillabarrow.NotRun(reason, detail)
	r.RetryAfter = retryAfter
	return r
}
