package dispatch

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
)

// TestSubsets checks that the cached subset of a service is that of its current
// snapshot, with the expired targets last.
func TestSubsets(t *testing.T) {
	names := make([]string, 3*subsetSize)
	for i := range names {
		names[i] = fmt.Sprint("i-", i)
	}
	const half = subsetSize / 2
	tests := map[string]struct {
		registered, expired []string
		want                int
	}{
		"few":                   {names[:half], nil, half},
		"many":                  {names, nil, subsetSize},
		"few and expired":       {names[:half], names[half:subsetSize], subsetSize},
		"many and many expired": {names[:2*subsetSize], names[2*subsetSize:], 2 * subsetSize},
	}
	s := newSubsets("vm")
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			service := &vanillabarrow.Service{Name: "desk", Targets: tt.registered, ExpiredTargets: tt.expired}
			got := s.of(service)
			require.Len(t, got, tt.want)
			require.Equal(t, got, s.of(service))
			require.Equal(t, subset("vm", tt.registered), slices.Clone(got[:min(len(got), len(subset("vm", tt.registered)))]))
			for _, target := range got {
				require.True(t, slices.Contains(tt.registered, target) || slices.Contains(tt.expired, target))
			}
		})
	}
}
