package vanillabarrow

import (
	"errors"
	"time"
)

// ErrHistoryLost is returned when the platform has discarded the changes after the
// requested revision, or does not have that revision after a restore.
var ErrHistoryLost = errors.New("history is no longer available")

// ErrNoResponse is returned when the platform did not react at all before a timeout,
// so that it is not known from when on it had not responded.
var ErrNoResponse = errors.New("no response")

// ErrResponseIncomplete is returned when the platform began a response but did
// not complete it.
var ErrResponseIncomplete = errors.New("response is incomplete")

// ErrResponseTooLarge is returned when the platform's response exceeds the size
// that the client reads.
var ErrResponseTooLarge = errors.New("response is too large")

// ErrListingMixed is returned when the platform was restored from an older copy while
// its items were listed, so that the parts of the listing don't belong together.
var ErrListingMixed = errors.New("listing spans a restore of the platform")

// Item is one key of the platform's store with its value, or the tombstone of a
// removed key.
type Item struct {
	Key      string
	Value    []byte
	Revision Version
	// Created is the revision at which the key was created.
	Created Version
	// Removed is set when the key was removed at Revision. Value then holds the
	// last known value.
	Removed bool
	// KeepUntil is the time until which a removed item stays in effect, because
	// its writer may be about to write it again.
	KeepUntil time.Time
	// Expired is set by the receiving node's table on a removed item that is no
	// longer in effect but was removed recently.
	Expired bool
	// Lost is set on the tombstone of an item that is missing from the copy from which
	// the platform was restored.
	Lost bool
	// Kept is set on an item of an earlier era that stays in effect beside one of a
	// later era, because that one comes from an older copy.
	Kept bool
	// AfterRestore is set by the receiving node's table, for a comparison only, on an item
	// that was written after the platform was restored.
	AfterRestore bool
	// FirstSeenAt is the time at which the first node received this revision.
	FirstSeenAt time.Time
	// Unchanged is set in a full delta on an item that the receiver already
	// holds. It then has a key and a revision only.
	Unchanged bool
	// Patch is set in place of a large value while the item is sent to another
	// node.
	Patch *ValuePatch
}

// ValuePatch is a value in compressed form.
type ValuePatch struct {
	// Base is the revision of the same key whose value is the compression
	// dictionary, 0 for none.
	Base    Version
	Content []byte
}

// HeldItem names an item that a node holds.
type HeldItem struct {
	Key      string
	Revision Version
}

// Cursor is a position in the change sequence of another node's table. It is
// valid for one incarnation of that node.
type Cursor struct {
	Incarnation string
	Sequence    uint64
}

// ItemRequest asks a node for the items that changed since those that the
// requesting node holds.
type ItemRequest struct {
	// Cursor is the position after the last delta received from the same node,
	// zero for none.
	Cursor Cursor
	// AsOf is the revision up to which the requesting node knows all items, 0
	// for none.
	AsOf Version
	// Held lists the large items that the requesting node holds, whose values
	// can be the base of a patch.
	Held []HeldItem
	// AcceptsPatches is set if large values may be sent as patches.
	AcceptsPatches bool
	// AnnounceOnly asks for deltas without items.
	AnnounceOnly bool
	// CompleteLists is set by nodes of an earlier version, which take each full
	// delta for a list of all items.
	CompleteLists bool
	// WithoutEras is set by nodes of an earlier version, which know no eras.
	WithoutEras bool
}

// WatchRequest asks the platform for changes.
type WatchRequest struct {
	// After is the version up to which the caller has all items.
	After Version
	// Wait is how long the platform waits for a change.
	Wait time.Duration
	// OnBegin is called when the content of the response begins. It is optional.
	OnBegin func()
}

// ProbeRequest asks the platform for its version.
type ProbeRequest struct {
	// Held is the version that the caller holds.
	Held Version
	// Exact asks for the newest version. Without it the version may be some seconds
	// old, which costs less.
	Exact   bool
	Timeout time.Duration
}

