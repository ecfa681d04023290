package dispatch

import (
	"time"

	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
	"github.com/vanillabarrow/vanillabarrow/internal/retry"
)

const (
	// areaTargets is the number of targets of one data centre to which
	// connections fail before the whole data centre is set aside.
	areaTargets = 2
	// areaWindow is the time within which they fail.
	areaWindow = 1500 * time.Millisecond
	// areaBase and areaLimit bound the time between two trials of a data centre
	// that is set aside.
	areaBase  = 300 * time.Millisecond
	areaLimit = 1200 * time.Millisecond
)

// area is what this node knows about the way to one data centre.
type area struct {
	// failed holds when connections to each target last failed, since the data
	// centre was last heard.
	failed map[string]time.Time
	// aside is closed when the data centre is set aside, and nil while it is.
	aside   chan struct{}
	rounds  int
	trialAt time.Time
}

// Areas knows which data centres can be reached. In a network partition all
// targets of a data centre fall silent together; waiting for each of them would
// cost one request after the other.
type Areas struct {
	mu    *kernel.Mutex
	areas map[string]*area
}

// NewAreas returns a table in which every data centre can be reached.
func NewAreas() *Areas {
	return &Areas{mu: kernel.NewMutex(kernel.RankDataCentres), areas: map[string]*area{}}
}

func (a *Areas) get(name string) *area {
	state, ok := a.areas[name]
	if !ok {
		state = &area{failed: map[string]time.Time{}, aside: make(chan struct{})}
		a.areas[name] = state
	}
	return state
}

// Heard notes that a target of the data centre answered, and reports whether
// the data centre was set aside until then.
func (a *Areas) Heard(name string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	state := a.get(name)
	if len(state.failed) == 0 && state.aside != nil {
		return false
	}
	clear(state.failed)
	state.rounds = 0
	if state.aside != nil {
		return false
	}
	state.aside = make(chan struct{})
	return true
}

// Failed notes that a connection to a target of the data centre failed, and
// reports whether the data centre is set aside by it.
func (a *Areas) Failed(name, target string, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	state := a.get(name)
	state.failed[target] = now
	recent := 0
	for other, at := range state.failed {
		if now.Sub(at) > areaWindow && state.aside != nil {
			delete(state.failed, other)
			continue
		}
		recent++
	}
	if recent < areaTargets {
		return false
	}
	state.rounds++
	state.trialAt = now.Add(areaBase/2 + retry.Backoff(areaBase, areaLimit, state.rounds))
	if state.aside == nil {
		return false
	}
	close(state.aside)
	state.aside = nil
	return true
}

// Open reports whether a request may go to the data centre. While it is set
// aside, one is let through now and then as a trial.
func (a *Areas) Open(name string, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	state := a.get(name)
	if state.aside != nil {
		return true
	}
	return !now.Before(state.trialAt)
}

// begin takes the trial of a data centre that is set aside.
func (a *Areas) begin(name string, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if state := a.get(name); state.aside == nil {
		state.trialAt = now.Add(areaLimit)
	}
}

// Lost returns a channel that is closed when the data centre is set aside, nil
// while it is.
func (a *Areas) Lost(name string) <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.get(name).aside
}

// Aside returns the data centres that are set aside, for the state dump.
func (a *Areas) Aside() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	names := []string{}
	for name, state := range a.areas {
		if state.aside == nil {
			names = append(names, name)
		}
	}
	return names
}
