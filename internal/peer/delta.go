package peer

import (
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/peer/controlv1"
)

// errVersionTooLarge is returned for a message with an era or a revision that a version
// can't hold.
var errVersionTooLarge = errors.New("version is too large")

// versionDecoder decodes the versions of a message, which are sent as revisions and, where
// they differ from that of the message, eras. err is set if one is too large.
type versionDecoder struct {
	err error
}

// decode returns the version of a revision in an era, the given one if it is absent.
func (d *versionDecoder) decode(era *uint64, absent vanillabarrow.Era, revision uint64) vanillabarrow.Version {
	n := uint64(absent)
	if era != nil {
		n = *era
	}
	if n > vanillabarrow.MaxEra || revision > vanillabarrow.MaxRevision {
		d.err = fmt.Errorf("%w: revision %d of era %d", errVersionTooLarge, revision, n)
		return 0
	}
	return vanillabarrow.NewVersion(vanillabarrow.Era(n), revision)
}

// encodeEra returns the era of a version, nil if it is that which the receiver assumes.
func encodeEra(v vanillabarrow.Version, absent vanillabarrow.Era) *uint64 {
	if v.Era() == absent {
		return nil
	}
	return proto.Uint64(uint64(v.Era()))
}

// itemRequestToProto encodes a request of the node on the given VM.
func itemRequestToProto(vm string, r vanillabarrow.ItemRequest) *controlv1.FollowRequest {
	m := &controlv1.FollowRequest{
		Node:                vm,
		Incarnation:         r.Cursor.Incarnation,
		Sequence:            r.Cursor.Sequence,
		AnnounceOnly:        r.AnnounceOnly,
		AsOf:                r.AsOf.Revision(),
		AcceptsPatches:      r.AcceptsPatches,
		AcceptsPartialLists: !r.CompleteLists,
	}
	if !r.WithoutEras {
		m.Era = proto.Uint64(uint64(r.AsOf.Era()))
	}
	for _, held := range r.Held {
		m.Held = append(m.Held, &controlv1.HeldItem{
			Key: held.Key, Revision: held.Revision.Revision(), Era: encodeEra(held.Revision, r.AsOf.Era()),
		})
	}
	return m
}

func itemRequestFromProto(m *controlv1.FollowRequest) (vanillabarrow.ItemRequest, error) {
	var versions versionDecoder
	r := vanillabarrow.ItemRequest{
		Cursor:         vanillabarrow.Cursor{Incarnation: m.GetIncarnation(), Sequence: m.GetSequence()},
		AsOf:           versions.decode(m.Era, 0, m.GetAsOf()),
		AcceptsPatches: m.GetAcceptsPatches(),
		AnnounceOnly:   m.GetAnnounceOnly(),
		CompleteLists:  !m.GetAcceptsPartialLists(),
		WithoutEras:    m.Era == nil,
	}
	for _, held := range m.GetHeld() {
		version := versions.decode(held.Era, r.AsOf.Era(), held.GetRevision())
		r.Held = append(r.Held, vanillabarrow.HeldItem{Key: held.GetKey(), Revision: version})
	}
	return r, versions.err
}

// deltaToProto encodes points in time as durations from now, so that the clocks
// of the two nodes need not agree. A receiver without eras gets neither kept items nor
// lost marks.
func deltaToProto(d *vanillabarrow.Delta, withoutEras bool, now time.Time) *controlv1.Delta {
	m := &controlv1.Delta{
		Incarnation: d.Cursor.Incarnation,
		Sequence:    d.Cursor.Sequence,
		AsOf:        d.AsOf.Revision(),
		Full:        d.Full,
		FullAfter:   d.FullAfter.Revision(),
		SourceAgeMs: uint64(max(0, d.SourceAge).Milliseconds()),
		Draining:    d.Draining,
		SentAfterMs: proto.Uint64(uint64(d.SentAfter.Milliseconds())),
	}
	if !d.WithoutEra {
		m.Era = proto.Uint64(uint64(d.AsOf.Era()))
	}
	if d.Full {
		m.FullAfterEra = encodeEra(d.FullAfter, d.AsOf.Era())
	}
	for _, item := range d.Items {
		if withoutEras && item.Kept {
			continue
		}
		item.Lost = item.Lost && !withoutEras
		m.Items = append(m.Items, itemToProto(item, d.AsOf.Era(), now))
	}
	return m
}

