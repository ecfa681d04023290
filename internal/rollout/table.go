// Package rollout holds the published versions of a node and decides which
// one is in force. It does no I/O.
package rollout

import (
	"bytes"
	"fmt"
	"sync/atomic"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/inventory"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
)

// Outcome says what became of an offered bundle.
type Outcome int

// Outcomes of an offer.
const (
	// OutcomeStale means that the same or a newer version was held.
	OutcomeStale Outcome = iota
	// OutcomeIncomplete means that a part was absent or did not match its
	// digest; nothing was kept.
	OutcomeIncomplete
	// OutcomeRejected means that the version is held for relay, but that the
	// one before it stays in force.
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

// String returns the name of the outcome.
func (o Outcome) String() string { return outcomeNames[o] }

// Table holds the newest bundle of each topic and the values in force.
type Table struct {
	mu       *kernel.Mutex
	compiler *inventory.Compiler
	// accepted is the configuration in force as it was published.
	accepted *vanillabarrow.Bundle
	held     map[vanillabarrow.Topic]*vanillabarrow.Bundle
	history  map[vanillabarrow.Topic]*history
	changed  chan struct{}
	patches  *patchCache
	status   vanillabarrow.RolloutStatus

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
		patches:  newPatchCache(),
	}
}

// Snapshot returns the snapshot in force, nil before the first.
func (t *Table) Snapshot() *vanillabarrow.Snapshot { return t.snapshot.Load() }

// VMList returns the newest VM list, nil before the first.
func (t *Table) VMList() *vanillabarrow.VMList { return t.vms.Load() }

// HeldBundle returns the newest bundle of the topic, nil before the first. There is
// one of TopicAccepted only while the newest configuration is rejected.
func (t *Table) HeldBundle(topic vanillabarrow.Topic) *vanillabarrow.Bundle {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.bundle(topic)
}

func (t *Table) bundle(topic vanillabarrow.Topic) *vanillabarrow.Bundle {
	if topic != vanillabarrow.TopicAccepted {
		return t.held[topic]
	}
	if t.status.Rejection == nil {
		return nil
	}
	return t.accepted
}

// HeldVersion returns the newest version of the topic, 0 before the first.
func (t *Table) HeldVersion(topic vanillabarrow.Topic) vanillabarrow.Version {
	if topic == vanillabarrow.TopicAccepted {
		return t.Status().InForce
	}
	if b := t.HeldBundle(topic); b != nil {
		return b.Version
	}
	return 0
}

// Changed returns a channel that is closed at the next change of any topic.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// Confirm notes that a source knows nothing newer.
func (t *Table) Confirm(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.status.ConfirmedAt = now
}

// Status returns the state for operators.
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

// Offer gives the table a bundle from any source. A version that is not newer
// than the one held changes nothing. The error explains every outcome other
// than OutcomeApplied and OutcomeStale.
func (t *Table) Offer(b *vanillabarrow.Bundle, now time.Time) (Outcome, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if b.Version <= t.newest(b.Topic) {
		t.status.Stale++
		return OutcomeStale, nil
	}
	if err := checkWhole(b, t.held[b.Topic]); err != nil {
		t.status.Incomplete++
		return OutcomeIncomplete, err
	}
	if b.Topic != vanillabarrow.TopicAccepted {
		t.keep(b)
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

// newest returns the version above which a bundle of the topic is news.
func (t *Table) newest(topic vanillabarrow.Topic) vanillabarrow.Version {
	if topic == vanillabarrow.TopicAccepted {
		return t.status.InForce
	}
	if held := t.held[topic]; held != nil {
		return held.Version
	}
	return 0
}

func (t *Table) keep(b *vanillabarrow.Bundle) {
	t.held[b.Topic] = b
	if t.history[b.Topic] == nil {
		t.history[b.Topic] = newHistory()
	}
	t.history[b.Topic].add(b)
}

func (t *Table) apply(b *vanillabarrow.Bundle, now time.Time) error {
	if b.Topic == vanillabarrow.TopicVMs {
		list, err := inventory.DecodeVMList(b)
		if err != nil {
			return err
		}
		t.vms.Store(list)
		return nil
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

// checkWhole checks that the parts are those that the root names. Parts taken
// over from the held bundle have been checked with it.
func checkWhole(b, held *vanillabarrow.Bundle) error {
	if b.Topic == vanillabarrow.TopicVMs || !inventory.IsManifest(b.Root) {
		if len(b.Parts) > 0 {
			return fmt.Errorf("version %d of %s has parts without a manifest", b.Version, b.Topic)
		}
		return nil
	}
	manifest, err := inventory.DecodeManifest(string(b.Topic), b.Root)
	if err != nil {
		// A manifest that can't be read is a whole but invalid version.
		return nil
	}
	if len(manifest.Parts) != len(b.Parts) {
		return fmt.Errorf("version %d of %s has %d parts of %d", b.Version, b.Topic, len(b.Parts), len(manifest.Parts))
	}
	for i, want := range manifest.Parts {
		part := b.Parts[i]
		if part.Name != want.Name || part.Digest != want.Digest || !matches(part, held) {
			return fmt.Errorf("version %d of %s: part %q does not match its digest", b.Version, b.Topic, want.Name)
		}
	}
	return nil
}

func matches(part vanillabarrow.Part, held *vanillabarrow.Bundle) bool {
	if held != nil {
		for _, p := range held.Parts {
			if p.Digest == part.Digest && len(p.Bytes) > 0 && len(p.Bytes) == len(part.Bytes) && &p.Bytes[0] == &part.Bytes[0] {
				return true
			}
		}
	}
	return inventory.Digest(part.Bytes) == part.Digest
}

// RootDigest returns the digest of a bundle's root value.
func RootDigest(b *vanillabarrow.Bundle) string { return inventory.Digest(b.Root) }

// SameBundle reports whether two bundles carry the same bytes.
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
