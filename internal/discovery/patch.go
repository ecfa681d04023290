package discovery

import (
	"errors"
	"fmt"
	"strconv"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/patch"
)

const (
	// minPatchBytes is the size in bytes from which a value is sent as a patch.
	minPatchBytes = 2 << 10
	// maxValueBytes is the maximum size in bytes of a value of the platform's
	// store.
	maxValueBytes = 1 << 20
)

// errBaseMissing is returned for a patch against a revision that was neither
// named in the request nor sent on the same stream.
var errBaseMissing = errors.New("base of the patch is not held")

// heldValues holds, by key, the large items that the receiving end of a
// connection holds. Both ends keep one, so that the sender knows which values
// can be the base of a patch.
type heldValues map[string]vanillabarrow.Item

func isLarge(item vanillabarrow.Item) bool { return len(item.Value) >= minPatchBytes }

// isBase reports whether the value of an item can be the base of a patch. That
// of a tombstone is the last one that its node knew, so it differs between
// nodes.
func isBase(item vanillabarrow.Item) bool { return isLarge(item) && !item.Removed }

// list returns the revisions of the items, to be named in a request.
func (h heldValues) list() []vanillabarrow.HeldItem {
	list := make([]vanillabarrow.HeldItem, 0, len(h))
	for key, item := range h {
		list = append(list, vanillabarrow.HeldItem{Key: key, Revision: item.Revision})
	}
	return list
}

// update notes an item that was sent. Both ends forget a removed one after the
// same delta.
func (h heldValues) update(item vanillabarrow.Item) {
	switch {
	case isBase(item):
		h[item.Key] = item
	case item.Removed:
		delete(h, item.Key)
	}
}

// patcher replaces the values of large items by patches.
type patcher struct {
	cache *patch.Cache
}

// compress replaces the large values of a delta by patches against the values
// that the receiver holds, and adds the new values to these. A value that is no
// larger than its patch stays as it is.
func (p *patcher) compress(d *vanillabarrow.Delta, held heldValues) error {
	for i, item := range d.Items {
		base := held[item.Key]
		held.update(item)
		if !isLarge(item) {
			continue
		}
		content, err := p.cache.Compress(patchKey(item, base), item.Value, base.Value)
		if err != nil {
			return fmt.Errorf("compress %s revision %d: %w", item.Key, item.Revision, err)
		}
		if len(content) < len(item.Value) {
			d.Items[i].Value = nil
			d.Items[i].Patch = &vanillabarrow.ValuePatch{Base: base.Revision, Content: content}
		}
	}
	return nil
}

func patchKey(item, base vanillabarrow.Item) patch.Key {
	return patch.Key{
		Content: item.Key + "@" + strconv.FormatUint(uint64(item.Revision), 10),
		Base:    strconv.FormatUint(uint64(base.Revision), 10),
	}
}

// decompress restores the values of a delta from patches, and adds the large
// ones to the held values.
func decompress(d *vanillabarrow.Delta, held heldValues) error {
	for i, item := range d.Items {
		if item.Patch != nil {
			value, err := applyPatch(item.Patch, held[item.Key])
			if err != nil {
				return fmt.Errorf("%s revision %d: %w", item.Key, item.Revision, err)
			}
			item.Value, item.Patch = value, nil
			d.Items[i] = item
		}
		held.update(item)
	}
	return nil
}

func applyPatch(p *vanillabarrow.ValuePatch, base vanillabarrow.Item) ([]byte, error) {
	if p.Base == 0 {
		return patch.Decompress(p.Content, nil, maxValueBytes)
	}
	if base.Revision != p.Base {
		return nil, errBaseMissing
	}
	return patch.Decompress(p.Content, base.Value, maxValueBytes)
}
