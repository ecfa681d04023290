package limit

import (
	"time"

	"golang.org/x/time/rate"
)

// isWarmUpLimited reports whether requests are limited to the warm-up rate.
func (o *Ordered) isWarmUpLimited(now time.Time) bool {
	return o.warmUpRate > 0 && o.mayBeCold(now)
}

// mayBeCold reports whether the target is cold, or may be because its health is
// not known.
func (o *Ordered) mayBeCold(now time.Time) bool {
	return o.healthUnknown || now.Before(o.coldUntil)
}

// setWarmUpRate changes the warm-up rate. A rate of 0 lifts the limit.
func (o *Ordered) setWarmUpRate(perSecond float64, now time.Time) {
	o.warmUpRate = perSecond
	if perSecond <= 0 {
		o.warmUpLimiter = rate.NewLimiter(rate.Inf, 1)
		return
	}
	o.warmUpLimiter = rate.NewLimiter(rate.Limit(warmUpRateFactor*perSecond), max(1, int(perSecond/warmUpBurstDivisor)))
	// Start without a burst: a previous process of this node may have sent
	// requests within the last second.
	o.warmUpLimiter.AllowN(now, o.warmUpLimiter.Burst())
}

// takeWarmUpToken reports whether the warm-up rate allows a request now, and
// takes a token for it. It always does for a warm target.
func (o *Ordered) takeWarmUpToken(now time.Time) bool {
	return !o.isWarmUpLimited(now) || o.warmUpLimiter.AllowN(now, 1)
}

// scheduleWake starts a timer that grants slots when the warm-up rate allows the
// next request.
func (o *Ordered) scheduleWake(now time.Time) {
	if len(o.queue) == 0 || o.inFlight >= o.slots || !o.isWarmUpLimited(now) {
		return
	}
	reservation := o.warmUpLimiter.ReserveN(now, 1)
	delay := reservation.DelayFrom(now)
	reservation.CancelAt(now)
	if o.wakeTimer != nil {
		o.wakeTimer.Stop()
	}
	o.wakeTimer = time.AfterFunc(delay+time.Millisecond, o.onWake)
}

func (o *Ordered) onWake() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.grantSlots(time.Now())
}
