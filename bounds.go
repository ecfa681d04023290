package vanillabarrow

import "time"

// Bounds holds the times within which a deployment promises its effects. Timers that
// such a promise depends on are derived from them.
type Bounds struct {
	// ConfigApply is the time from the platform's acknowledgement of a change until
	// it is in force at every node that reaches the platform.
	ConfigApply time.Duration `yaml:"configApply"`
	// Drain is the time from the acknowledged removal of a target, or from its first
	// report that it is leaving, until it gets no more requests.
	Drain time.Duration `yaml:"drain"`
	// StabilityWindow is the time after a disruption of a node or its connections
	// from which on the other bounds hold again.
	StabilityWindow time.Duration `yaml:"stabilityWindow"`
	// GracePeriod is the time from SIGTERM until the process is killed, 0 if it is
	// not known.
	GracePeriod time.Duration `yaml:"gracePeriod"`
}

// LeaveNotice returns the part of the grace period in which requests are still taken.
func (b Bounds) LeaveNotice() time.Duration { return b.GracePeriod * 5 / 12 }

// WaitTimeout returns the part of the grace period after the leave notice in which
// requests may wait for a slot. Two thirds of the period have passed then, so what has
// got a slot has a fifth of it to finish, and callers have time to send the others to
// other nodes.
func (b Bounds) WaitTimeout() time.Duration { return b.GracePeriod / 4 }

// DrainTimeout returns the part of the grace period after the leave notice in which
// the requests that were taken are finished.
func (b Bounds) DrainTimeout() time.Duration { return b.GracePeriod * 9 / 20 }

// AbortTimeout returns the part of the grace period after the drain timeout in which the
// last responses are written. The rest of the period is left for the end of the process.
func (b Bounds) AbortTimeout() time.Duration { return b.GracePeriod / 20 }

// DefaultBounds returns the bounds of a deployment that states none.
func DefaultBounds() Bounds {
	return Bounds{ConfigApply: 2 * time.Second, Drain: 2 * time.Second, StabilityWindow: 3 * time.Second}
}
