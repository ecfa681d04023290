package limit

import (
	"time"
)

// paced reports whether the warm-up rate applies.
func (o *Ordered) paced(now time.Time) bool {
	return o.warmRate > 0 && (o.unknown || now.Before(o.coldUntil))
}

// take takes one request from the pace of a cold target.
func (o *Ordered) take(now time.Time) bool {
	return !o.paced(now) || o.pace.AllowN(now, 1)
}

// schedule wakes the queue when the pace lets the next request pass.
func (o *Ordered) schedule(now time.Time) {
	if len(o.waiters) == 0 || o.inFlight >= o.slots || !o.paced(now) {
		return
	}
	r := o.pace.ReserveN(now, 1)
	delay := r.DelayFrom(now)
	r.CancelAt(now)
	if o.wake != nil {
		o.wake.Stop()
	}
	o.wake = time.AfterFunc(delay+time.Millisecond, o.awake)
}

func (o *Ordered) awake() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.grant(time.Now())
}
