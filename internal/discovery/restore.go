package discovery

import (
	"slices"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
)

// EraChange describes how the items of a later era replaced those of an earlier one.
type EraChange struct {
	Before, After vanillabarrow.Version
	// Kept is the number of items of earlier eras that stay in effect, Lost that of
	// items that the copy lacks.
	Kept, Lost int
}

// beginEra replaces the items that a full delta of a later era lacks by tombstones that
// are marked as lost. The items of the delta have been stored.
func (t *Table) beginEra(listed map[string]bool, d *vanillabarrow.Delta, now time.Time) *EraChange {
	change := &EraChange{Before: t.asOf, After: d.AsOf}
	// KeepMissingUntil is for removals, but the writers of lost items write them again.
	until := now.Add(outageGracePeriod)
	for key, e := range t.entries {
		if e.kept != nil {
			change.Kept++
		}
		if listed[key] || e.item.Removed || e.item.Revision.Era() == d.AsOf.Era() {
			continue
		}
		tombstone := e.inEffect()
		if !tombstone.Removed {
			tombstone.Removed, tombstone.Lost, tombstone.KeepUntil = true, true, until
			change.Lost++
		}
		tombstone.Kept, tombstone.Revision, tombstone.FirstSeenAt = false, d.AsOf, now
		t.put(tombstone, nil, e)
	}
	// What nodes of an earlier era hold is not known, so that they get all items.
	t.listings = nil
	t.removalsFrom = max(t.removalsFrom, d.AsOf)
	t.fullSequence = t.sequence
	t.eraChangedAt, t.eraBegunAt = now, d.AsOf
	return change
}

// keptBeside returns the item of an earlier era that stays in effect when a newer item
// replaces the entry, nil for none.
func (t *Table) keptBeside(newer vanillabarrow.Item, e *entry, now time.Time) *vanillabarrow.Item {
	if e == nil {
		return nil
	}
	newer.AfterRestore = newer.Revision > t.eraBegunAt && newer.Revision.Era() == t.eraBegunAt.Era()
	if e.kept != nil && !t.order.Supersedes(newer, asWritten(*e.kept)) {
		return e.kept
	}
	if e.item.Revision.Era() == newer.Revision.Era() && !e.item.Lost {
		return nil
	}
	older := e.item
	if t.order.Supersedes(newer, asWritten(older)) {
		return nil
	}
	if now.Before(older.KeepUntil) {
		// A loss that is not in effect yet does not show that the writer removed the item.
		older = asWritten(older)
	}
	older.Kept = true
	return &older
}

// asWritten returns an item as its writer left it: one that a copy lacked was not
// removed by its writer.
func asWritten(item vanillabarrow.Item) vanillabarrow.Item {
	if item.Lost {
		item.Removed, item.Lost = false, false
	}
	return item
}

// withKnown returns a tombstone with what this table knows of the removed item beyond the
// node that sent it, which may have missed later writes. A tombstone that is no longer in
// effect does not come back into effect.
func (t *Table) withKnown(tombstone, known vanillabarrow.Item) vanillabarrow.Item {
	if known.Removed {
		tombstone.KeepUntil = earlier(tombstone.KeepUntil, known.KeepUntil)
	}
	if tombstone.Value == nil || !t.order.Supersedes(withoutRemoval(tombstone), withoutRemoval(known)) {
		tombstone.Value, tombstone.Created = known.Value, known.Created
	}
	if tombstone.Lost && !known.Lost {
		isRemoved := known.Removed && !t.order.Supersedes(withoutRemoval(tombstone), known)
		tombstone.Lost = !isRemoved && known.Revision.Era() != tombstone.Revision.Era()
	}
	return tombstone
}

// withoutRemoval returns an item as its writer wrote it last.
func withoutRemoval(item vanillabarrow.Item) vanillabarrow.Item {
	item.Removed = false
	return item
}

// putKept stores an item that another node keeps in effect, unless this node holds one
// that was written later.
func (t *Table) putKept(item vanillabarrow.Item) {
	e, ok := t.entries[item.Key]
	if !ok || item.Revision >= e.item.Revision || t.order.Supersedes(e.item, asWritten(item)) {
		return
	}
	if e.kept != nil && !t.isLaterKept(item, *e.kept) {
		return
	}
	if item.Removed {
		item = t.withKnown(item, e.inEffect())
	}
	t.sequence++
	e.kept, e.sequence = &item, t.sequence
}

// isLaterKept reports whether an item was written after another one that is kept. The
// revision of one that a copy lacked is that of the copy.
func (t *Table) isLaterKept(item, kept vanillabarrow.Item) bool {
	if item.Revision.Era() < kept.Revision.Era() {
		return !t.order.Supersedes(asWritten(kept), asWritten(item))
	}
	return item.Revision > kept.Revision && t.order.Supersedes(asWritten(item), asWritten(kept))
}

// purgeKept drops tombstones that are kept for longer than tombstoneRetention.
func (t *Table) purgeKept(now time.Time) {
	for _, e := range t.entries {
		if e.kept != nil && e.kept.Removed && now.Sub(e.kept.FirstSeenAt) > tombstoneRetention {
			t.sequence++
			e.kept, e.sequence = nil, t.sequence
		}
	}
}

// mergeWithoutEra evaluates a delta of a node that knows no eras. Its revisions may be of
// any era, so that they change nothing here.
func (t *Table) mergeWithoutEra(d *vanillabarrow.Delta, now time.Time) MergeResult {
	if !t.eraChangedAt.IsZero() {
		return MergeResult{}
	}
	version := vanillabarrow.NewVersion(t.asOf.Era(), d.AsOf.Revision())
	t.confirm(version, d.SourceAge, now)
	mayHaveNews := version > max(t.asOf, t.newsWithoutEra)
	t.newsWithoutEra = max(t.newsWithoutEra, version)
	return MergeResult{MayHaveNews: mayHaveNews}
}

// resolveRequest returns the request of a node that knows no eras with its revision in the
// era of this table. After a change of era it is not known which one is meant, so that all
// items are sent.
func (t *Table) resolveRequest(r vanillabarrow.ItemRequest) vanillabarrow.ItemRequest {
	switch {
	case !r.WithoutEras:
	case !t.eraChangedAt.IsZero():
		r.CompleteLists = true
	case r.AsOf > 0:
		r.AsOf = vanillabarrow.NewVersion(t.asOf.Era(), r.AsOf.Revision())
	}
	return r
}

// EraChangedAt returns when the items of a later era replaced those of an earlier one,
// zero for never.
func (t *Table) EraChangedAt() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.eraChangedAt
}

// KeptCount returns the number of items of earlier eras that stay in effect.
func (t *Table) KeptCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, e := range t.entries {
		if e.kept != nil {
			n++
		}
	}
	return n
}

// dropEras leaves out what only nodes that know eras can evaluate.
func dropEras(d *vanillabarrow.Delta) {
	d.Items = slices.DeleteFunc(d.Items, func(item vanillabarrow.Item) bool { return item.Kept })
	for i := range d.Items {
		d.Items[i].Lost = false
	}
}

// revisionsBetween returns the number of changes from one version to another one of the
// same era, 0 if they are of different eras.
func revisionsBetween(from, to vanillabarrow.Version) uint64 {
	if from.Era() != to.Era() || to < from {
		return 0
	}
	return to.Revision() - from.Revision()
}
