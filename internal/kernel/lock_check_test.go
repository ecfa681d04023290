//go:build race || debug

package kernel

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestLockOrder(t *testing.T) {
	tests := map[string]struct {
		ranks  []LockRank
		panics bool
	}{
		"in order":     {[]LockRank{RankRollout, RankMembership, RankWorkerPool}, false},
		"out of order": {[]LockRank{RankMembership, RankRollout}, true},
		"same rank":    {[]LockRank{RankFence, RankFence}, true},
		"single lock":  {[]LockRank{RankWorkerPool}, false},
		"three locks":  {[]LockRank{RankGateTokens, RankRetryBudget, RankWorkerPool}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var taken []*Mutex
			lock := func() {
				for _, rank := range tt.ranks {
					m := NewMutex(rank)
					m.Lock()
					taken = append(taken, m)
				}
			}
			if tt.panics {
				require.Panics(t, lock)
			} else {
				require.NotPanics(t, lock)
			}
			for _, m := range taken {
				m.Unlock()
			}
		})
	}
}

func TestUnlockNotHeld(t *testing.T) {
	require.Panics(t, func() { NewMutex(RankWorkerPool).Unlock() })
}
