package discovery

import (
	"cmp"
	"slices"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
)

// Since returns the items that the node which sent the request lacks: those
// after its cursor, if that is of this incarnation, or else those with a
// revision after AsOf. The delta is full if the table may not know every removal
// that the node lacks, for the revisions that this concerns.
func (t *Table) Since(r vanillabarrow.ItemRequest, now time.Time) *vanillabarrow.Delta {
	t.mu.Lock()
	defer t.mu.Unlock()
	r = t.resolveRequest(r)
	byCursor := r.Cursor.Incarnation == t.incarnation
	isHeld, full, fullAfter := t.holdings(r)
	if r.CompleteLists {
		fullAfter = 0
	}
	d := &vanillabarrow.Delta{
		Cursor:    vanillabarrow.Cursor{Incarnation: t.incarnation, Sequence: t.sequence},
		AsOf:      t.asOf,
		Full:      full,
		FullAfter: fullAfter,
		SourceAge: unconfirmedAge,
	}
	if !t.confirmedAt.IsZero() {
		d.SourceAge = now.Sub(t.confirmedAt)
	}
	for _, e := range t.entries {
		if e.kept != nil && (!byCursor || !isHeld(e)) {
			d.Items = append(d.Items, *e.kept)
		}
		switch {
		case !isHeld(e):
			d.Items = append(d.Items, e.item)
		case full && !e.item.Removed && e.item.Revision > fullAfter:
			d.Items = append(d.Items, vanillabarrow.Item{Key: e.item.Key, Revision: e.item.Revision, Unchanged: true})
		}
	}
	slices.SortFunc(d.Items, func(a, b vanillabarrow.Item) int { return cmp.Compare(a.Revision, b.Revision) })
	return d
}

// holdings returns which entries the node that sent a request holds, and whether
// it needs a full delta to learn of removals, and if so after which revision.
func (t *Table) holdings(r vanillabarrow.ItemRequest) (isHeld func(*entry) bool, full bool, fullAfter vanillabarrow.Version) {
	if r.Cursor.Incarnation == t.incarnation {
		full, fullAfter = t.hiddenRemovals(func(l listing) bool { return l.sequence > r.Cursor.Sequence })
		isHeld = func(e *entry) bool { return e.sequence <= r.Cursor.Sequence }
		if r.Cursor.Sequence < t.fullSequence {
			return isHeld, true, 0
		}
		return isHeld, full, fullAfter
	}
	full, fullAfter = t.hiddenRemovals(func(l listing) bool { return l.revision > r.AsOf })
	isHeld = func(e *entry) bool { return e.item.Revision <= r.AsOf }
	if r.AsOf == 0 || r.AsOf < t.removalsFrom {
		return isHeld, true, 0
	}
	return isHeld, full, fullAfter
}

// hiddenRemovals reports whether any of the listings that a node has not received
// hides removals, and after which revision.
func (t *Table) hiddenRemovals(isNews func(listing) bool) (hidden bool, after vanillabarrow.Version) {
	for _, l := range t.listings {
		if !isNews(l) {
			continue
		}
		if !hidden || l.after < after {
			after = l.after
		}
		hidden = true
	}
	return hidden, after
}

// bases returns the items that the table holds and whose values can be the base
// of a patch.
func (t *Table) bases() heldValues {
	t.mu.Lock()
	defer t.mu.Unlock()
	held := heldValues{}
	for key, e := range t.entries {
		if isBase(e.item) {
			held[key] = e.item
		}
	}
	return held
}

// basesOf returns those of the listed revisions that the table still has.
func (t *Table) basesOf(list []vanillabarrow.HeldItem) heldValues {
	t.mu.Lock()
	defer t.mu.Unlock()
	held := heldValues{}
	for _, h := range list {
		e, ok := t.entries[h.Key]
		if !ok {
			continue
		}
		if item, ok := e.revision(h.Revision); ok {
			held[h.Key] = item
		}
	}
	return held
}
