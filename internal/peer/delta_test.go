package peer

import (
	"net/http"
	"net/url"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/peer/controlv1"
	"github.com/vanillabarrow/vanillabarrow/internal/property"
)

// drawVersion draws a version, often of an era that others have too. Without eras, it is
// of era 0.
func drawVersion(t *rapid.T, label string, withoutEras bool) vanillabarrow.Version {
	era := vanillabarrow.Era(rapid.OneOf(rapid.Uint32Range(0, 3), rapid.Uint32Range(0, vanillabarrow.MaxEra)).Draw(t, label+" era"))
	if withoutEras {
		era = 0
	}
	return vanillabarrow.NewVersion(era, rapid.OneOf(rapid.Uint64Range(0, 9), rapid.Uint64Range(0, vanillabarrow.MaxRevision)).Draw(t, label))
}

func drawItem(t *rapid.T, now time.Time, withoutEras bool) vanillabarrow.Item {
	item := vanillabarrow.Item{
		Key: rapid.String().Draw(t, "key"), Revision: drawVersion(t, "revision", withoutEras), KeepUntil: now, FirstSeenAt: now,
		Kept: !withoutEras && rapid.Bool().Draw(t, "kept"),
	}
	if item.Unchanged = rapid.Bool().Draw(t, "unchanged"); item.Unchanged {
		return item
	}
	item.Created = drawVersion(t, "created", withoutEras)
	item.Removed = rapid.Bool().Draw(t, "removed")
	item.Lost = item.Removed && !withoutEras && rapid.Bool().Draw(t, "lost")
	item.KeepUntil = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "keep")) * time.Millisecond)
	item.FirstSeenAt = now.Add(-time.Duration(rapid.IntRange(0, 5000).Draw(t, "age")) * time.Millisecond)
	content := rapid.SliceOfN(rapid.Byte(), 1, 9).Draw(t, "content")
	if rapid.Bool().Draw(t, "patched") {
		item.Patch = &vanillabarrow.ValuePatch{Base: drawVersion(t, "base", withoutEras), Content: content}
	} else {
		item.Value = content
	}
	return item
}

// resend returns the message as its receiver decodes it.
func resend[M proto.Message](t require.TestingT, m, received M) M {
	b, err := proto.Marshal(m)
	require.NoError(t, err)
	require.NoError(t, proto.Unmarshal(b, received))
	return received
}

// TestMessagesKeepVersions guards against a version that changes its era on the way.
func TestMessagesKeepVersions(t *testing.T) {
	now := time.Now()
	property.Check(t, func(t *rapid.T) {
		without := rapid.Bool().Draw(t, "without eras")
		r := vanillabarrow.ItemRequest{
			Cursor: vanillabarrow.Cursor{Incarnation: "a", Sequence: rapid.Uint64().Draw(t, "sequence")}, AsOf: drawVersion(t, "asOf", without),
			AcceptsPatches: rapid.Bool().Draw(t, "patches"), AnnounceOnly: rapid.Bool().Draw(t, "announce"),
			CompleteLists: rapid.Bool().Draw(t, "complete"), WithoutEras: without,
		}
		d := vanillabarrow.Delta{
			Cursor: r.Cursor, AsOf: drawVersion(t, "delta", without), Full: rapid.Bool().Draw(t, "full"),
			SourceAge: time.Second, WithoutEra: without, Draining: r.AnnounceOnly, SentAfter: time.Minute, RequestedAt: now,
		}
		if d.Full {
			d.FullAfter = drawVersion(t, "full after", without)
		}
		for range rapid.IntRange(0, 4).Draw(t, "items") {
			d.Items = append(d.Items, drawItem(t, now, without))
			r.Held = append(r.Held, vanillabarrow.HeldItem{Key: "k", Revision: drawVersion(t, "held", without)})
		}
		request, err := itemRequestFromProto(resend(t, itemRequestToProto("vm", r), &controlv1.FollowRequest{}))
		require.NoError(t, err)
		require.Equal(t, r, request)
		delta, err := deltaFromProto(resend(t, deltaToProto(&d, without, now), &controlv1.Delta{}), now, now)
		require.NoError(t, err)
		require.Equal(t, &d, delta)
	})
}

