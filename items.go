package vanillabarrow

import (
	"errors"
	"time"
)

// ErrHistoryLost means that the platform no longer has the changes after a
// revision.
var ErrHistoryLost = errors.New("history is no longer available")

// Item is one keyed value as the platform gives it, or the record that it was
// removed.
type Item struct {
	Key      string
	Value    []byte
	Revision Version
	// Created is the revision at which the key came into being.
	Created Version
	// Removed is set when the key was removed at Revision. Value is then the
	// last one known.
	Removed bool
	// KeepUntil is until when a removed item still counts, because its writer
	// may be about to write it again.
	KeepUntil time.Time
	// Expired is set by a table on a removed item that no longer counts and was
	// removed a short while ago.
	Expired bool
	// LearnedAt is when the first node learned of this revision.
	LearnedAt time.Time
}

// Cursor names a point in the life of another node's table.
type Cursor struct {
	Incarnation string
	Sequence    uint64
}

// Delta carries changed items.
type Delta struct {
	// Cursor is the sender's, for the next delta.
	Cursor Cursor
	// AsOf is the revision up to which the sender knows all items.
	AsOf  Version
	Items []Item
	// Full is set when Items holds every item, so that others are gone.
	Full bool
	// KeepMissingUntil is until when items that a full delta lacks still count, zero
	// where the receiver decides. It is not passed on.
	KeepMissingUntil time.Time
	// SourceAge is the time since the platform last confirmed AsOf, along the
	// whole path to the sender.
	SourceAge time.Duration
	// Draining is set when the sender is about to leave.
	Draining bool
}

// ResponseClass says what an answer of a target is.
type ResponseClass int

// Classes of answers.
const (
	// ResponseValid is the answer to the request.
	ResponseValid ResponseClass = iota
	// ResponseMismatched belongs to another request.
	ResponseMismatched
	// ResponseShed states that the target did not run the request.
	ResponseShed
	// ResponseMisdirected states that another target has the address.
	ResponseMisdirected
	// ResponseInvalid is no answer of a target.
	ResponseInvalid
)

// Health is what a target says about itself.
type Health struct {
	OK bool
	// Target is the name of the target that answered, empty if it gave none.
	Target string
	// WarmUpRemaining is how long the target stays cold.
	WarmUpRemaining time.Duration
}

// Rejection tells why a version is not in force.
type Rejection struct {
	Version Version   `json:"version"`
	Reason  string    `json:"reason"`
	At      time.Time `json:"at"`
}

// RolloutStatus is what a node shows operators about its configuration.
type RolloutStatus struct {
	// Held is the version that is relayed, InForce the one that is served.
	Held      Version   `json:"held"`
	InForce   Version   `json:"inForce"`
	AppliedAt time.Time `json:"appliedAt"`
	// ConfirmedAt is when a source last said that nothing newer exists.
	ConfirmedAt time.Time  `json:"confirmedAt"`
	Rejection   *Rejection `json:"rejection,omitempty"`
	VMsHeld     uint64     `json:"vmsHeld"`
	Parts       int        `json:"parts"`
	Bytes       int        `json:"bytes"`
	Stale       uint64     `json:"stale"`
	Incomplete  uint64     `json:"incomplete"`
}
