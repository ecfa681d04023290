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
	current := &DiscoveryClient{vm: "vm"}
	tests := map[string]struct {
		request  *controlv1.FollowRequest
		complete bool
	}{
		"this version":    {current.request(vanillabarrow.ItemRequest{}).Msg, false},
		"earlier version": {&controlv1.FollowRequest{Node: "vm", AcceptsPatches: true}, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, tt.complete, itemRequestFromProto(tt.request).CompleteLists)
		})
	}
	now := time.Now()
	d := deltaFromProto(deltaToProto(&vanillabarrow.Delta{AsOf: 9, Full: true, FullAfter: 7}, now), now, now)
	require.EqualValues(t, 7, d.FullAfter)
	require.Zero(t, deltaFromProto(&controlv1.Delta{AsOf: 9, Full: true}, now, now).FullAfter)
}
