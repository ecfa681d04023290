package discovery

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestConnectivity records the outcomes of calls to the platform and checks
// when the node counts as disconnected. Times are offsets from the start.
func TestConnectivity(t *testing.T) {
	type call struct {
		started, ended time.Duration
		ok             bool
	}
	const ms = time.Millisecond
	tests := map[string]struct {
		calls []call
		at    time.Duration
		want  bool
	}{
		"no call yet":        {nil, time.Minute, false},
		"success":            {[]call{{0, 4 * ms, true}}, time.Second, false},
		"one failure":        {[]call{{0, 10 * ms, false}}, 400 * ms, false},
		"lasting failure":    {[]call{{0, 10 * ms, false}, {300 * ms, 310 * ms, false}}, 500 * ms, true},
		"one hanging call":   {[]call{{0, time.Second, false}}, time.Second, true},
		"just recovered":     {[]call{{0, time.Second, false}, {time.Second, 1100 * ms, true}}, 2 * time.Second, true},
		"recovered long ago": {[]call{{0, time.Second, false}, {time.Second, 1100 * ms, true}}, 3200 * ms, false},
		"short failure":      {[]call{{0, 10 * ms, false}, {100 * ms, 110 * ms, true}}, 700 * ms, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			start := time.Now()
			conn := &connectivity{startedAt: start}
			for _, c := range tt.calls {
				if c.ok {
					conn.recordSuccess(start.Add(c.ended))
				} else {
					conn.recordFailure(start.Add(c.started))
				}
			}
			require.Equal(t, tt.want, conn.isDisconnected(start.Add(tt.at)))
		})
	}
}

// TestNodeThatStopsReadingIsNotDisconnected guards against a node that gave up failing
// calls, because other nodes had recent data, and then counts as disconnected for as
// long as it makes no call, with the consequence that its expired target is served.
func TestNodeThatStopsReadingIsNotDisconnected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{values: map[string]string{}}
		s.write("target", false)
		nodes := startNodes(t, s)
		defer stopNodes(nodes)
		time.Sleep(5 * time.Second)
		setUnavailable := func(unavailable bool, vms ...string) {
			for _, vm := range vms {
				nodes[vm].source.set(func() { nodes[vm].source.unavailable = unavailable })
			}
		}
		setUnavailable(true, "a1", "a2", "b1")
		time.Sleep(3 * time.Second)
		require.True(t, nodes["a2"].follower.IsDisconnected(time.Now()))
		setUnavailable(false, "a1", "b1")
		time.Sleep(standbyReadPeriod + 5*time.Second)
		require.False(t, nodes["a2"].follower.IsDisconnected(time.Now()))
	})
}
