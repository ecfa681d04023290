package discovery

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
)

// largeStoreSource is a store over a slow link that has many targets besides its
// large value.
type largeStoreSource struct {
	*linkSource
	targets int
	// failNext makes the next response end early.
	failNext atomic.Bool
	lists    atomic.Int64
}

func (s *largeStoreSource) Probe(context.Context, vanillabarrow.ProbeRequest) (vanillabarrow.Version, error) {
	return s.since(0).AsOf, nil
}

func (s *largeStoreSource) List(ctx context.Context, _ vanillabarrow.Version) (*vanillabarrow.Delta, error) {
	s.lists.Add(1)
	d := s.since(0)
	d.Items, d.Full = append(targets(s.targets), d.Items[len(d.Items)-1:]...), true
	for i := range s.targets {
		d.Items[i].Revision = 1
	}
	return s.transfer(ctx, d)
}

func (s *largeStoreSource) Watch(ctx context.Context, r vanillabarrow.WatchRequest) (*vanillabarrow.Delta, error) {
	if s.failNext.Swap(false) {
		return nil, vanillabarrow.ErrResponseIncomplete
	}
	return s.linkSource.Watch(ctx, r)
}

// TestReaderOfLargeStoreReturnsToWatching guards against listings that go on
// after one failed watch because each takes as long as several changes.
func TestReaderOfLargeStoreReturnsToWatching(t *testing.T) {
	const (
		configBytes = 140_000
		interval    = 540 * time.Millisecond
		settled     = 8 * time.Second
		period      = 20 * time.Second
	)
	tests := map[string]struct {
		targets        int
		bytesPerSecond int
		fail           bool
	}{
		"75 targets, one failed watch":            {75, testLink, true},
		"75 targets, busy link, one failed watch": {75, testLink / 2, true},
		"4600 targets":                              {largeStoreTargets, testLink, false},
		"4600 targets, one failed watch":            {largeStoreTargets, testLink, true},
		"4600 targets, busy link":                   {largeStoreTargets, testLink / 2, false},
		"4600 targets, busy link, one failed watch": {largeStoreTargets, testLink / 2, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &largeStoreSource{linkSource: &linkSource{bytesPerSecond: tt.bytesPerSecond, maxWatchBytes: 3 << 19}, targets: tt.targets}
				s.write(configBytes)
				n := startReader(t, s)
				defer stopNodes(map[string]*node{"a1": n})
				time.Sleep(10 * time.Second)
				var checks sync.WaitGroup
				var late, lists atomic.Int64
				for elapsed := time.Duration(0); elapsed < period; elapsed += interval {
					if elapsed/interval == 2 {
						s.failNext.Store(tt.fail)
					}
					if elapsed >= settled && lists.Load() == 0 {
						lists.Store(s.lists.Load())
					}
					revision := s.write(configBytes)
					if elapsed >= settled {
						checks.Go(func() {
							time.Sleep(changeBound)
							if n.follower.Table.AsOf() < revision {
								late.Add(1)
							}
						})
					}
					time.Sleep(interval)
				}
				checks.Wait()
				require.Zero(t, late.Load(), "changes that arrived late; %d listings after the failure had passed", s.lists.Load()-lists.Load())
			})
		})
	}
}