// TestMessagesOfPreviousBuild guards against a node of the previous build that reads other
// revisions than it did, or gets items of an earlier era, and against an era that is made
// up for its messages.
func TestMessagesOfPreviousBuild(t *testing.T) {
	now := time.Now()
	version := func(era vanillabarrow.Era, revision uint64) vanillabarrow.Version {
		return vanillabarrow.NewVersion(era, revision)
	}
	d := deltaToProto(&vanillabarrow.Delta{AsOf: version(3, 40), Full: true, FullAfter: version(2, 30), Items: []vanillabarrow.Item{
		{Key: "kept", Revision: version(2, 50), Kept: true},
		{Key: "kept", Revision: version(3, 20), Created: version(2, 10)},
		{Key: "lost", Revision: version(3, 40), Removed: true, Lost: true, Patch: &vanillabarrow.ValuePatch{Base: version(2, 7), Content: []byte("p")}},
	}}, true, now)
	require.Len(t, d.GetItems(), 2)
	require.False(t, d.GetItems()[1].GetLost())
	// The previous build knows none of these fields.
	d.Era, d.FullAfterEra = nil, nil
	for _, item := range d.GetItems() {
		item.Era, item.CreatedEra, item.PatchBaseEra = nil, nil, nil
	}
	read, err := deltaFromProto(resend(t, d, &controlv1.Delta{}), now, now)
	require.NoError(t, err)
	require.True(t, read.WithoutEra)
	first, second := read.Items[0], read.Items[1]
	require.Equal(t, []vanillabarrow.Version{40, 30, 20, 10, 40, 7}, []vanillabarrow.Version{
		read.AsOf, read.FullAfter, first.Revision, first.Created, second.Revision, second.Patch.Base,
	})
	r := itemRequestToProto("vm", vanillabarrow.ItemRequest{AsOf: version(3, 40), Held: []vanillabarrow.HeldItem{{Key: "a", Revision: version(2, 9)}}})
	r.Era, r.Held[0].Era = nil, nil
	request, err := itemRequestFromProto(resend(t, r, &controlv1.FollowRequest{}))
	require.NoError(t, err)
	require.Equal(t, vanillabarrow.ItemRequest{AsOf: 40, Held: []vanillabarrow.HeldItem{{Key: "a", Revision: 9}}, WithoutEras: true}, request)
}

// TestTooLargeVersions guards against an era or a revision that wraps around to a version
// that exists.
func TestTooLargeVersions(t *testing.T) {
	era, revision := proto.Uint64(vanillabarrow.MaxEra+1), uint64(vanillabarrow.MaxRevision+1)
	deltas := map[string]*controlv1.Delta{
		"era":            {Era: era},
		"revision":       {AsOf: revision},
		"full after":     {Full: true, FullAfterEra: era},
		"item":           {Items: []*controlv1.Item{{Era: era}, {}}},
		"unchanged item": {Items: []*controlv1.Item{{Era: era, Unchanged: true}}},
		"created":        {Items: []*controlv1.Item{{CreatedEra: era}}},
		"patch base":     {Items: []*controlv1.Item{{Patch: []byte("p"), PatchBaseEra: era}}},
		"above 32 bits":  {Era: proto.Uint64(1 << 32)},
	}
	for name, m := range deltas {
		t.Run(name, func(t *testing.T) {
			_, err := deltaFromProto(m, time.Now(), time.Now())
			require.ErrorIs(t, err, errVersionTooLarge)
		})
	}
	for _, m := range []*controlv1.FollowRequest{{Era: era}, {AsOf: revision}, {Held: []*controlv1.HeldItem{{Era: era}}}} {
		_, err := itemRequestFromProto(m)
		require.ErrorIs(t, err, errVersionTooLarge)
	}
}

// TestVersionOfAttempt guards against attempts whose version loses its era, and against a
// malformed one that counts as newer than that of the gate.
func TestVersionOfAttempt(t *testing.T) {
	tests := map[string]struct {
		text string
		want vanillabarrow.Version
	}{
		"revision":                     {"49", 49},
		"era":                          {"1/49", vanillabarrow.NewVersion(1<<4, 49)},
		"restore not announced":        {"2.1/49", vanillabarrow.NewVersion(2<<4|1, 49)},
		"none":                         {"", 0},
		"no number":                    {"new", 0},
		"revision too large":           {"70368744177664", 0},
		"era too large":                {"16384/49", 0},
		"number that has an era in it": {"18446744073709551615", 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, tt.want, parseVersion(tt.text))
			if tt.want == 0 {
				return
			}
			h := http.Header{}
			writeAttempt(h, &vanillabarrow.Attempt{
				ID: "a", Target: &vanillabarrow.Target{Name: "t"}, Request: &vanillabarrow.Request{}, Version: tt.want,
			}, "vm", time.Now())
			require.Equal(t, tt.text, h.Get(headerVersion))
			a, err := readAttempt(&http.Request{Header: h, URL: &url.URL{}}, time.Now())
			require.NoError(t, err)
			require.Equal(t, tt.want, a.Version)
		})
	}
}
