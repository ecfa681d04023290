package restore

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillabarrow/vanillabarrow/internal/experiment"
	"github.com/vanillabarrow/vanillabarrow/pkg/cmdutil"
	"github.com/vanillabarrow/vanillabarrow/pkg/iostreams"
	"github.com/vanillabarrow/vanillabarrow/platform/standin"
)

// TestOptions guards against flags that do not reach the play, and against values out of
// range that do.
func TestOptions(t *testing.T) {
	defaults := experiment.RestoreConfig{
		Nodes: 12, DataCentres: 3, LostRevisions: 30, NamesEra: true, OperatorRepeats: true, TargetsRepeat: true,
		TargetDelay: 1400 * time.Millisecond, Observe: 10 * time.Second,
	}
	tests := map[string]struct {
		args    string
		change  func(c *experiment.RestoreConfig)
		wantErr string
	}{
		"defaults": {},
		"sizes": {args: "-nodes 24 -data-centres 4 -lost-revisions 0", change: func(c *experiment.RestoreConfig) {
			c.Nodes, c.DataCentres, c.LostRevisions = 24, 4, 0
		}},
		"store": {args: "-away 3s -era=false -gone=false", change: func(c *experiment.RestoreConfig) {
			c.Away, c.NamesEra, c.UnknownRevision = 3*time.Second, false, standin.UnknownRevisionWaits
		}},
		"writers": {args: "-repeat operator -operator-delay 2s -observe 5s", change: func(c *experiment.RestoreConfig) {
			c.TargetsRepeat, c.OperatorDelay, c.Observe = false, 2*time.Second, 5*time.Second
		}},
		"no writers":           {args: "-repeat none", change: func(c *experiment.RestoreConfig) { c.OperatorRepeats, c.TargetsRepeat = false, false }},
		"too few nodes":        {args: "-nodes 2", wantErr: "-nodes: is 2, must be from 3 to 240"},
		"too many nodes":       {args: "-nodes 241", wantErr: "-nodes: is 241, must be from 3 to 240"},
		"empty data centres":   {args: "-nodes 3 -data-centres 4", wantErr: "-data-centres: is 4, must be from 1 to 3"},
		"negative revisions":   {args: "-lost-revisions -1", wantErr: "-lost-revisions: is -1, must be from 0 to 10000"},
		"negative outage":      {args: "-away -1s", wantErr: "-away: is -1s, must not be negative"},
		"no observation":       {args: "-observe 0s", wantErr: "-observe: is 0s, must be greater than zero"},
		"writer after the end": {args: "-operator-delay 10s", wantErr: "-operator-delay: is 10s, must not be negative and must be shorter than -observe, 10s"},
		"negative delay":       {args: "-target-delay -1s", wantErr: "-target-delay: is -1s, must not be negative"},
		"unknown writer":       {args: "-repeat operator,none", wantErr: `-repeat: invalid writers "operator,none"`},
		"argument":             {args: "12", wantErr: "expected no arguments"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			streams, _, _, _ := iostreams.Test()
			var got *Options
			c := NewCmdRestore(&cmdutil.Factory{IO: streams}, func(_ context.Context, opts *Options) error {
				got = opts
				return nil
			})
			err := c.ParseAndRun(t.Context(), strings.Fields(tt.args))
			if tt.wantErr != "" {
				require.ErrorContains(t, err, tt.wantErr)
				require.Nil(t, got)
				return
			}
			require.NoError(t, err)
			want := defaults
			if tt.change != nil {
				tt.change(&want)
			}
			require.Equal(t, want, got.Config)
		})
	}
}

// TestTable guards against a table that shows a restore as followed by all nodes when
// some did not follow it.
func TestTable(t *testing.T) {
	streams, _, out, _ := iostreams.Test()
	require.NoError(t, write(&Options{IO: streams}, &experiment.RestoreResult{
		Nodes: 3, CountedSeconds: 10.04, Calls: standin.Calls{Lists: 4, Watches: 20, Gone: 2}, PeakCalls: 9,
		Era:      &experiment.Progress{Nodes: 3, Seconds: 0.25},
		Route:    &experiment.Progress{Nodes: 2, Seconds: 1},
		Departed: []experiment.DepartedTarget{{What: "left", BoundSeconds: 2, Late: 1, LastSeconds: 2.5}, {What: "draining", BoundSeconds: 2}},
		Kept:     []experiment.KeptItems{{Changes: 1, Kept: 3}, {Changes: 1, Kept: 2, KeptAtEnd: 1}, {Changes: 1, Kept: 3}},
	}))
	for _, row := range []string{
		"calls, watches\t20\tin 10.0 s, 2 of them with status 410\n",
		"calls, all\t24\tin 10.0 s, at most 9 in a second\n",
		"later era\t0.250 s\t3 of 3 nodes, after the restore\n",
		"new route served\tnot at all nodes\t2 of 3 nodes\n",
		"late requests, target left\t1\tlater than 2.0 s, the last request 2.500 s after that\n",
		"late requests, target draining\t0\tlater than 2.0 s, no request after that\n",
		"items kept at the change\t2 to 3\ta node\n",
		"items kept at the end\t0 to 1\ta node\n",
	} {
		require.Contains(t, out.String(), row)
	}
}
