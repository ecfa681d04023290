package run

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
)

const settingsFile = `node: {vm: vm-1, dataCentre: a, target: t1}
listen: {caller: "127.0.0.1:1", peer: "127.0.0.1:2", operator: "127.0.0.1:3"}
platform: {url: "http://127.0.0.1:4"}
bounds: {drain: 5s}
`

// TestBounds guards against timers that are derived from other bounds than those of
// the deployment.
func TestBounds(t *testing.T) {
	defaults := vanillabarrow.DefaultBounds()
	tests := map[string]struct {
		opts    Options
		want    vanillabarrow.Bounds
		wantErr string
	}{
		"file only": {
			want: vanillabarrow.Bounds{ConfigApply: defaults.ConfigApply, Drain: 5 * time.Second, StabilityWindow: defaults.StabilityWindow},
		},
		"flags": {
			opts: Options{ConfigApply: "1500ms", Drain: "1s", StabilityWindow: "4s"},
			want: vanillabarrow.Bounds{ConfigApply: 1500 * time.Millisecond, Drain: time.Second, StabilityWindow: 4 * time.Second},
		},
		"no duration": {opts: Options{Drain: "2000"}, wantErr: `-drain: "2000" is not a duration such as 2s`},
		"zero":        {opts: Options{ConfigApply: "0s"}, wantErr: "bounds.configApply: is 0s, must be greater than zero"},
		"negative":    {opts: Options{StabilityWindow: "-1s"}, wantErr: "bounds.stabilityWindow: is -1s, must be greater than zero"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s, err := parse(&tt.opts, []byte(settingsFile))
			if tt.wantErr != "" {
				require.ErrorContains(t, err, tt.wantErr)
				return
			}
			require.NoError(t, err)
			require.Equal(t, tt.want, s.Bounds)
		})
	}
}
