// Package rollout holds the published versions of the configuration and the VM
// list that a node has received, decides which configuration is in force, and
// makes and applies the updates between nodes. It does no I/O.
package rollout

import (
	"bytes"
	"fmt"
	"sync/atomic"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/inventory"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
	"github.com/vanillabarrow/vanillabarrow/internal/patch"
)

// Outcome is the result of offering a bundle to a table.
type Outcome int

// Outcomes of Table.Offer.
const (
	// OutcomeStale means that the table holds the same or a newer version.
	OutcomeStale Outcome = iota
	// OutcomeIncomplete means that a part is missing or does not match its
	// digest. The bundle is dropped.
	OutcomeIncomplete
	// OutcomeRejected means that the version is invalid. It is held for other
	// nodes, but the previous version stays in force.
	OutcomeRejected
	// OutcomeApplied means that the version is in force.
	OutcomeApplied
)

var outcomeNames = map[Outcome]string{
	OutcomeStale:      "stale",
	OutcomeIncomplete: "incomplete",
	OutcomeRejected:   "rejected",
	OutcomeApplied:    "applied",
}

// String implements fmt.Stringer.
func (o Outcome) String() string { return outcomeNames[o] }

// Table holds the newest bundle of each topic, and the snapshot and VM list in
// force.
type Table struct {
	mu       *kernel.Mutex
	compiler *inventory.Compiler
	// accepted is the bundle of the snapshot in force.
	accepted *vanillabarrow.Bundle
	// held maps each topic except TopicAccepted to its newest bundle, valid or
	// not.
	held    map[vanillabarrow.Topic]*vanillabarrow.Bundle
	history map[vanillabarrow.Topic]*history
	// changed is closed and replaced at each change.
	changed chan struct{}
	patches *patch.Cache
	status  vanillabarrow.RolloutStatus

	// snapshot and vms are read without a lock.
	snapshot atomic.Pointer[vanillabarrow.Snapshot]
	vms      atomic.Pointer[vanillabarrow.VMList]
}

// New returns an empty table.
func New() *Table {
	return &Table{
		mu:       kernel.NewMutex(kernel.RankRollout),
		compiler: inventory.New(),
		held:     map[vanillabarrow.Topic]*vanillabarrow.Bundle{},
		history:  map[vanillabarrow.Topic]*history{},
		changed:  make(chan struct{}),
		patches:  patch.NewCache(),
	}
}

// Snapshot returns the snapshot in force, nil if there is none yet.
func (t *Table) Snapshot() *vanillabarrow.Snapshot { return t.snapshot.Load() }

// VMList returns the newest VM list, nil if there is none yet.
func (t *Table) VMList() *vanillabarrow.VMList { return t.vms.Load() }

// HeldBundle returns the newest bundle of the topic, nil if there is none yet.
// For TopicAccepted it returns the bundle in force while the newest
// configuration is rejected, nil otherwise.
func (t *Table) HeldBundle(topic vanillabarrow.Topic) *vanillabarrow.Bundle {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.bundle(topic)
}

// bundle is HeldBundle with the lock held.
func (t *Table) bundle(topic vanillabarrow.Topic) *vanillabarrow.Bundle {
	if topic != vanillabarrow.TopicAccepted {
		return t.held[topic]
	}
	if t.status.Rejection == nil {
		return nil
	}
	return t.accepted
}

// HeldVersion returns the newest version of the topic, 0 if there is none yet.
// For TopicAccepted that is the version in force.
func (t *Table) HeldVersion(topic vanillabarrow.Topic) vanillabarrow.Version {
	if topic == vanillabarrow.TopicAccepted {
		return t.Status().InForce
	}
	if b := t.HeldBundle(topic); b != nil {
		return b.Version
	}
	return 0
}

// Changed returns a channel that is closed when Offer next applies or rejects a
// version of any topic.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// Confirm records that a source has no newer version than the table.
func (t *Table) Confirm(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.status.ConfirmedAt = now
}

// Status returns the state shown to operators.
func (t *Table) Status() vanillabarrow.RolloutStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.status
	if b := t.held[vanillabarrow.TopicConfig]; b != nil {
		s.Held, s.Parts, s.Bytes = b.Version, len(b.Parts), b.Size()
	}
	if b := t.held[vanillabarrow.TopicVMs]; b != nil {
		s.VMsHeld = uint64(b.Version)
	}
	return s
}

// Offer takes a bundle from any source and applies it if it is newer than the
// held one, complete and valid. The error gives the cause of OutcomeIncomplete
// and OutcomeRejected, and is nil otherwise.
func (t *Table) Offer(b *vanillabarrow.Bundle, now time.Time) (Outcome, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if b.Version <= t.currentVersion(b.Topic) {
		t.status.Stale++
		return OutcomeStale, nil
	}
	if err := checkComplete(b, t.held[b.Topic]); err != nil {
		t.status.Incomplete++
		return OutcomeIncomplete, err
	}
	if b.Topic != vanillabarrow.TopicAccepted {
		t.store(b)
	}
	err := t.apply(b, now)
	t.status.ConfirmedAt = now
	close(t.changed)
	t.changed = make(chan struct{})
	if err != nil {
		return OutcomeRejected, err
	}
	return OutcomeApplied, nil
}

