package discovery

import (
	"bytes"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/patch"
)

// largeValue returns a value of about 140 KB that compresses well, with a line
// of its own for the version.
func largeValue(version byte) []byte {
	value := bytes.Repeat([]byte("prefix /a/ goes to service b\n"), 5000)
	return append(value, version)
}

// TestLargeValuesAreSentAsPatches guards against passing on a large value whole
// when the receiver lacks a part of it only.
func TestLargeValuesAreSentAsPatches(t *testing.T) {
	const maxPatchBytes = 200
	tests := map[string]struct {
		// held is the revision that the receiver names in its request.
		held     vanillabarrow.Version
		accepts  bool
		base     vanillabarrow.Version
		maxBytes int
	}{
		"newest but one":              {6, true, 6, maxPatchBytes},
		"oldest that the sender kept": {3, true, 3, maxPatchBytes},
		"older than the sender kept":  {2, true, 0, 2000},
		"nothing":                     {0, true, 0, 2000},
		"old node":                    {6, false, 0, 200_000},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			sender := NewTable("sender", valueOrder{})
			revisions := map[vanillabarrow.Version]vanillabarrow.Item{}
			for revision := vanillabarrow.Version(2); revision <= 7; revision++ {
				revisions[revision] = item("routes", string(largeValue(byte(revision))), revision)
				sender.Merge(&vanillabarrow.Delta{AsOf: revision, Items: []vanillabarrow.Item{revisions[revision]}}, now)
			}
			held := heldValues{}
			if tt.held > 0 {
				held["routes"] = revisions[tt.held]
			}
			server := NewServer(sender, vanillabarrow.DefaultBounds(), slog.New(slog.DiscardHandler), tally.NoopScope)
			d, err := server.Pull(vanillabarrow.ItemRequest{AsOf: tt.held, Held: held.list(), AcceptsPatches: tt.accepts})
			require.NoError(t, err)
			require.Len(t, d.Items, 1)
			require.LessOrEqual(t, d.Size(), tt.maxBytes)
			if tt.accepts {
				require.Equal(t, tt.base, d.Items[0].Patch.Base)
			}
			require.NoError(t, decompress(d, held))
			require.Equal(t, largeValue(7), d.Items[0].Value)
			require.Equal(t, largeValue(7), held["routes"].Value)
		})
	}
}

// TestPatchOfTheLargestValue guards against values that followers can never
// restore because of their size.
func TestPatchOfTheLargestValue(t *testing.T) {
	older := bytes.Repeat([]byte("0123456789abcdef"), maxValueBytes/16)
	newer := append([]byte("changed!"), older[8:]...)
	p := patcher{cache: patch.NewCache()}
	d := &vanillabarrow.Delta{AsOf: 2, Items: []vanillabarrow.Item{item("routes", string(newer), 2)}}
	require.NoError(t, p.compress(d, heldValues{"routes": item("routes", string(older), 1)}))
	require.NotNil(t, d.Items[0].Patch)
	require.NoError(t, decompress(d, heldValues{"routes": item("routes", string(older), 1)}))
	require.Equal(t, newer, d.Items[0].Value)
}

// TestPatchWithoutItsBaseIsRejected guards against a value that is restored from
// another revision than the one it was compressed against.
func TestPatchWithoutItsBaseIsRejected(t *testing.T) {
	older, newer := item("routes", string(largeValue(1)), 1), item("routes", string(largeValue(2)), 2)
	tests := map[string]struct {
		held heldValues
	}{
		"nothing held":          {heldValues{}},
		"another revision held": {heldValues{"routes": newer}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p := patcher{cache: patch.NewCache()}
			d := &vanillabarrow.Delta{AsOf: 3, Items: []vanillabarrow.Item{item("routes", string(largeValue(3)), 3)}}
			require.NoError(t, p.compress(d, heldValues{"routes": older}))
			require.ErrorIs(t, decompress(d, tt.held), errBaseMissing)
		})
	}
}
