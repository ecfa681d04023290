package peer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/peer/controlv1"
)

// TestPartialListsBetweenVersions checks that nodes of an earlier version get
// lists of all items, and that their deltas are taken for such lists.
func TestPartialListsBetweenVersions(t *testing.T) {
	tests := map[string]struct {
		request  *controlv1.FollowRequest
		complete bool
	}{
		"this version":    {itemRequestToProto("vm", vanillabarrow.ItemRequest{}), false},
		"earlier version": {&controlv1.FollowRequest{Node: "vm", AcceptsPatches: true}, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			request, err := itemRequestFromProto(tt.request)
			require.NoError(t, err)
			require.Equal(t, tt.complete, request.CompleteLists)
		})
	}
	now := time.Now()
	d, err := deltaFromProto(deltaToProto(&vanillabarrow.Delta{AsOf: 9, Full: true, FullAfter: 7}, false, now), now, now)
	require.NoError(t, err)
	require.EqualValues(t, 7, d.FullAfter)
	d, err = deltaFromProto(&controlv1.Delta{AsOf: 9, Full: true}, now, now)
	require.NoError(t, err)
	require.Zero(t, d.FullAfter)
}
