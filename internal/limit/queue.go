package limit

import (
	"cmp"
	"slices"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
)

// queuedRequest is a request that waits for a slot.
type queuedRequest struct {
	vanillabarrow.Admission
	// execTime is the estimated execution time on arrival.
	execTime time.Duration
	// result receives one value: nil for a granted slot, or the refusal.
	result      chan error
	expiryTimer *time.Timer
}

// errNoFreeSlot returns the refusal of a hedge. It has no Retry-After delay, so that
// senders don't take it for a refusal of other requests.
func errNoFreeSlot() error {
	return newRefusal(vanillabarrow.ReasonOverloaded, "no free slot for a hedged request", 0)
}

// wouldDelayOthers reports whether inserting a request at a position in the
// queue would make a queued request of the same priority miss its objective.
// Requests of lower priority are not protected, nor those of a tenant with more
// than its share from those of one with less.
func (o *Ordered) wouldDelayOthers(r *queuedRequest, at int, now time.Time) bool {
	for i := at; i < len(o.queue); i++ {
		w := o.queue[i]
		if w.Priority > r.Priority || w.isLate(now) || o.tenantShares.exceeds(w.Tenant) && !o.tenantShares.exceeds(r.Tenant) {
			continue
		}
		if now.Add(o.waitAtPosition(i+1, now) + w.execTime).After(w.finishBy()) {
			return true
		}
	}
	return false
}

// finishBy returns the time by which the request must finish to be worth a slot:
// its objective, or its deadline when that alone counts.
func (r *queuedRequest) finishBy() time.Time {
	if r.Objective.IsZero() || r.Late {
		return r.Deadline
	}
	return r.Objective
}

// dueTime returns the time that requests of equal priority are sorted by.
func (r *queuedRequest) dueTime() time.Time {
	if r.Objective.IsZero() {
		return r.Deadline
	}
	return r.Objective
}

// compare defines the order of the queue. The request that is granted a slot
// first is the lesser one.
func (o *Ordered) compare(a, b *queuedRequest, now time.Time) int {
	if d := cmp.Compare(a.Priority, b.Priority); d != 0 {
		return d
	}
	if exceeds := o.tenantShares.exceeds(a.Tenant); exceeds != o.tenantShares.exceeds(b.Tenant) {
		if exceeds {
			return 1
		}
		return -1
	}
	if late := a.isLate(now); late != b.isLate(now) {
		if late {
			return 1
		}
		return -1
	}
	return a.dueTime().Compare(b.dueTime())
}

// insertPosition returns the position of a new request in the queue, behind
// those that compare equal.
func (o *Ordered) insertPosition(r *queuedRequest, now time.Time) int {
	at, _ := slices.BinarySearchFunc(o.queue, r, func(a, b *queuedRequest) int {
		if d := o.compare(a, b, now); d != 0 {
			return d
		}
		return -1
	})
	return at
}

// countLate returns the number of queued requests for which the deadline alone
// counts.
func (o *Ordered) countLate() int {
	n := 0
	for _, r := range o.queue {
		if r.Late {
			n++
		}
	}
	return n
}

// isLate reports whether the request can no longer meet its objective.
func (r *queuedRequest) isLate(now time.Time) bool {
	return r.Late || !r.Objective.IsZero() && now.Add(r.execTime).After(r.Objective)
}

// refuseUnmeetable refuses queued requests, from a position on, that can no
// longer finish in time because a more urgent request was inserted ahead of
// them.
func (o *Ordered) refuseUnmeetable(from int, now time.Time) {
	for i := len(o.queue) - 1; i >= max(from, minQueueLength); i-- {
		r := o.queue[i]
		wait := o.waitForPriority(r.Priority, i, now)
		if !now.Add(wait + r.execTime).After(r.finishBy()) {
			continue
		}
		o.queue = slices.Delete(o.queue, i, i+1)
		r.resolve(newRefusal(vanillabarrow.ReasonOverloaded, "displaced by more urgent requests", wait))
	}
}

// resolve ends the wait of a request with a slot (nil) or a refusal.
func (r *queuedRequest) resolve(err error) {
	r.expiryTimer.Stop()
	r.result <- err
}

// expire refuses a queued request that can no longer finish before its deadline.
func (o *Ordered) expire(r *queuedRequest) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if i := slices.Index(o.queue, r); i >= 0 {
		o.queue = slices.Delete(o.queue, i, i+1)
		r.resolve(newRefusal(vanillabarrow.ReasonOverloaded, "no slot before the deadline", 0))
	}
}

// nextPosition returns the position of the request that is granted the next
// slot. It searches the entire queue, because the order is only kept on
// insertion: requests that became late since then may be ahead of requests
// of their priority that can still meet their objective.
func (o *Ordered) nextPosition(now time.Time) int {
	best := 0
	for i := range o.queue {
		if o.compare(o.queue[i], o.queue[best], now) < 0 && i != best {
			best = i
		}
	}
	return best
}

func newRefusal(reason vanillabarrow.Reason, detail string, retryAfter time.Duration) error {
	r := vanillabarrow.NotRun(reason, detail)
	r.RetryAfter = retryAfter
	return r
}