// itemToProto encodes an item of a delta of the given era.
func itemToProto(item vanillabarrow.Item, era vanillabarrow.Era, now time.Time) *controlv1.Item {
	m := &controlv1.Item{
		Key:       item.Key,
		Revision:  item.Revision.Revision(),
		Era:       encodeEra(item.Revision, era),
		Unchanged: item.Unchanged,
		Kept:      item.Kept,
	}
	if item.Unchanged {
		return m
	}
	m.Value = item.Value
	m.Created, m.CreatedEra = item.Created.Revision(), encodeEra(item.Created, item.Revision.Era())
	m.Removed, m.Lost = item.Removed, item.Lost
	m.KeepMs = uint64(max(0, item.KeepUntil.Sub(now)).Milliseconds())
	m.AgeMs = uint64(max(0, now.Sub(item.FirstSeenAt)).Milliseconds())
	if item.Patch != nil {
		m.Patch, m.PatchBase = item.Patch.Content, item.Patch.Base.Revision()
		m.PatchBaseEra = encodeEra(item.Patch.Base, item.Revision.Era())
	}
	return m
}

// deltaFromProto decodes a delta that was requested and received at the given times.
func deltaFromProto(m *controlv1.Delta, requestedAt, now time.Time) (*vanillabarrow.Delta, error) {
	var versions versionDecoder
	d := &vanillabarrow.Delta{
		Cursor:     vanillabarrow.Cursor{Incarnation: m.GetIncarnation(), Sequence: m.GetSequence()},
		AsOf:       versions.decode(m.Era, 0, m.GetAsOf()),
		Full:       m.GetFull(),
		SourceAge:  milliseconds(m.GetSourceAgeMs()),
		WithoutEra: m.Era == nil,
		Draining:   m.GetDraining(),
	}
	if d.Full {
		d.FullAfter = versions.decode(m.FullAfterEra, d.AsOf.Era(), m.GetFullAfter())
	}
	if m.SentAfterMs != nil {
		d.SentAfter, d.RequestedAt = milliseconds(m.GetSentAfterMs()), requestedAt
	}
	for _, item := range m.GetItems() {
		d.Items = append(d.Items, itemFromProto(item, d.AsOf.Era(), &versions, now))
	}
	if versions.err != nil {
		return nil, versions.err
	}
	return d, nil
}

// itemFromProto decodes an item of a delta of the given era.
func itemFromProto(m *controlv1.Item, era vanillabarrow.Era, versions *versionDecoder, now time.Time) vanillabarrow.Item {
	item := vanillabarrow.Item{
		Key:         m.GetKey(),
		Value:       m.GetValue(),
		Revision:    versions.decode(m.Era, era, m.GetRevision()),
		Removed:     m.GetRemoved(),
		KeepUntil:   now.Add(milliseconds(m.GetKeepMs())),
		FirstSeenAt: now.Add(-milliseconds(m.GetAgeMs())),
		Unchanged:   m.GetUnchanged(),
		Kept:        m.GetKept(),
		Lost:        m.GetLost(),
	}
	if !item.Unchanged {
		item.Created = versions.decode(m.CreatedEra, item.Revision.Era(), m.GetCreated())
	}
	if len(m.GetPatch()) > 0 {
		base := versions.decode(m.PatchBaseEra, item.Revision.Era(), m.GetPatchBase())
		item.Patch = &vanillabarrow.ValuePatch{Base: base, Content: m.GetPatch()}
	}
	return item
}

func milliseconds(n uint64) time.Duration { return time.Duration(n) * time.Millisecond }
