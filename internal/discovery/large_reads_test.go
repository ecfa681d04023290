package discovery

import (
	"context"
	"errors"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
	"github.com/vanillabarrow/vanillabarrow/internal/membership"
	"github.com/vanillabarrow/vanillabarrow/internal/sleep"
)

const (
	// testLink is the capacity of a node's link in bytes per second.
	testLink = 10_000_000 / 8
	// changeBound is the bound on the time from a change to its receipt.
	changeBound = 2500 * time.Millisecond
)

// linkSource is a node's access over a slow link to a store that holds every
// version of one key.
type linkSource struct {
	mu sync.Mutex
	// versions are the values of the key by revision, from 1 on.
	versions []vanillabarrow.Item
	// bytesPerSecond is the capacity of the link for encoded values.
	bytesPerSecond int
	// cutAfter is the time after which a response is cut, 0 for never.
	cutAfter time.Duration
	// maxWatchBytes limits the response to a watch, 0 for no limit.
	maxWatchBytes int
}

func (s *linkSource) write(size int) vanillabarrow.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	revision := vanillabarrow.Version(len(s.versions) + 1)
	s.versions = append(s.versions, item("config", strings.Repeat("x", size), revision))
	return revision
}

func (s *linkSource) since(after vanillabarrow.Version) *vanillabarrow.Delta {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &vanillabarrow.Delta{AsOf: vanillabarrow.Version(len(s.versions)), Items: s.versions[after:]}
}

func (s *linkSource) Probe(context.Context, vanillabarrow.ProbeRequest) (vanillabarrow.Version, error) {
	return s.since(0).AsOf, nil
}

func (s *linkSource) List(ctx context.Context, _ vanillabarrow.Version) (*vanillabarrow.Delta, error) {
	d := s.since(0)
	d.Items, d.Full = d.Items[len(d.Items)-1:], true
	return s.transfer(ctx, d)
}

func (s *linkSource) Watch(ctx context.Context, r vanillabarrow.WatchRequest) (*vanillabarrow.Delta, error) {
	const pollInterval = 10 * time.Millisecond
	after, wait := r.After, r.Wait
	d := s.since(after)
	for ; len(d.Items) == 0 && wait > 0; wait -= pollInterval {
		if !sleep.For(ctx, pollInterval) {
			return nil, ctx.Err()
		}
		d = s.since(after)
	}
	if r.OnBegin != nil {
		r.OnBegin()
	}
	if s.maxWatchBytes > 0 && encodedSize(d) > s.maxWatchBytes {
		sleep.For(ctx, s.transferTime(s.maxWatchBytes))
		return nil, vanillabarrow.ErrResponseTooLarge
	}
	return s.transfer(ctx, d)
}

// transfer returns the response after the time that the link needs for it.
func (s *linkSource) transfer(ctx context.Context, d *vanillabarrow.Delta) (*vanillabarrow.Delta, error) {
	took := s.transferTime(encodedSize(d))
	if s.cutAfter > 0 && took > s.cutAfter {
		sleep.For(ctx, s.cutAfter)
		return nil, vanillabarrow.ErrResponseIncomplete
	}
	if !sleep.For(ctx, took) {
		return nil, ctx.Err()
	}
	return d, nil
}

func (s *linkSource) transferTime(size int) time.Duration {
	return time.Duration(size) * time.Second / time.Duration(s.bytesPerSecond)
}

// encodedSize returns the size of the items with their values as base64.
func encodedSize(d *vanillabarrow.Delta) int { return d.Size() * 4 / 3 }

// startReader starts the only reader of the source.
func startReader(t *testing.T, s vanillabarrow.ItemSource) *node {
	logger := slog.New(slog.DiscardHandler)
	n := &node{pool: kernel.NewPool(kernel.DefaultPoolConfig(), logger)}
	n.follower = NewFollower(Config{
		Table: NewTable("a1", valueOrder{}), Members: membership.New("a1", "a", 1), Source: s, Compiler: fakeCompiler{vms: []string{"a1", "a2", "b1"}},
		Relay: &fakeRelay{servers: map[string]*Server{}},
		Pool:  n.pool, Logger: logger, Scope: tally.NoopScope, SelfAddress: "a1", FleetSize: 3, ReadBudget: 100,
	})
	require.NoError(t, n.follower.Start())
	return n
}

