package limit

import (
	"time"
)

// isWarmUpLimited reports whether requests are limited to the warm-up rate.
func (o *Ordered) isWarmUpLimited(now time.Time) bool {
	return o.warmUpRate > 0 && (o.healthUnknown || now.Before(o.coldUntil))
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
