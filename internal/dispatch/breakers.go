package dispatch

import (
	"time"

	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
	"github.com/vanillabarrow/vanillabarrow/internal/retry"
)

const (
	// dataCentreFailureThreshold is the number of targets in one data centre
	// whose nodes must be unreachable to open its circuit breaker.
	dataCentreFailureThreshold = 2
	// dataCentreFailureWindow is the time within which these failures must
	// occur.
	dataCentreFailureWindow = 1500 * time.Millisecond
	// dataCentreBackoffBase and dataCentreBackoffMax are the base and the
	// maximum of the random backoff before the next trial request to a data
	// centre whose breaker is open. Half of the base is added to it, because
	// the random delay may be 0.
	dataCentreBackoffBase = 300 * time.Millisecond
	dataCentreBackoffMax  = 1200 * time.Millisecond
)

// dataCentreBreaker is the circuit breaker for one data centre.
type dataCentreBreaker struct {
	// failedAt holds the time at which the node of each target was last
	// unreachable, since the last response from the data centre.
	failedAt map[string]time.Time
	// opened is closed when the breaker opens. It is nil while the breaker is
	// open.
	opened       chan struct{}
	backoffRound int
	nextTrialAt  time.Time
}

// DataCentreBreakers holds a circuit breaker for each data centre. In a network
// partition, all targets of a data centre stop responding together; without the
// breaker, requests would wait for the timeout of one target after the other.
type DataCentreBreakers struct {
	mu       *kernel.Mutex
	breakers map[string]*dataCentreBreaker
}

// NewDataCentreBreakers returns a table in which all breakers are closed.
func NewDataCentreBreakers() *DataCentreBreakers {
	return &DataCentreBreakers{mu: kernel.NewMutex(kernel.RankDataCentreBreakers), breakers: map[string]*dataCentreBreaker{}}
}

func (b *DataCentreBreakers) get(name string) *dataCentreBreaker {
	state, ok := b.breakers[name]
	if !ok {
		state = &dataCentreBreaker{failedAt: map[string]time.Time{}, opened: make(chan struct{})}
		b.breakers[name] = state
	}
	return state
}

// RecordResponse records that a node in the data centre responded, if only by
// refusing a connection. It reports whether this closed the breaker.
func (b *DataCentreBreakers) RecordResponse(name string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	state := b.get(name)
	if len(state.failedAt) == 0 && state.opened != nil {
		return false
	}
	clear(state.failedAt)
	state.backoffRound = 0
	if state.opened != nil {
		return false
	}
	state.opened = make(chan struct{})
	return true
}

// RecordFailure records that the node of a target in the data centre was
// unreachable (ReasonUnreachable). It reports whether this opened the breaker.
func (b *DataCentreBreakers) RecordFailure(name, target string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	state := b.get(name)
	state.failedAt[target] = now
	recent := 0
	for other, at := range state.failedAt {
		// While the breaker is open, failures do not expire, so that each
		// failed trial request lengthens the backoff.
		if now.Sub(at) > dataCentreFailureWindow && state.opened != nil {
			delete(state.failedAt, other)
			continue
		}
		recent++
	}
	if recent < dataCentreFailureThreshold {
		return false
	}
	state.backoffRound++
	state.nextTrialAt = now.Add(dataCentreBackoffBase/2 + retry.Backoff(dataCentreBackoffBase, dataCentreBackoffMax, state.backoffRound))
	if state.opened == nil {
		return false
	}
	close(state.opened)
	state.opened = nil
	return true
}

// Allow reports whether a request may be sent to the data centre. While the
// breaker is open, it returns true only when a trial request is due. Another
// request may still begin that trial first.
func (b *DataCentreBreakers) Allow(name string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	state := b.get(name)
	if state.opened != nil {
		return true
	}
	return !now.Before(state.nextTrialAt)
}

// beginTrial is Allow for a request that is sent now, which is the trial request
// if the breaker is open. The next one is due after dataCentreBackoffMax, or
// after the backoff if this one finds a node unreachable.
func (b *DataCentreBreakers) beginTrial(name string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	state := b.get(name)
	if state.opened != nil {
		return true
	}
	if now.Before(state.nextTrialAt) {
		return false
	}
	state.nextTrialAt = now.Add(dataCentreBackoffMax)
	return true
}

// Opened returns a channel that is closed when the breaker opens, nil while it
// is open.
func (b *DataCentreBreakers) Opened(name string) <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.get(name).opened
}

// OpenBreakers returns the data centres whose breaker is open, for the state
// dump.
func (b *DataCentreBreakers) OpenBreakers() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	names := []string{}
	for name, state := range b.breakers {
		if state.opened == nil {
			names = append(names, name)
		}
	}
	return names
}
