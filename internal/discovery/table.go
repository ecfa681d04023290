// Package discovery replicates the items of the platform's store between nodes.
// Items define targets, routes and the data centres that are out of service.
// The interfaces of the root package do the I/O.
package discovery

import (
	"cmp"
	"slices"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
)

// tombstoneRetention is how long the tombstone of a removed item is kept, so
// that a late delta from a node that was partitioned does not restore the item.
const tombstoneRetention = 5 * time.Minute

// expiredRetention is how long after its removal, as first seen by any node, an
// item is still returned as expired. Network partitions of single VMs rarely
// last longer, and every expired target costs trial requests to its gate.
const expiredRetention = 30 * time.Second

// missingGracePeriod is how long an item that a listing lacks stays in effect if the
// listing does not state it.
const missingGracePeriod = 800 * time.Millisecond

// unconfirmedAge is the SourceAge of deltas sent before the platform has
// confirmed any revision.
const unconfirmedAge = 24 * time.Hour

// Table holds the newest known revision of every item, and beside it an item of an
// earlier era that stays in effect.
type Table struct {
	mu          *kernel.Mutex
	incarnation string
	order       vanillabarrow.ItemOrder
	// entries holds items and tombstones by key.
	entries map[string]*entry
	// sequence counts the changes of entries.
	sequence    uint64
	asOf        vanillabarrow.Version
	confirmedAt time.Time
	// eraChangedAt is when the items of a later era replaced those of an earlier one,
	// zero for never.
	eraChangedAt time.Time
	// eraBegunAt is the version at which they did, so that later ones of this era were
	// written after the restore.
	eraBegunAt vanillabarrow.Version
	// newsWithoutEra is the newest version of a node that knows no eras.
	newsWithoutEra vanillabarrow.Version
	// removalsFrom is the revision from which the table knows all removals but
	// those that listings hide: it is raised by purged tombstones and forgotten
	// listings. fullSequence is the same as a sequence number: a stream whose
	// cursor is lower may lack a removal.
	removalsFrom vanillabarrow.Version
	fullSequence uint64
	// listings holds recent full deltas, the oldest first.
	listings []listing
	// changed is closed and replaced at each change.
	changed chan struct{}
	// confirmed is closed and replaced when confirmedAt advances.
	confirmed chan struct{}
}

// maxListings is the number of recent full deltas that a table remembers.
const maxListings = 32

// listing is a full delta that a table merged. It hides the removal of items that
// were created and removed between after, up to which the table knew all items
// before, and its own revision.
type listing struct {
	sequence        uint64
	after, revision vanillabarrow.Version
}

// NewTable returns an empty table. The incarnation identifies this run of the
// node. The order compares items of different eras.
func NewTable(incarnation string, order vanillabarrow.ItemOrder) *Table {
	return &Table{
		mu:          kernel.NewMutex(kernel.RankDiscovery),
		incarnation: incarnation,
		order:       order,
		entries:     map[string]*entry{},
		changed:     make(chan struct{}),
		confirmed:   make(chan struct{}),
	}
}

// MergeResult describes what a delta changed.
type MergeResult struct {
	// Changed is set if any item changed.
	Changed bool
	// EraChange is set if the delta began a later era.
	EraChange *EraChange
	// MayHaveNews is set if the delta names no era and has a higher revision than the
	// table, so that only the platform can tell whether there is something new.
	MayHaveNews bool
}

// Merge stores the items of a delta that are newer than the table's. For each key the
// newest version wins, whatever its source and order of arrival. A delta of an earlier
// era changes nothing, and neither does one of a later era that is not full.
func (t *Table) Merge(d *vanillabarrow.Delta, now time.Time) MergeResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	if d.WithoutEra && t.asOf.Era() != 0 {
		return t.mergeWithoutEra(d, now)
	}
	isLater := t.asOf > 0 && d.AsOf.Era() > t.asOf.Era()
	if d.AsOf.Era() < t.asOf.Era() || isLater && !d.Full {
		return MergeResult{}
	}
	before := t.sequence
	listed := t.putItems(d, now)
	result := MergeResult{}
	switch {
	case isLater:
		result.EraChange = t.beginEra(listed, d, now)
	case d.Full:
		t.removeMissing(listed, d, now)
		t.addListing(d.AsOf)
	}
	t.asOf = max(t.asOf, d.AsOf)
	t.confirm(d.AsOf, d.SourceAge, now)
	t.purgeTombstones(now)
	t.purgeKept(now)
	if t.sequence != before {
		result.Changed = true
		close(t.changed)
		t.changed = make(chan struct{})
	}
	return result
}

// putItems stores the items of a delta that are newer than the table's, and returns the
// keys of those that are not removed.
func (t *Table) putItems(d *vanillabarrow.Delta, now time.Time) (listed map[string]bool) {
	listed = make(map[string]bool, len(d.Items))
	for _, item := range d.Items {
		if item.Kept {
			continue
		}
		if !item.Removed {
			listed[item.Key] = true
		}
		if !item.Unchanged && t.isNews(item, d) {
			t.putIfNewer(item, now)
		}
	}
	for _, item := range d.Items {
		if item.Kept {
			t.putKept(item)
		}
	}
	return listed
}

// Confirm notes that the platform confirmed a revision as current at the given
// age. It has no effect unless it is the revision that the table holds.
func (t *Table) Confirm(asOf vanillabarrow.Version, age time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.confirm(asOf, age, now)
}

