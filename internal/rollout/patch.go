package rollout

import (
	"fmt"
	"slices"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/inventory"
	"github.com/vanillabarrow/vanillabarrow/internal/patch"
)

// historyVersions is the number of recent versions of a topic whose parts are
// kept as bases for patches. historyBytes bounds their total size, except that
// the newest version is always kept.
const (
	historyVersions = 4
	historyBytes    = 4 << 20
)

// history keeps the content of the recent versions of a topic.
type history struct {
	bundles []*vanillabarrow.Bundle
	// digests holds the digests of the root and parts of each bundle.
	digests [][]string
	// blobs maps digests to content, which versions may share.
	blobs map[string][]byte
}

func newHistory() *history { return &history{blobs: map[string][]byte{}} }

func (h *history) add(b *vanillabarrow.Bundle) {
	digests := []string{inventory.Digest(b.Root)}
	h.blobs[digests[0]] = b.Root
	for _, p := range b.Parts {
		h.blobs[p.Digest] = p.Bytes
		digests = append(digests, p.Digest)
	}
	h.bundles = append(h.bundles, b)
	h.digests = append(h.digests, digests)
	for len(h.bundles) > 1 && (len(h.bundles) > historyVersions || h.size() > historyBytes) {
		h.evictOldest()
	}
}

func (h *history) size() int {
	n := 0
	for _, blob := range h.blobs {
		n += len(blob)
	}
	return n
}

func (h *history) evictOldest() {
	old := h.digests[0]
	h.bundles, h.digests = h.bundles[1:], h.digests[1:]
	for _, digest := range old {
		if !slices.ContainsFunc(h.digests, func(d []string) bool { return slices.Contains(d, digest) }) {
			delete(h.blobs, digest)
		}
	}
}

// TopicState returns the version and digests that the table holds of a topic.
func (t *Table) TopicState(topic vanillabarrow.Topic) vanillabarrow.TopicState {
	held := vanillabarrow.TopicState{Topic: topic, Parts: map[string]string{}}
	if topic == vanillabarrow.TopicAccepted {
		// Accepted versions are sent without a base, since nodes need them only
		// after a start.
		held.Version = t.HeldVersion(topic)
		return held
	}
	b := t.HeldBundle(topic)
	if b == nil {
		return held
	}
	held.Version = b.Version
	held.RootDigest = RootDigest(b)
	for _, p := range b.Parts {
		held.Parts[p.Name] = p.Digest
	}
	return held
}

// UpdateFor returns the update from the given state to the held version, nil if
// the state is not older. Parts that the receiver holds are sent by name and
// digest only. Changed parts are compressed against the receiver's version if
// the history has it.
func (t *Table) UpdateFor(held vanillabarrow.TopicState) (*vanillabarrow.Update, error) {
	t.mu.Lock()
	b := t.bundle(held.Topic)
	var blobs map[string][]byte
	if h := t.history[held.Topic]; h != nil {
		blobs = make(map[string][]byte, len(held.Parts)+1)
		for _, digest := range held.Parts {
			if blob, ok := h.blobs[digest]; ok {
				blobs[digest] = blob
			}
		}
		if blob, ok := h.blobs[held.RootDigest]; ok {
			blobs[held.RootDigest] = blob
		}
	}
	t.mu.Unlock()
	if b == nil || b.Version <= held.Version {
		return nil, nil
	}
	return t.makeUpdate(b, held, blobs)
}

func (t *Table) makeUpdate(b *vanillabarrow.Bundle, held vanillabarrow.TopicState, blobs map[string][]byte) (*vanillabarrow.Update, error) {
	u := &vanillabarrow.Update{Topic: held.Topic, Version: b.Version}
	var err error
	root := vanillabarrow.Part{Digest: RootDigest(b), Bytes: b.Root}
	if u.Root, err = t.makePatch(root, held.RootDigest, blobs); err != nil {
		return nil, err
	}
	for _, part := range b.Parts {
		p, err := t.makePatch(part, held.Parts[part.Name], blobs)
		if err != nil {
			return nil, err
		}
		u.Parts = append(u.Parts, p)
	}
	return u, nil
}

func (t *Table) makePatch(part vanillabarrow.Part, heldDigest string, blobs map[string][]byte) (vanillabarrow.Patch, error) {
	p := vanillabarrow.Patch{Name: part.Name, Digest: part.Digest}
	if heldDigest == part.Digest {
		p.Held = true
		return p, nil
	}
	base, ok := blobs[heldDigest]
	if ok && len(base) > 0 {
		p.Base = heldDigest
	}
	var err error
	p.Content, err = t.patches.Compress(patch.Key{Content: part.Digest, Base: p.Base}, part.Bytes, base)
	return p, err
}

// Assemble rebuilds the bundle of an update that was made for the table's
// state. It fails if the update refers to content that is not held, or if
// content does not match its digest. The table is not changed.
func (t *Table) Assemble(u *vanillabarrow.Update) (*vanillabarrow.Bundle, error) {
	held := t.HeldBundle(u.Topic)
	blobs := map[string][]byte{}
	if held != nil {
		blobs[RootDigest(held)] = held.Root
		for _, p := range held.Parts {
			blobs[p.Digest] = p.Bytes
		}
	}
	b := &vanillabarrow.Bundle{Topic: u.Topic, Version: u.Version}
	var err error
	if b.Root, err = applyPatch(u.Root, blobs); err != nil {
		return nil, err
	}
	for _, p := range u.Parts {
		content, err := applyPatch(p, blobs)
		if err != nil {
			return nil, err
		}
		b.Parts = append(b.Parts, vanillabarrow.Part{Name: p.Name, Digest: p.Digest, Bytes: content})
	}
	return b, nil
}

// describe returns how errors refer to the content of a patch, which is a part or
// else the root of a bundle.
func describe(p vanillabarrow.Patch) string {
	if p.Name == "" {
		return "root"
	}
	return fmt.Sprintf("part %q", p.Name)
}

func applyPatch(p vanillabarrow.Patch, blobs map[string][]byte) ([]byte, error) {
	if p.Held {
		blob, ok := blobs[p.Digest]
		if !ok {
			return nil, fmt.Errorf("%s: content with digest %q is not held", describe(p), p.Digest)
		}
		return blob, nil
	}
	var base []byte
	if p.Base != "" {
		var ok bool
		if base, ok = blobs[p.Base]; !ok {
			return nil, fmt.Errorf("%s: base of the patch, with digest %q, is not held", describe(p), p.Base)
		}
	}
	content, err := patch.Decompress(p.Content, base, inventory.MaxValueBytes)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", describe(p), err)
	}
	if digest := inventory.Digest(content); digest != p.Digest {
		return nil, fmt.Errorf("%s: digest of the content is %s, must be %q", describe(p), digest, p.Digest)
	}
	return content, nil
}
