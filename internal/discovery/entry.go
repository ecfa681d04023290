package discovery

import vanillabarrow "github.com/vanillabarrow/vanillabarrow"

// previousValues bounds the older revisions of a large item that are kept as
// bases for patches.
const previousValues = 4

// entry is an item with the table's sequence number of its last change.
type entry struct {
	item vanillabarrow.Item
	// kept is an item of an earlier era that stays in effect in place of item, nil for
	// none.
	kept     *vanillabarrow.Item
	sequence uint64
	// previous holds the older revisions of a large item, newest first.
	previous []vanillabarrow.Item
}

// inEffect returns the item that counts.
func (e *entry) inEffect() vanillabarrow.Item {
	if e.kept != nil {
		return *e.kept
	}
	return e.item
}

// revisionsToKeep returns the previous revisions of the item that replaces the
// entry's.
func (e *entry) revisionsToKeep() []vanillabarrow.Item {
	switch {
	case e == nil:
		return nil
	case !isBase(e.item):
		return e.previous
	}
	kept := append([]vanillabarrow.Item{e.item}, e.previous...)
	return kept[:min(len(kept), previousValues)]
}

// revision returns the item at a revision, if it is still kept.
func (e *entry) revision(revision vanillabarrow.Version) (vanillabarrow.Item, bool) {
	if e.item.Revision == revision && isBase(e.item) {
		return e.item, true
	}
	for _, item := range e.previous {
		if item.Revision == revision {
			return item, true
		}
	}
	return vanillabarrow.Item{}, false
}
