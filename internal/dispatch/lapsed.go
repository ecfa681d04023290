package dispatch

import (
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
)

const (
	// expiredServingTTL is how long an answer of a lapsed target's gate makes it a target
	// like others.
	expiredServingTTL = 1500 * time.Millisecond
	// expiredTrialInterval is the time between two trials of a lapsed target whose gate
	// refuses, and silentPause after a trial that did not reach its node.
	expiredTrialInterval     = 400 * time.Millisecond
	unreachableTrialInterval = 5 * time.Second
)

// expiredTarget is what this node knows of one lapsed target.
type expiredTarget struct {
	servingUntil time.Time
	nextTrialAt  time.Time
}

// ExpiredTargets decides when a target is asked for whose entry the platform dropped
// without a word of leaving. Only the gate beside it knows whether it still
// serves: a trial now and then asks it, and what it refuses has not run. It
// answers partitions of single VMs from the platform.
type ExpiredTargets struct {
	mu      *kernel.Mutex
	targets map[string]*expiredTarget
}

// NewExpiredTargets returns an empty table.
func NewExpiredTargets() *ExpiredTargets {
	return &ExpiredTargets{mu: kernel.NewMutex(kernel.RankExpiredTargets), targets: map[string]*expiredTarget{}}
}

func (l *ExpiredTargets) get(target string) *expiredTarget {
	found, ok := l.targets[target]
	if !ok {
		found = &expiredTarget{}
		l.targets[target] = found
	}
	return found
}

// Admit reports whether a request may go to the target, and whether it is a
// trial.
func (l *ExpiredTargets) Admit(target string, now time.Time) (admitted, trial bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := l.get(target)
	if now.Before(state.servingUntil) {
		return true, false
	}
	due := !now.Before(state.nextTrialAt)
	return due, due
}

// beginTrial takes the trial of a target that is not known to be served.
func (l *ExpiredTargets) beginTrial(target string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if state := l.get(target); !now.Before(state.servingUntil) {
		state.nextTrialAt = now.Add(expiredTrialInterval)
	}
}

// RecordResult takes the end of an attempt: nil for an answer.
func (l *ExpiredTargets) RecordResult(target string, refusal *vanillabarrow.Refusal, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := l.get(target)
	switch {
	case refusal == nil, refusal.Reason == vanillabarrow.ReasonOverloaded:
		// A gate that does not serve the target refuses before it looks for room.
		state.servingUntil = now.Add(expiredServingTTL)
	case refusal.Reason == vanillabarrow.ReasonUnreachable, refusal.Reason == vanillabarrow.ReasonConnectionFailed:
		state.servingUntil, state.nextTrialAt = time.Time{}, now.Add(unreachableTrialInterval)
	case refusal.Verdict == vanillabarrow.VerdictNotRun:
		state.servingUntil, state.nextTrialAt = time.Time{}, now.Add(expiredTrialInterval)
	}
}

// Retain forgets targets that no longer count as lapsed.
func (l *ExpiredTargets) Retain(lapsed func(target string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name := range l.targets {
		if !lapsed(name) {
			delete(l.targets, name)
		}
	}
}