// currentVersion returns the version that a bundle of the topic must exceed to
// be newer.
func (t *Table) currentVersion(topic vanillabarrow.Topic) vanillabarrow.Version {
	if topic == vanillabarrow.TopicAccepted {
		return t.status.InForce
	}
	if held := t.held[topic]; held != nil {
		return held.Version
	}
	return 0
}

// store makes the bundle the newest of its topic and adds it to the history.
func (t *Table) store(b *vanillabarrow.Bundle) {
	t.held[b.Topic] = b
	if t.history[b.Topic] == nil {
		t.history[b.Topic] = newHistory()
	}
	t.history[b.Topic].add(b)
}

// apply decodes the bundle and puts it into force. If it is invalid, the
// previous VM list or snapshot stays in force and the status shows the
// rejection. An accepted version does not clear the rejection, because the
// newest one is still invalid.
func (t *Table) apply(b *vanillabarrow.Bundle, now time.Time) error {
	if b.Topic == vanillabarrow.TopicVMs {
		return t.applyVMList(b, now)
	}
	snapshot, err := t.compiler.Compile(b)
	if err != nil && b.Topic == vanillabarrow.TopicAccepted {
		return err
	}
	if err != nil {
		t.status.Rejection = &vanillabarrow.Rejection{Version: b.Version, Reason: err.Error(), At: now}
		return err
	}
	if b.Topic != vanillabarrow.TopicAccepted {
		t.status.Rejection = nil
	}
	t.accepted = b
	t.status.InForce = b.Version
	t.status.AppliedAt = now
	t.snapshot.Store(snapshot)
	return nil
}

func (t *Table) applyVMList(b *vanillabarrow.Bundle, now time.Time) error {
	list, err := inventory.DecodeVMList(b)
	if err != nil {
		t.status.VMsRejection = &vanillabarrow.Rejection{Version: b.Version, Reason: err.Error(), At: now}
		return err
	}
	t.status.VMsRejection = nil
	t.vms.Store(list)
	return nil
}

// checkComplete checks that the bundle has exactly the parts that its manifest
// lists, with matching digests.
func checkComplete(b, held *vanillabarrow.Bundle) error {
	if b.Topic == vanillabarrow.TopicVMs || !inventory.IsManifest(b.Root) {
		if len(b.Parts) > 0 {
			return fmt.Errorf("version %d of %s has parts without a manifest", b.Version, b.Topic)
		}
		return nil
	}
	manifest, err := inventory.DecodeManifest(string(b.Topic), b.Root)
	if err != nil {
		// A manifest that can't be decoded makes the version invalid, not
		// incomplete. The compiler rejects it.
		return nil
	}
	if len(manifest.Parts) != len(b.Parts) {
		return fmt.Errorf("version %d of %s is incomplete: got %d of %d parts", b.Version, b.Topic, len(b.Parts), len(manifest.Parts))
	}
	for i, want := range manifest.Parts {
		if err := checkPart(b.Parts[i], want, held); err != nil {
			return fmt.Errorf("version %d of %s: %w", b.Version, b.Topic, err)
		}
	}
	return nil
}

// checkPart checks that a part is the one that the manifest lists.
func checkPart(part vanillabarrow.Part, want inventory.ManifestPart, held *vanillabarrow.Bundle) error {
	switch {
	case part.Name != want.Name:
		return fmt.Errorf("part is %q, must be %q", part.Name, want.Name)
	case part.Digest != want.Digest:
		return fmt.Errorf("part %q: digest is %q, must be %q", part.Name, part.Digest, want.Digest)
	case !matchesDigest(part, held):
		return fmt.Errorf("part %q: digest of the content is %s, must be %q", part.Name, inventory.Digest(part.Bytes), want.Digest)
	}
	return nil
}

// matchesDigest reports whether a part's content has its digest. Content that
// shares its memory with the held bundle was checked with that and is not
// hashed again.
func matchesDigest(part vanillabarrow.Part, held *vanillabarrow.Bundle) bool {
	if held != nil {
		for _, p := range held.Parts {
			if p.Digest == part.Digest && len(p.Bytes) > 0 && len(p.Bytes) == len(part.Bytes) && &p.Bytes[0] == &part.Bytes[0] {
				return true
			}
		}
	}
	return inventory.Digest(part.Bytes) == part.Digest
}

// RootDigest returns the digest of a bundle's root.
func RootDigest(b *vanillabarrow.Bundle) string { return inventory.Digest(b.Root) }

// SameBundle reports whether two bundles have the same version, root and
// digests of parts.
func SameBundle(a, b *vanillabarrow.Bundle) bool {
	if a.Version != b.Version || !bytes.Equal(a.Root, b.Root) || len(a.Parts) != len(b.Parts) {
		return false
	}
	for i := range a.Parts {
		if a.Parts[i].Digest != b.Parts[i].Digest {
			return false
		}
	}
	return true
}