func (t *Table) confirm(asOf vanillabarrow.Version, age time.Duration, now time.Time) {
	if at := now.Add(-age); asOf == t.asOf && at.After(t.confirmedAt) {
		t.confirmedAt = at
		close(t.confirmed)
		t.confirmed = make(chan struct{})
	}
}

// isNews reports whether an item of a delta can be newer than what the table
// knows. The table knows the state of every key up to asOf, so that an older
// item which it lacks was removed since, even if no tombstone shows it.
func (t *Table) isNews(item vanillabarrow.Item, d *vanillabarrow.Delta) bool {
	return item.Revision > t.asOf || d.Full && d.AsOf >= t.asOf
}

// putIfNewer stores an item if its revision is newer than the table's. A tombstone keeps
// what the table knows of the removed item.
func (t *Table) putIfNewer(item vanillabarrow.Item, now time.Time) {
	old, ok := t.entries[item.Key]
	if ok && old.item.Revision >= item.Revision {
		return
	}
	if item.Removed && ok {
		item = t.withKnown(item, old.inEffect())
	}
	if item.FirstSeenAt.IsZero() {
		item.FirstSeenAt = now
	}
	t.put(item, t.keptBeside(item, old, now), old)
}

// put replaces the entry of an item.
func (t *Table) put(item vanillabarrow.Item, kept *vanillabarrow.Item, old *entry) {
	t.sequence++
	t.entries[item.Key] = &entry{item: item, kept: kept, sequence: t.sequence, previous: old.revisionsToKeep()}
}

// removeMissing replaces items that a full delta lacks by tombstones. Items
// that are newer than the delta stay.
func (t *Table) removeMissing(listed map[string]bool, d *vanillabarrow.Delta, now time.Time) {
	until := d.KeepMissingUntil
	if until.IsZero() {
		until = now.Add(missingGracePeriod)
	}
	for key, e := range t.entries {
		if listed[key] || e.item.Removed || e.item.Revision > d.AsOf || e.item.Revision <= d.FullAfter {
			continue
		}
		tombstone := vanillabarrow.Item{Key: key, Revision: d.AsOf, Removed: true, KeepUntil: until, FirstSeenAt: now}
		tombstone = t.withKnown(tombstone, e.inEffect())
		t.put(tombstone, nil, e)
	}
}

// addListing notes that a full delta may hide removals up to its revision.
func (t *Table) addListing(revision vanillabarrow.Version) {
	if revision <= t.asOf {
		return
	}
	t.sequence++
	t.listings = append(t.listings, listing{sequence: t.sequence, after: t.asOf, revision: revision})
	if len(t.listings) <= maxListings {
		return
	}
	oldest := t.listings[0]
	t.listings = slices.Delete(t.listings, 0, 1)
	t.removalsFrom = max(t.removalsFrom, oldest.revision)
	t.fullSequence = max(t.fullSequence, oldest.sequence)
}

// purgeTombstones deletes tombstones that are older than tombstoneRetention.
func (t *Table) purgeTombstones(now time.Time) {
	for key, e := range t.entries {
		if e.item.Removed && now.Sub(e.item.FirstSeenAt) > tombstoneRetention {
			delete(t.entries, key)
			t.removalsFrom = max(t.removalsFrom, e.item.Revision)
			t.fullSequence = max(t.fullSequence, e.sequence)
		}
	}
}

// Changed returns a channel that is closed at the next change of any item.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// Confirmed returns a channel that is closed at the next confirmation by the
// platform.
func (t *Table) Confirmed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.confirmed
}

// AsOf returns the version up to which all items are known, 0 before the first
// delta.
func (t *Table) AsOf() vanillabarrow.Version {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.asOf
}

// ConfirmedAt returns when, as far as this node knows, the platform last
// confirmed that AsOf is current.
func (t *Table) ConfirmedAt() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.confirmedAt
}

// Effective returns the items in effect and the expired ones, sorted by key,
// and when the result changes next by time alone, zero for never.
func (t *Table) Effective(now time.Time) (items []vanillabarrow.Item, nextChange time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.entries {
		item, next, ok := effectiveItem(e.inEffect(), now)
		if !ok {
			continue
		}
		if !next.IsZero() && (nextChange.IsZero() || next.Before(nextChange)) {
			nextChange = next
		}
		items = append(items, item)
	}
	slices.SortFunc(items, func(a, b vanillabarrow.Item) int { return cmp.Compare(a.Key, b.Key) })
	return items, nextChange
}

// effectiveItem returns an item as it is in effect now, marked if expired, and
// until when, zero for no limit. It returns false for an item that is neither
// in effect nor expired.
func effectiveItem(item vanillabarrow.Item, now time.Time) (effective vanillabarrow.Item, until time.Time, ok bool) {
	if !item.Removed {
		return item, time.Time{}, true
	}
	if item.Value == nil {
		return item, time.Time{}, false
	}
	if now.Before(item.KeepUntil) {
		return item, item.KeepUntil, true
	}
	item.Expired = true
	retainedUntil := item.FirstSeenAt.Add(expiredRetention)
	return item, retainedUntil, now.Before(retainedUntil)
}

// Size returns the number of items and tombstones held.
func (t *Table) Size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries)
}