// Delta is a set of changed items.
type Delta struct {
	// Cursor is the sender's position after this delta, from which the next
	// one continues.
	Cursor Cursor
	// AsOf is the version up to which the sender knows all items. All items but kept
	// ones are of its era.
	AsOf  Version
	Items []Item
	// Full is set when Items lists every item with a revision after FullAfter, so
	// that any other such item of the receiver was removed.
	Full      bool
	FullAfter Version
	// KeepMissingUntil is the time until which items missing from a full delta
	// stay in effect. The receiver decides if it is zero. It is not sent to other
	// nodes.
	KeepMissingUntil time.Time
	// SourceAge is the time since the platform last confirmed AsOf, including the
	// delays on the path. A sender states its age when it made the delta, to which the
	// receiver adds the time on the way.
	SourceAge time.Duration
	// WithoutEra is set if the sender is a node of an earlier version, which knows no
	// eras, so that it is not known to which one the delta belongs.
	WithoutEra bool
	// Draining is set when the sender is shutting down.
	Draining bool
	// SentAfter is the time from the receipt of the request until the sender made this
	// delta.
	SentAfter time.Duration
	// RequestedAt is when the receiver sent the request, so that the delta was made at
	// RequestedAt plus SentAfter or later. It is zero if SentAfter is not known, and
	// not sent to other nodes.
	RequestedAt time.Time
}

// Size returns the number of bytes of the keys and values of all items, as they
// are sent.
func (d *Delta) Size() int {
	n := 0
	for _, item := range d.Items {
		n += len(item.Key) + len(item.Value)
		if item.Patch != nil {
			n += len(item.Patch.Content)
		}
	}
	return n
}

// ResponseClass classifies a target's response.
type ResponseClass int

// Classes of responses.
const (
	// ResponseValid is the response to the request.
	ResponseValid ResponseClass = iota
	// ResponseMismatched is a response to another request.
	ResponseMismatched
	// ResponseShed states that the target did not run the request.
	ResponseShed
	// ResponseMisdirected states that another target uses the address.
	ResponseMisdirected
	// ResponseInvalid lacks what every response of a target has, such as its
	// signature.
	ResponseInvalid
)

// Health is the result of a target's health check.
type Health struct {
	OK bool
	// Unavailable is set if the target states that it is not healthy or is leaving.
	Unavailable bool
	// Shed is set if the target rejected the check because it is at capacity. The
	// response then does not show whether the target is healthy.
	Shed bool
	// Target is the name of the target that responded, empty if it sent none.
	Target string
	// WarmUpRemaining is the time until the target's warm-up ends.
	WarmUpRemaining time.Duration
}

// Rejection is the reason why a version was not put in force.
type Rejection struct {
	Version Version   `json:"version"`
	Reason  string    `json:"reason"`
	At      time.Time `json:"at"`
}

// RolloutStatus is the state of a node's configuration, for operators.
type RolloutStatus struct {
	// Held is the version that the node relays to others, InForce the one by
	// which it routes requests.
	Held      Version   `json:"held"`
	InForce   Version   `json:"inForce"`
	AppliedAt time.Time `json:"appliedAt"`
	// ConfirmedAt is the time at which a source last confirmed that no newer
	// version exists.
	ConfirmedAt time.Time  `json:"confirmedAt"`
	Rejection   *Rejection `json:"rejection,omitempty"`
	// EraChangedAt is when items of a later era replaced those of an earlier one, zero
	// for never. Kept is the number of items of earlier eras that stay in effect.
	EraChangedAt time.Time `json:"eraChangedAt,omitzero"`
	Kept         int       `json:"kept,omitempty"`
	// VMsHeld is the version of the VM list.
	VMsHeld uint64 `json:"vmsHeld"`
	// VMsRejection is set while the VM list held is invalid and an older one, if
	// any, is used.
	VMsRejection *Rejection `json:"vmsRejection,omitempty"`
	// Parts and Bytes are the number of parts and the total size of the version
	// held.
	Parts int `json:"parts"`
	Bytes int `json:"bytes"`
	// Stale and Incomplete count the versions that were dropped because they were
	// not newer, or because parts were missing or corrupt.
	Stale      uint64 `json:"stale"`
	Incomplete uint64 `json:"incomplete"`
}