// largeValueCase is a store with a value that changes for a while, and the link
// of its reader.
type largeValueCase struct {
	size           int
	interval       time.Duration
	period         time.Duration
	bytesPerSecond int
	cutAfter       time.Duration
	maxWatchBytes  int
	// onlyLast is set if only the last version has to arrive in time.
	onlyLast bool
}

// TestLargeValueThatChangesOften checks that a reader gets each version of a
// large value, or a newer one, in time.
func TestLargeValueThatChangesOften(t *testing.T) {
	tests := map[string]largeValueCase{
		"responses cut after 700 ms": {
			size: 140_000, interval: 200 * time.Millisecond, period: 5 * time.Second, bytesPerSecond: testLink,
			cutAfter: 700 * time.Millisecond,
		},
		"responses of a busy link cut after 700 ms": {
			size: 140_000, interval: 200 * time.Millisecond, period: 5 * time.Second, bytesPerSecond: testLink / 2,
			cutAfter: 700 * time.Millisecond,
		},
		"responses of a busy link cut after a second": {
			size: 140_000, interval: 200 * time.Millisecond, period: 5 * time.Second, bytesPerSecond: testLink / 2,
			cutAfter: time.Second,
		},
		"whole link": {
			size: 140_000, interval: 200 * time.Millisecond, period: 5 * time.Second, bytesPerSecond: testLink,
			maxWatchBytes: 3 << 19,
		},
		"busy link": {
			size: 140_000, interval: 200 * time.Millisecond, period: 5 * time.Second, bytesPerSecond: testLink / 2,
			maxWatchBytes: 3 << 19,
		},
		"watches over the size limit": {
			size: 480_000, interval: 80 * time.Millisecond, period: 2 * time.Second, bytesPerSecond: testLink,
			maxWatchBytes: 3 << 19, onlyLast: true,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, tt.run)
		})
	}
}

func (tt largeValueCase) run(t *testing.T) {
	s := &linkSource{bytesPerSecond: tt.bytesPerSecond, cutAfter: tt.cutAfter, maxWatchBytes: tt.maxWatchBytes}
	s.write(tt.size)
	n := startReader(t, s)
	defer stopNodes(map[string]*node{"a1": n})
	time.Sleep(5 * time.Second)
	var checks sync.WaitGroup
	late := make(chan vanillabarrow.Version, int(tt.period/tt.interval)+1)
	for elapsed := time.Duration(0); elapsed < tt.period; elapsed += tt.interval {
		revision := s.write(tt.size)
		if !tt.onlyLast || elapsed+tt.interval >= tt.period {
			checks.Go(func() {
				time.Sleep(changeBound)
				if n.follower.Table.AsOf() < revision {
					late <- revision
				}
			})
		}
		time.Sleep(tt.interval)
	}
	checks.Wait()
	close(late)
	var revisions []vanillabarrow.Version
	for revision := range late {
		revisions = append(revisions, revision)
	}
	require.Empty(t, revisions, "revisions that did not arrive in time")
}

// incompleteSource is a source whose watches fail with incomplete responses
// while it is unavailable.
type incompleteSource struct{ *fakeSource }

func (s incompleteSource) Watch(ctx context.Context, r vanillabarrow.WatchRequest) (*vanillabarrow.Delta, error) {
	d, err := s.fakeSource.Watch(ctx, r)
	if errors.Is(err, errUnavailable) {
		err = vanillabarrow.ErrResponseIncomplete
	}
	return d, err
}

// TestListingAfterIncompleteWatchKeepsTargets checks that a target that is
// missing from the listing after an outage stays in force until its writer had
// time to write it again.
func TestListingAfterIncompleteWatchKeepsTargets(t *testing.T) {
	tests := map[string]struct {
		outage       time.Duration
		inForceAfter time.Duration
		goneAfter    time.Duration
	}{
		"outage":           {4 * time.Second, 1900 * time.Millisecond, 6 * time.Second},
		"one failed watch": {100 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &fakeStore{values: map[string]string{}}
				store.write("target", false)
				s := incompleteSource{&fakeSource{mu: &sync.Mutex{}, store: store}}
				n := startReader(t, s)
				defer stopNodes(map[string]*node{"a1": n})
				time.Sleep(3 * time.Second)
				s.set(func() { s.unavailable = true })
				time.Sleep(tt.outage)
				s.set(func() {
					store.write("target", true)
					s.unavailable = false
				})
				time.Sleep(tt.inForceAfter)
				require.True(t, n.has("target"))
				time.Sleep(tt.goneAfter - tt.inForceAfter)
				require.False(t, n.has("target"))
			})
		})
	}
}
