package run

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
	"github.com/vanillabarrow/vanillabarrow/internal/settings"
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
		"grace period": {
			opts: Options{Drain: "2s", GracePeriod: "6s"},
			want: vanillabarrow.Bounds{ConfigApply: defaults.ConfigApply, Drain: 2 * time.Second, StabilityWindow: defaults.StabilityWindow, GracePeriod: 6 * time.Second},
		},
		"negative grace period": {opts: Options{GracePeriod: "-6s"}, wantErr: "bounds.gracePeriod: is -6s, must not be negative"},
		"no duration":           {opts: Options{Drain: "2000"}, wantErr: `-drain: "2000" is not a duration such as 2s`},
		"zero":                  {opts: Options{ConfigApply: "0s"}, wantErr: "bounds.configApply: is 0s, must be greater than zero"},
		"negative":              {opts: Options{StabilityWindow: "-1s"}, wantErr: "bounds.stabilityWindow: is -1s, must be greater than zero"},
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

// TestStopTimes guards against a planned stop that takes requests which it can't finish
// before the process is killed, or that does not wait for them long enough.
func TestStopTimes(t *testing.T) {
	tests := map[string]struct {
		gracePeriod string
		// leaveNotice, waitTimeout, drainTimeout and abortTimeout are the times of a stop.
		leaveNotice, waitTimeout, drainTimeout, abortTimeout time.Duration
	}{
		"not known":   {"", time.Second, 15 * time.Second, 30 * time.Second, time.Second},
		"two seconds": {"2s", 2500 * time.Millisecond / 3, 500 * time.Millisecond, 900 * time.Millisecond, 100 * time.Millisecond},
		"six seconds": {"6s", 2500 * time.Millisecond, 1500 * time.Millisecond, 2700 * time.Millisecond, 300 * time.Millisecond},
		"long":        {"60s", 25 * time.Second, 15 * time.Second, 27 * time.Second, 3 * time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s, err := parse(&Options{GracePeriod: tt.gracePeriod}, []byte(settingsFile))
			require.NoError(t, err)
			require.Equal(t, tt.leaveNotice, s.LeaveNotice)
			require.Equal(t, tt.waitTimeout, s.WaitTimeout)
			require.Equal(t, tt.drainTimeout, s.DrainTimeout)
			require.Less(t, s.WaitTimeout, s.DrainTimeout)
			require.Equal(t, tt.abortTimeout, s.AbortTimeout)
			if g := s.Bounds.GracePeriod; g > 0 {
				require.Greater(t, s.LeaveNotice+s.DrainTimeout, g*5/6)
				require.Less(t, s.LeaveNotice+s.DrainTimeout+s.AbortTimeout+kernel.AbortTime, g)
			}
		})
	}
}

// TestMemoryLimit guards against a limit of the runtime for a VM that states none, and
// against one that leaves nothing for what exceeds it.
func TestMemoryLimit(t *testing.T) {
	require.Zero(t, memoryLimit(0))
	require.EqualValues(t, 138<<20, memoryLimit(184))
}

// TestLimits guards against a node that ignores what its VM gives it.
func TestLimits(t *testing.T) {
	tests := map[string]struct {
		opts    Options
		want    settings.Limits
		wantErr string
	}{
		"not known":      {},
		"flags":          {opts: Options{MemoryMB: "184", FileDescriptors: "4100"}, want: settings.Limits{MemoryMB: 184, FileDescriptors: 4100}},
		"no number":      {opts: Options{MemoryMB: "184MB"}, wantErr: `-memory-mb: "184MB" is not a whole number`},
		"too few memory": {opts: Options{MemoryMB: "12"}, wantErr: "limits.memoryMB: is 12, must be 0 if it is not known, or at least 48"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s, err := parse(&tt.opts, []byte(settingsFile))
			if tt.wantErr != "" {
				require.ErrorContains(t, err, tt.wantErr)
				return
			}
			require.NoError(t, err)
			require.Equal(t, tt.want, s.Limits)
		})
	}
}
