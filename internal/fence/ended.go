package fence

// maxEndedAttempts is the maximum number of ended attempts whose ids are kept. At
// 37 attempts a second, usual for a gate, they are those of nearly two minutes.
const maxEndedAttempts = 4096

// endedAttempt is an attempt whose record was removed when it ended.
type endedAttempt struct {
	id    string
	epoch uint64
}

// endedAttempts holds the ids of the last idempotent attempts that may have run
// and have no record any more. A query about one of them must not be taken for
// one about an attempt that never arrived.
type endedAttempts struct {
	ids map[string]int
	// order holds the attempts in the order of their ends.
	order []endedAttempt
	// evicted is set once an attempt was evicted because of the limit, and
	// evictedEpoch the epoch in which the last of these ended.
	evicted      bool
	evictedEpoch uint64
}

func newEndedAttempts() *endedAttempts {
	return &endedAttempts{ids: map[string]int{}}
}

// add records the end of an attempt in an epoch.
func (e *endedAttempts) add(id string, epoch uint64) {
	if len(e.order) >= maxEndedAttempts {
		e.evicted, e.evictedEpoch = true, e.order[0].epoch
		e.removeFirst()
	}
	e.ids[id]++
	e.order = append(e.order, endedAttempt{id, epoch})
}

// expire removes the attempts that ended before an epoch.
func (e *endedAttempts) expire(oldest uint64) {
	for len(e.order) > 0 && e.order[0].epoch < oldest {
		e.removeFirst()
	}
}

// removeFirst removes the attempt that ended first. A retried message may have
// let the same one end more than once.
func (e *endedAttempts) removeFirst() {
	id := e.order[0].id
	if e.ids[id]--; e.ids[id] <= 0 {
		delete(e.ids, id)
	}
	e.order = e.order[1:]
}

// mayInclude reports whether an attempt whose token is of the given epoch may have
// run and ended. It can't have ended before the epoch of its token.
func (e *endedAttempts) mayInclude(id string, epoch uint64) bool {
	_, ended := e.ids[id]
	return ended || e.evicted && e.evictedEpoch >= epoch
}
