// Package discovery keeps the platform's items, which name targets, routes and
// data centres that are taken out, and passes them on between nodes. It does no
// I/O of its own.
package discovery

import (
	"cmp"
	"slices"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
)

// removedFor is how long the record of a removed item is kept, so that a late
// delta from a node that was cut off does not bring the item back.
const removedFor = 5 * time.Minute

// lapsedFor is how long a removed item is shown as lapsed. Partitions of single
// VMs that last longer are rare, and asking gates about them costs messages.
const lapsedFor = 30 * time.Second

// neverConfirmed is the age given while no word of the platform is known.
const neverConfirmed = 24 * time.Hour

// entry is an item with the table's own count of changes.
type entry struct {
	item     vanillabarrow.Item
	sequence uint64
}

// Table holds the newest revision of every item that the node knows of.
type Table struct {
	mu          *kernel.Mutex
	incarnation string
	entries     map[string]*entry
	sequence    uint64
	asOf        vanillabarrow.Version
	confirmedAt time.Time
	changed     chan struct{}
}

// NewTable returns an empty table. The incarnation names this run of the node.
func NewTable(incarnation string) *Table {
	return &Table{
		mu:          kernel.NewMutex(kernel.RankDiscovery),
		incarnation: incarnation,
		entries:     map[string]*entry{},
		changed:     make(chan struct{}),
	}
}

// Merge takes over what a delta has that is newer, and reports whether any
// item changed. For each key the newest revision wins, whichever way it came.
func (t *Table) Merge(d *vanillabarrow.Delta, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.sequence
	listed := make(map[string]bool, len(d.Items))
	for _, item := range d.Items {
		if !item.Removed {
			listed[item.Key] = true
		}
		t.put(item, now)
	}
	if d.Full {
		t.removeMissing(listed, d, now)
	}
	t.asOf = max(t.asOf, d.AsOf)
	if at := now.Add(-d.SourceAge); d.AsOf >= t.asOf && at.After(t.confirmedAt) {
		t.confirmedAt = at
	}
	t.expire(now)
	if t.sequence == before {
		return false
	}
	close(t.changed)
	t.changed = make(chan struct{})
	return true
}

// put takes over an item if it is newer than what the table has.
func (t *Table) put(item vanillabarrow.Item, now time.Time) {
	old, ok := t.entries[item.Key]
	if ok && old.item.Revision >= item.Revision {
		return
	}
	if item.Removed && item.Value == nil && ok {
		item.Value, item.Created = old.item.Value, old.item.Created
	}
	if item.LearnedAt.IsZero() {
		item.LearnedAt = now
	}
	t.sequence++
	t.entries[item.Key] = &entry{item: item, sequence: t.sequence}
}

// removeMissing records the removal of items that a listing lacks. Items that
// are newer than the listing stay.
func (t *Table) removeMissing(listed map[string]bool, d *vanillabarrow.Delta, now time.Time) {
	until := d.KeepMissingUntil
	if until.IsZero() {
		until = now.Add(relistKeep)
	}
	for key, e := range t.entries {
		if listed[key] || e.item.Removed || e.item.Revision > d.AsOf {
			continue
		}
		gone := e.item
		gone.Removed, gone.Revision, gone.LearnedAt = true, d.AsOf, now
		gone.KeepUntil = until
		t.sequence++
		t.entries[key] = &entry{item: gone, sequence: t.sequence}
	}
}

// expire forgets removals that are old.
func (t *Table) expire(now time.Time) {
	for key, e := range t.entries {
		if e.item.Removed && now.Sub(e.item.LearnedAt) > removedFor {
			delete(t.entries, key)
		}
	}
}

// Changed returns a channel that is closed at the next change of any item.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// AsOf returns the revision up to which all items are known, 0 before the
// first.
func (t *Table) AsOf() vanillabarrow.Version {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.asOf
}

// ConfirmedAt returns when the platform last confirmed AsOf, as far as this node
// has heard.
func (t *Table) ConfirmedAt() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.confirmedAt
}

// Since returns what changed since the cursor, everything when the cursor is
// of another incarnation.
func (t *Table) Since(c vanillabarrow.Cursor, now time.Time) *vanillabarrow.Delta {
	t.mu.Lock()
	defer t.mu.Unlock()
	after := c.Sequence
	whole := c.Incarnation != t.incarnation
	if whole {
		after = 0
	}
	d := &vanillabarrow.Delta{
		Cursor: vanillabarrow.Cursor{Incarnation: t.incarnation, Sequence: t.sequence},
		AsOf:   t.asOf,
		// What this node lacks is gone, even if it never knew of it.
		Full: whole,
	}
	d.SourceAge = neverConfirmed
	if !t.confirmedAt.IsZero() {
		d.SourceAge = now.Sub(t.confirmedAt)
	}
	for _, e := range t.entries {
		if e.sequence > after {
			d.Items = append(d.Items, e.item)
		}
	}
	slices.SortFunc(d.Items, func(a, b vanillabarrow.Item) int { return cmp.Compare(a.Revision, b.Revision) })
	return d
}

// Effective returns the items that count now and those that lapsed, by key, and
// when this changes next by time alone, zero for never.
func (t *Table) Effective(now time.Time) (items []vanillabarrow.Item, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.entries {
		item, next, ok := countedAs(e.item, now)
		if !ok {
			continue
		}
		if !next.IsZero() && (until.IsZero() || next.Before(until)) {
			until = next
		}
		items = append(items, item)
	}
	slices.SortFunc(items, func(a, b vanillabarrow.Item) int { return cmp.Compare(a.Key, b.Key) })
	return items, until
}

// countedAs returns how an item counts now and until when, and false for one
// that does not.
func countedAs(item vanillabarrow.Item, now time.Time) (counted vanillabarrow.Item, until time.Time, ok bool) {
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
	forgotten := item.LearnedAt.Add(lapsedFor)
	return item, forgotten, now.Before(forgotten)
}

// Size returns the number of items and removals held.
func (t *Table) Size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries)
}
