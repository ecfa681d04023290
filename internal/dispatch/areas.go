package dispatch

import (
	"time"

	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
	"github.com/vanillabarrow/vanillabarrow/internal/retry"
)

const (
	// dataCentreFailureThreshold is the number of targets of one data centre to which
	// connections fail before the whole data centre is set aside.
	dataCentreFailureThreshold = 2
	// dataCentreFailureWindow is the time within which they fail.
	dataCentreFailureWindow = 1500 * time.Millisecond
	// dataCentreBackoffBase and areaLimit bound the time between two trials of a data centre
	// that is set aside.
	dataCentreBackoffBase  = 300 * time.Millisecond
	dataCentreBackoffLimit = 1200 * time.Millisecond
)

// dataCentreBreaker is what this node knows about the way to one data centre.
type dataCentreBreaker struct {
	// failedAt holds when connections to each target last failedAt, since the data
	// centre was last heard.
	failedAt map[string]time.Time
	// opened is closed when the data centre is set opened, and nil while it is.
	opened       chan struct{}
	backoffRound int
	nextTrialAt  time.Time
}

// DataCentreBreakers knows which data centres can be reached. In a network partition all
// targets of a data centre fall silent together; waiting for each of them would
// cost one request after the other.
type DataCentreBreakers struct {
	mu       *kernel.Mutex
	breakers map[string]*dataCentreBreaker
}

// NewDataCentreBreakers returns a table in which every data centre can be reached.
func NewDataCentreBreakers() *DataCentreBreakers {
	return &DataCentreBreakers{mu: kernel.NewMutex(kernel.RankDataCentres), breakers: map[string]*dataCentreBreaker{}}
}

func (a *DataCentreBreakers) get(name string) *dataCentreBreaker {
	state, ok := a.breakers[name]
	if !ok {
		state = &dataCentreBreaker{failedAt: map[string]time.Time{}, opened: make(chan struct{})}
		a.breakers[name] = state
	}
	return state
}

// RecordResponse notes that a target of the data centre answered, and reports whether
// the data centre was set aside until then.
func (a *DataCentreBreakers) RecordResponse(name string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	state := a.get(name)
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

// RecordFailure notes that a connection to a target of the data centre failed, and
// reports whether the data centre is set aside by it.
func (a *DataCentreBreakers) RecordFailure(name, target string, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	state := a.get(name)
	state.failedAt[target] = now
	recent := 0
	for other, at := range state.failedAt {
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
	state.nextTrialAt = now.Add(dataCentreBackoffBase/2 + retry.Backoff(dataCentreBackoffBase, dataCentreBackoffLimit, state.backoffRound))
	if state.opened == nil {
		return false
	}
	close(state.opened)
	state.opened = nil
	return true
}

// Allow reports whether a request may go to the data centre. While it is set
// aside, one is let through now and then as a trial.
func (a *DataCentreBreakers) Allow(name string, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	state := a.get(name)
	if state.opened != nil {
		return true
	}
	return !now.Before(state.nextTrialAt)
}

// beginTrial takes the trial of a data centre that is set aside.
func (a *DataCentreBreakers) beginTrial(name string, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if state := a.get(name); state.opened == nil {
		state.nextTrialAt = now.Add(dataCentreBackoffLimit)
	}
}

// Opened returns a channel that is closed when the data centre is set aside, nil
// while it is.
func (a *DataCentreBreakers) Opened(name string) <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.get(name).opened
}

// Unavailable returns the data centres that are set aside, for the state dump.
func (a *DataCentreBreakers) Unavailable() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	names := []string{}
	for name, state := range a.breakers {
		if state.opened == nil {
			names = append(names, name)
		}
	}
	return names
}
