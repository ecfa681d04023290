package relay_test

import (
	"context"
	"errors"
	"sync"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
)

// platformWait is how long the platform holds a watch without a change.
const platformWait = 2 * time.Second

var (
	errPartitioned = errors.New("network is partitioned")
	errDown        = errors.New("platform is down")
)

// fakePlatform is an in-memory platform with injected faults. It records when
// it was read.
type fakePlatform struct {
	mu     sync.Mutex
	values map[string][]vanillabarrow.Value
	// frozen holds the values that all reads return, nil if not frozen.
	frozen  map[string]vanillabarrow.Value
	changed chan struct{}
	down    bool
	hang    bool
	// staleReads makes every other read return the value before the newest.
	staleReads bool
	reads      []time.Time
	next       vanillabarrow.Version
}

func newFakePlatform() *fakePlatform {
	return &fakePlatform{values: map[string][]vanillabarrow.Value{}, changed: make(chan struct{})}
}

func (p *fakePlatform) publish(key string, b []byte) vanillabarrow.Version {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.next++
	p.values[key] = append(p.values[key], vanillabarrow.Value{Key: key, Revision: p.next, Bytes: b})
	p.notifyWatchers()
	return p.next
}

func (p *fakePlatform) notifyWatchers() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// set changes a fault and wakes all watches.
func (p *fakePlatform) set(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
	p.notifyWatchers()
}

func (p *fakePlatform) freeze(on bool) {
	p.set(func() {
		p.frozen = nil
		if on {
			p.frozen = map[string]vanillabarrow.Value{}
			for key, values := range p.values {
				p.frozen[key] = values[len(values)-1]
			}
		}
	})
}

// currentValue returns the value that a read sees now.
func (p *fakePlatform) currentValue(key string) (*vanillabarrow.Value, <-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return nil, p.changed, errDown
	}
	if p.frozen != nil {
		v, ok := p.frozen[key]
		if !ok {
			return nil, p.changed, nil
		}
		return &v, p.changed, nil
	}
	values := p.values[key]
	if len(values) == 0 {
		return nil, p.changed, nil
	}
	v := values[len(values)-1]
	if p.staleReads && len(p.reads)%2 == 0 && len(values) > 1 {
		v = values[len(values)-2]
	}
	return &v, p.changed, nil
}

// maxReads returns the maximum number of reads within any second.
func (p *fakePlatform) maxReads() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	worst, first := 0, 0
	for i, at := range p.reads {
		for at.Sub(p.reads[first]) >= time.Second {
			first++
		}
		worst = max(worst, i-first+1)
	}
	return worst
}

// fakeSource is the platform as seen from one data centre.
type fakeSource struct {
	fleet *fleet
	dc    string
}

func (s *fakeSource) beginRead(ctx context.Context) error {
	p := s.fleet.platform
	p.mu.Lock()
	p.reads = append(p.reads, time.Now())
	hang := p.hang
	p.mu.Unlock()
	if s.fleet.isPartitioned(s.dc, "platform") {
		<-ctx.Done()
		return errPartitioned
	}
	if hang {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

func (s *fakeSource) Read(ctx context.Context, key string) (*vanillabarrow.Value, error) {
	if err := s.beginRead(ctx); err != nil {
		return nil, err
	}
	v, _, err := s.fleet.platform.currentValue(key)
	if err == nil && v == nil {
		return nil, errDown
	}
	return v, err
}

func (s *fakeSource) Watch(ctx context.Context, key string, after vanillabarrow.Version) (*vanillabarrow.Value, error) {
	if err := s.beginRead(ctx); err != nil {
		return nil, err
	}
	timer := time.NewTimer(platformWait)
	defer timer.Stop()
	for {
		v, changed, err := s.fleet.platform.currentValue(key)
		if s.fleet.isPartitioned(s.dc, "platform") {
			<-ctx.Done()
			return nil, errPartitioned
		}
		if err != nil || (v != nil && v.Revision > after) {
			return v, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}
