package dispatch

import (
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
)

const (
	// expiredServingTTL is the time for which an expired target gets requests
	// like any other target after its gate has shown that it serves the target.
	expiredServingTTL = 1500 * time.Millisecond
	// expiredTrialInterval is the time between two trial requests to an expired
	// target whose gate refuses, and unreachableTrialInterval the time after a
	// trial request that did not reach the target's node.
	expiredTrialInterval     = 400 * time.Millisecond
	unreachableTrialInterval = 5 * time.Second
)

// expiredTarget is what this node knows about one expired target.
type expiredTarget struct {
	servingUntil time.Time
	nextTrialAt  time.Time
}

// ExpiredTargets decides when requests are sent to targets whose registration
// expired without the target announcing a shutdown. Only the gate on the
// target's VM knows whether the target still runs, so a trial request is sent
// to it at intervals; a request that the gate refuses has not run. This keeps
// targets in use whose VM is partitioned from the platform.
type ExpiredTargets struct {
	mu      *kernel.Mutex
	targets map[string]*expiredTarget
}

// NewExpiredTargets returns an empty table.
func NewExpiredTargets() *ExpiredTargets {
	return &ExpiredTargets{mu: kernel.NewMutex(kernel.RankExpiredTargets), targets: map[string]*expiredTarget{}}
}

func (e *ExpiredTargets) get(target string) *expiredTarget {
	found, ok := e.targets[target]
	if !ok {
		found = &expiredTarget{}
		e.targets[target] = found
	}
	return found
}

// Admit reports whether a request may be sent to the target, and whether it is
// a trial request.
func (e *ExpiredTargets) Admit(target string, now time.Time) (admitted, trial bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := e.get(target)
	if now.Before(state.servingUntil) {
		return true, false
	}
	due := !now.Before(state.nextTrialAt)
	return due, due
}

// beginTrial reports whether a request may be sent to the target now. While the
// target is not known to run, the request is the trial request, and no other one
// begins within expiredTrialInterval.
func (e *ExpiredTargets) beginTrial(target string, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := e.get(target)
	if now.Before(state.servingUntil) {
		return true
	}
	if now.Before(state.nextTrialAt) {
		return false
	}
	state.nextTrialAt = now.Add(expiredTrialInterval)
	return true
}

// RecordResult records the result of an attempt. The refusal is nil for a
// response. If the node was reached but the request may have run, nothing
// changes.
func (e *ExpiredTargets) RecordResult(target string, refusal *vanillabarrow.Refusal, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := e.get(target)
	switch {
	case refusal == nil, refusal.Reason == vanillabarrow.ReasonOverloaded:
		// A gate checks whether its target runs before it checks the load, so a
		// refusal because of overload shows that the target runs.
		state.servingUntil = now.Add(expiredServingTTL)
	case refusal.Reason == vanillabarrow.ReasonUnreachable, refusal.Reason == vanillabarrow.ReasonConnectionFailed:
		state.servingUntil, state.nextTrialAt = time.Time{}, now.Add(unreachableTrialInterval)
	case refusal.Verdict == vanillabarrow.VerdictNotRun:
		state.servingUntil, state.nextTrialAt = time.Time{}, now.Add(expiredTrialInterval)
	}
}

// Retain removes the targets for which isExpired returns false.
func (e *ExpiredTargets) Retain(isExpired func(target string) bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for name := range e.targets {
		if !isExpired(name) {
			delete(e.targets, name)
		}
	}
}
