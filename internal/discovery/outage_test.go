package discovery

import (
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/membership"
)

// TestOutage guards against a cut call that counts as an outage of the platform, and
// against an outage that does not. Times are offsets from the last confirmation.
func TestOutage(t *testing.T) {
	const ms = time.Millisecond
	type call struct {
		started, failed time.Duration
		err             error
	}
	tests := map[string]struct {
		calls []call
		// confirmed is when another node's data was confirmed, 0 for never.
		confirmed, success time.Duration
		want               bool
	}{
		"cut after a long wait":             {[]call{{0, 5000 * ms, errUnavailable}}, 0, 5100 * ms, false},
		"cut twice":                         {[]call{{0, 1900 * ms, errUnavailable}, {1950 * ms, 2000 * ms, errUnavailable}}, 0, 2100 * ms, false},
		"refused for long":                  {[]call{{0, 10 * ms, errUnavailable}, {2000 * ms, 2010 * ms, errUnavailable}}, 0, 2100 * ms, true},
		"refused for long, between failure": {[]call{{0, 10 * ms, errUnavailable}, {900 * ms, 910 * ms, errUnavailable}}, 0, 1600 * ms, true},
		"refused for a short time":          {[]call{{0, 10 * ms, errUnavailable}, {900 * ms, 910 * ms, errUnavailable}}, 0, 1500 * ms, false},
		"refused, others get responses":     {[]call{{0, 10 * ms, errUnavailable}, {3000 * ms, 3010 * ms, errUnavailable}}, 2900 * ms, 3100 * ms, false},
		"others regain it first":            {[]call{{0, 10 * ms, errUnavailable}, {3000 * ms, 3010 * ms, errUnavailable}}, 3050 * ms, 3100 * ms, true},
		"no response on one connection":     {[]call{{0, 1700 * ms, vanillabarrow.ErrNoResponse}}, 0, 1750 * ms, false},
		"no response":                       {[]call{{0, 1700 * ms, vanillabarrow.ErrNoResponse}, {1700 * ms, 3200 * ms, vanillabarrow.ErrNoResponse}}, 0, 3250 * ms, true},
		"no response, others get them":      {[]call{{0, 1700 * ms, vanillabarrow.ErrNoResponse}, {1700 * ms, 3200 * ms, vanillabarrow.ErrNoResponse}}, 3000 * ms, 3250 * ms, false},
		"no failure":                        {nil, 0, 5000 * ms, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			start := time.Now()
			confirmedAt := func(now time.Duration) time.Time {
				if tt.confirmed > 0 && tt.confirmed <= now {
					return start.Add(tt.confirmed)
				}
				return start
			}
			s := &sourceState{}
			for _, c := range tt.calls {
				s.recordFailure(start.Add(c.started), start.Add(c.failed), confirmedAt(c.failed), c.err)
			}
			require.Equal(t, tt.want, s.outage || s.isOutage(start.Add(tt.success), confirmedAt(tt.success)))
		})
	}
}

// TestKeepRemovedUntil checks how long an item stays in effect whose removal a
// response reports.
func TestKeepRemovedUntil(t *testing.T) {
	const ms = time.Millisecond
	now := time.Now()
	tests := map[string]struct {
		state sourceState
		// confirmed is the age of the last confirmation.
		confirmed, want time.Duration
	}{
		"watch that waited":               {sourceState{}, 900 * ms, 800 * ms},
		"end of an outage":                {sourceState{failures: 4, outage: true}, 5000 * ms, 2200 * ms},
		"after the end of an outage":      {sourceState{outageGraceUntil: now.Add(2100 * ms)}, 100 * ms, 1400 * ms},
		"long after the end of an outage": {sourceState{outageGraceUntil: now.Add(300 * ms)}, 100 * ms, 800 * ms},
		"first call of a standby reader":  {sourceState{unconfirmed: true}, 1500 * ms, 200 * ms},
		"after a cut watch":               {sourceState{failures: 1, failingSince: now.Add(-100 * ms)}, 1100 * ms, 600 * ms},
		"after a watch cut early":         {sourceState{failures: 1, failingSince: now.Add(-100 * ms)}, 300 * ms, 800 * ms},
		"after a silent watch":            {sourceState{failures: 1, failingSince: now.Add(-1600 * ms)}, 300 * ms, 100 * ms},
		"after an unanswered watch":       {sourceState{unansweredSince: now.Add(-1600 * ms)}, 300 * ms, 100 * ms},
		"after one beside exact probes":   {sourceState{unansweredSince: now}, 1100 * ms, 600 * ms},
		"confirmation long ago":           {sourceState{unconfirmed: true}, 4000 * ms, -2300 * ms},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := NewFollower(Config{
				Table: NewTable("one", valueOrder{}), Members: membership.New("a1", "a", 1), Logger: slog.New(slog.DiscardHandler), Scope: tally.NoopScope,
			})
			f.Table.Merge(&vanillabarrow.Delta{AsOf: 1, Full: true, SourceAge: tt.confirmed}, now)
			require.Equal(t, tt.want, f.keepRemovedUntil(&tt.state, now).Sub(now))
		})
	}
}
