package discovery

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
)

// formerRelay is a relay whose nodes at some addresses are of the former build: what they
// send and receive has no eras.
type formerRelay struct {
	*fakeRelay
	former map[string]bool
	// self is the address of the node that uses the relay.
	self string
}

func (r formerRelay) request(address string, request vanillabarrow.ItemRequest) vanillabarrow.ItemRequest {
	if r.former[address] != r.former[r.self] {
		request.AsOf, request.Held, request.WithoutEras = rawVersion(request.AsOf), nil, r.former[r.self]
	}
	return request
}

// convert returns a delta as it arrives from a node of the other build.
func (r formerRelay) convert(address string, d *vanillabarrow.Delta) *vanillabarrow.Delta {
	if r.former[address] == r.former[r.self] {
		return d
	}
	c := *d
	c.AsOf, c.FullAfter, c.WithoutEra = rawVersion(d.AsOf), rawVersion(d.FullAfter), r.former[address]
	c.Items = make([]vanillabarrow.Item, 0, len(d.Items))
	for _, it := range d.Items {
		it.Revision, it.Created = rawVersion(it.Revision), rawVersion(it.Created)
		c.Items = append(c.Items, it)
	}
	return &c
}

func (r formerRelay) Pull(ctx context.Context, address string, request vanillabarrow.ItemRequest) (*vanillabarrow.Delta, error) {
	d, err := r.fakeRelay.Pull(ctx, address, r.request(address, request))
	if err != nil {
		return nil, err
	}
	return r.convert(address, d), nil
}

func (r formerRelay) Follow(ctx context.Context, address string, request vanillabarrow.ItemRequest, receive func(*vanillabarrow.Delta) error) error {
	return r.fakeRelay.Follow(ctx, address, r.request(address, request), func(d *vanillabarrow.Delta) error {
		return receive(r.convert(address, d))
	})
}

// formerSource is the access to the store of a node of the former build, which reads no
// eras.
type formerSource struct{ *fakeSource }

func (s formerSource) List(ctx context.Context, held vanillabarrow.Version) (*vanillabarrow.Delta, error) {
	d, err := s.fakeSource.List(ctx, held)
	return withoutEras(d), err
}

func (s formerSource) Watch(ctx context.Context, r vanillabarrow.WatchRequest) (*vanillabarrow.Delta, error) {
	d, err := s.fakeSource.Watch(ctx, r)
	return withoutEras(d), err
}

func (s formerSource) Probe(ctx context.Context, r vanillabarrow.ProbeRequest) (vanillabarrow.Version, error) {
	version, err := s.fakeSource.Probe(ctx, r)
	return rawVersion(version), err
}

func withoutEras(d *vanillabarrow.Delta) *vanillabarrow.Delta {
	if d == nil {
		return nil
	}
	d.AsOf = rawVersion(d.AsOf)
	for i := range d.Items {
		d.Items[i].Revision, d.Items[i].Created = rawVersion(d.Items[i].Revision), rawVersion(d.Items[i].Created)
	}
	return d
}

// TestMixedBuilds guards against nodes of the former build that stop following ones with
// eras, or make them take something back, during a rolling restart.
func TestMixedBuilds(t *testing.T) {
	vms := []string{"a1", "a2", "a3", "a4", "b1", "b2", "b3", "c1", "c2", "c3"}
	tests := map[string]struct {
		former   []string
		restored bool
	}{
		"one former node a data centre": {[]string{"a1", "b2", "c3"}, false},
		"most former nodes":             {[]string{"a1", "a2", "a3", "b1", "b3", "c1", "c2"}, false},
		"data centre of former nodes":   {[]string{"b1", "b2", "b3"}, false},
		"restore beside former nodes":   {[]string{"a1", "a2", "b2", "c3"}, true},
		"restore, former data centre":   {[]string{"b1", "b2", "b3"}, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				former := map[string]bool{}
				for _, vm := range tt.former {
					former[vm] = true
				}
				s := &fakeStore{stated: 3, reportsGaps: true, values: map[string]string{}}
				for _, key := range []string{"k1", "k2", "left", "draining"} {
					s.write(key, false)
				}
				relay := &fakeRelay{}
				nodes := newFleet(s, relay, vms, discardLogs)
				for vm, n := range nodes {
					n.follower.Relay = formerRelay{relay, former, vm}
					if former[vm] {
						n.follower.Source = formerSource{n.source}
					}
				}
				startNodesOf(t, nodes)
				defer stopNodes(nodes)
				f := &restoredFleet{t, s, nodes}
				time.Sleep(6 * time.Second)
				f.set(func() { f.store.write("new", false) })
				f.requireWithin("new", true, "added")
				f.set(func() { f.store.write("k2", true) })
				f.requireWithin("k2", false, "removed")
				if !tt.restored {
					return
				}
				f.loseWrites(0)
				time.Sleep(time.Second)
				f.set(func() { f.store.write("later", false) })
				time.Sleep(vanillabarrow.DefaultBounds().ConfigApply)
				for vm, n := range nodes {
					require.False(t, n.has("left"), "%s: taken back", vm)
					require.True(t, former[vm] || n.has("later"), "%s, which holds %s", vm, n.follower.Table.AsOf())
				}
			})
		})
	}
}
