//go:build race || debug

package kernel

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestLockOrder(t *testing.T) {
	tests := map[string]struct {
		ranks  []Rank
		panics bool
	}{
		"in order":       {[]Rank{RankRollout, RankMembers, RankPool}, false},
		"out of order":   {[]Rank{RankMembers, RankRollout}, true},
		"same rank":      {[]Rank{RankFence, RankFence}, true},
		"one alone":      {[]Rank{RankPool}, false},
		"last then last": {[]Rank{RankTokens, RankRetry, RankPool}, false},
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

func TestUnlockByAnother(t *testing.T) {
	require.Panics(t, func() { NewMutex(RankPool).Unlock() })
}
