package discovery

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestIsolation plays calls to the platform and checks when the node counts as
// cut off. Times are offsets from the start.
func TestIsolation(t *testing.T) {
	type call struct {
		begun, ended time.Duration
		ok           bool
	}
	const ms = time.Millisecond
	tests := map[string]struct {
		calls []call
		at    time.Duration
		want  bool
	}{
		"no call yet":          {nil, time.Minute, false},
		"answered":             {[]call{{0, 4 * ms, true}}, time.Second, false},
		"one failure":          {[]call{{0, 10 * ms, false}}, 400 * ms, false},
		"failing for long":     {[]call{{0, 10 * ms, false}, {300 * ms, 310 * ms, false}}, 500 * ms, true},
		"one call that hung":   {[]call{{0, time.Second, false}}, time.Second, true},
		"answered again":       {[]call{{0, time.Second, false}, {time.Second, 1100 * ms, true}}, 2 * time.Second, true},
		"answered long ago":    {[]call{{0, time.Second, false}, {time.Second, 1100 * ms, true}}, 3200 * ms, false},
		"a short failure only": {[]call{{0, 10 * ms, false}, {100 * ms, 110 * ms, true}}, 700 * ms, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			start := time.Now()
			i := &isolation{started: start}
			for _, c := range tt.calls {
				if c.ok {
					i.answered(start.Add(c.ended))
				} else {
					i.failed(start.Add(c.begun))
				}
			}
			require.Equal(t, tt.want, i.isCutOff(start.Add(tt.at)))
		})
	}
}
