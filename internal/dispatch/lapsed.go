package dispatch

import (
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
)

const (
	// servedFor is how long an answer of a lapsed target's gate makes it a target
	// like others.
	servedFor = 1500 * time.Millisecond
	// lapsedPause is the time between two trials of a lapsed target whose gate
	// refuses, and silentPause after a trial that did not reach its node.
	lapsedPause = 400 * time.Millisecond
	silentPause = 5 * time.Second
)

// lapse is what this node knows of one lapsed target.
type lapse struct {
	servedUntil time.Time
	trialAt     time.Time
}

// Lapsed decides when a target is asked for whose entry the platform dropped
// without a word of leaving. Only the gate beside it knows whether it still
// serves: a trial now and then asks it, and what it refuses has not run. It
// answers partitions of single VMs from the platform.
type Lapsed struct {
	mu      *kernel.Mutex
	targets map[string]*lapse
}

// NewLapsed returns an empty table.
func NewLapsed() *Lapsed {
	return &Lapsed{mu: kernel.NewMutex(kernel.RankExpiredTargets), targets: map[string]*lapse{}}
}

func (l *Lapsed) get(target string) *lapse {
	found, ok := l.targets[target]
	if !ok {
		found = &lapse{}
		l.targets[target] = found
	}
	return found
}

// Admit reports whether a request may go to the target, and whether it is a
// trial.
func (l *Lapsed) Admit(target string, now time.Time) (admitted, trial bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := l.get(target)
	if now.Before(state.servedUntil) {
		return true, false
	}
	due := !now.Before(state.trialAt)
	return due, due
}

// begin takes the trial of a target that is not known to be served.
func (l *Lapsed) begin(target string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if state := l.get(target); !now.Before(state.servedUntil) {
		state.trialAt = now.Add(lapsedPause)
	}
}

// Note takes the end of an attempt: nil for an answer.
func (l *Lapsed) Note(target string, refusal *vanillabarrow.Refusal, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := l.get(target)
	switch {
	case refusal == nil, refusal.Reason == vanillabarrow.ReasonOverloaded:
		// A gate that does not serve the target refuses before it looks for room.
		state.servedUntil = now.Add(servedFor)
	case refusal.Reason == vanillabarrow.ReasonUnreachable, refusal.Reason == vanillabarrow.ReasonConnectionFailed:
		state.servedUntil, state.trialAt = time.Time{}, now.Add(silentPause)
	case refusal.Verdict == vanillabarrow.VerdictNotRun:
		state.servedUntil, state.trialAt = time.Time{}, now.Add(lapsedPause)
	}
}

// Keep forgets targets that no longer count as lapsed.
func (l *Lapsed) Keep(lapsed func(target string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name := range l.targets {
		if !lapsed(name) {
			delete(l.targets, name)
		}
	}
}
