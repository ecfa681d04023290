package vanillabarrow_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
)

func ExampleVersion() {
	before := vanillabarrow.NewVersion(0, 316)
	era, _ := vanillabarrow.NewEra(2)
	after := vanillabarrow.NewVersion(era, 15)
	fmt.Println(before, after, after > before)
	// Output: 316 2/15 true
}

// TestVersionText guards against versions that are not the same after a log line, a
// dump or a message between nodes.
func TestVersionText(t *testing.T) {
	two, _ := vanillabarrow.NewEra(2)
	next, _ := two.Next()
	last, _ := vanillabarrow.NewEra(vanillabarrow.MaxStoreEra)
	tests := map[string]struct {
		version    vanillabarrow.Version
		text, json string
	}{
		"none":             {0, "0", "0"},
		"revision":         {316, "316", "316"},
		"era":              {vanillabarrow.NewVersion(two, 15), "2/15", `"2/15"`},
		"not announced":    {vanillabarrow.NewVersion(next, 15), "2.1/15", `"2.1/15"`},
		"largest":          {vanillabarrow.NewVersion(last, vanillabarrow.MaxRevision), "16383/70368744177663", `"16383/70368744177663"`},
		"revision too big": {vanillabarrow.NewVersion(two, vanillabarrow.MaxRevision+1), "2/70368744177663", `"2/70368744177663"`},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, tt.text, tt.version.String())
			parsed, err := vanillabarrow.ParseVersion(tt.text)
			require.NoError(t, err)
			require.Equal(t, tt.version, parsed)
			b, err := json.Marshal(tt.version)
			require.NoError(t, err)
			require.Equal(t, tt.json, string(b))
			var decoded vanillabarrow.Version
			require.NoError(t, json.Unmarshal(b, &decoded))
			require.Equal(t, tt.version, decoded)
		})
	}
	for _, text := range []string{"", "/", "2/", "/15", "-1", "2/x", "2./15", "2.16/15", "16384/1", "1/70368744177664", "1/2/3", "70368744177664"} {
		_, err := vanillabarrow.ParseVersion(text)
		require.ErrorIs(t, err, vanillabarrow.ErrInvalidVersion, text)
	}
}

// TestErasAreOrdered guards against a revision of an earlier era that counts as newer.
func TestErasAreOrdered(t *testing.T) {
	zero := vanillabarrow.Era(0)
	zeroNext, ok := zero.Next()
	require.True(t, ok)
	one, _ := vanillabarrow.NewEra(1)
	oneNext, _ := one.Next()
	two, _ := vanillabarrow.NewEra(2)
	eras := []vanillabarrow.Era{zero, zeroNext, one, oneNext, two}
	for i := range eras[1:] {
		require.Less(t, vanillabarrow.NewVersion(eras[i], vanillabarrow.MaxRevision), vanillabarrow.NewVersion(eras[i+1], 1))
	}
	_, ok = vanillabarrow.NewEra(vanillabarrow.MaxStoreEra + 1)
	require.False(t, ok)
	for range 15 {
		zeroNext, ok = zeroNext.Next()
		require.True(t, ok)
	}
	require.Equal(t, one, zeroNext, "the next one that a store could state")
	_, ok = vanillabarrow.Era(vanillabarrow.MaxEra).Next()
	require.False(t, ok)
}
