package discovery

import (
	"cmp"
	"context"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/membership"
)

// TestProbeDuringWatch guards against a watch that waits on although the platform does
// not respond, and against data that is confirmed without a response.
func TestProbeDuringWatch(t *testing.T) {
	tests := map[string]struct {
		unavailable, ended bool
		// revision is that of the platform, stale the one of reads that may be out of
		// date. The node holds held, 3 if that is 0.
		revision, stale, held vanillabarrow.Version
		// exact, ahead and begun are the state of the watch.
		exact, ahead, begun bool
		// confirmed is set if the data is confirmed, abandoned if the watch ends.
		confirmed, abandoned bool
		// cause is the error that ends the watch, any if it is nil.
		cause error
	}{
		"responds":                         {revision: 3, stale: 3, confirmed: true},
		"responds from an older copy":      {revision: 3, stale: 2, confirmed: true},
		"went back":                        {revision: 2, stale: 2, abandoned: true},
		"went back to a later era":         {revision: eraVersion(1, 2), stale: eraVersion(1, 2), abandoned: true},
		"earlier era":                      {revision: eraVersion(1, 9), stale: eraVersion(1, 9), held: eraVersion(2, 3), abandoned: true, cause: errOutdated},
		"same in its era":                  {revision: eraVersion(2, 3), stale: eraVersion(2, 3), held: eraVersion(2, 3), confirmed: true},
		"newer, older copy":                {revision: 4, stale: 2},
		"shows a newer revision":           {revision: 4, stale: 4},
		"again":                            {revision: 4, stale: 4, ahead: true, abandoned: true},
		"again as the response arrives":    {revision: 4, stale: 4, ahead: true, begun: true},
		"newer after an unanswered watch":  {revision: 4, stale: 3, exact: true, abandoned: true},
		"same after a newer one":           {revision: 4, stale: 3, ahead: true, abandoned: true},
		"same after an unanswered watch":   {revision: 3, stale: 2, exact: true, confirmed: true},
		"does not respond":                 {unavailable: true, revision: 3, stale: 3, abandoned: true},
		"responds after the watch":         {ended: true, revision: 3, stale: 3},
		"does not respond after it ended":  {unavailable: true, ended: true, revision: 3, stale: 3},
		"went back after the watch":        {ended: true, revision: 2, stale: 2},
		"shows a newer one after it ended": {ended: true, revision: 4, stale: 4, ahead: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			source := &fakeSource{mu: &sync.Mutex{}, store: &fakeStore{stated: tt.revision.Era().Stated(), revision: tt.revision}, staleRevision: tt.stale, unavailable: tt.unavailable}
			f := NewFollower(Config{
				Table: NewTable("a1", valueOrder{}), Members: membership.New("a1", "a", 1), Source: source, Logger: slog.New(slog.DiscardHandler), Scope: tally.NoopScope,
			})
			held := cmp.Or(tt.held, 3)
			f.Table.Merge(&vanillabarrow.Delta{AsOf: held, Full: true, SourceAge: time.Minute}, time.Now())
			ctx, cancel := context.WithCancelCause(t.Context())
			defer cancel(nil)
			w := &waitingWatch{after: held, exact: tt.exact, ahead: tt.ahead, abandon: cancel}
			w.begun.Store(tt.begun)
			if !tt.ended {
				f.watch.Store(w)
			}
			f.probe(t.Context(), w, w.exact)
			require.Equal(t, tt.confirmed, time.Since(f.Table.ConfirmedAt()) < time.Second)
			require.Equal(t, tt.abandoned, ctx.Err() != nil)
			require.ErrorIs(t, context.Cause(ctx), cmp.Or(tt.cause, context.Cause(ctx)))
		})
	}
}

// TestWatchPacer guards against watches that wait for long while long waits get no
// response, and against short ones that are never lengthened again.
func TestWatchPacer(t *testing.T) {
	const full, short = 2 * time.Second, 500 * time.Millisecond
	tests := map[string]struct {
		// results holds a letter for each watch: a for answered, u for unanswered.
		results string
		wait    time.Duration
		exact   bool
	}{
		"none":                     {"", full, false},
		"answered":                 {"aa", full, false},
		"unanswered":               {"au", short, true},
		"answered after it":        {"ua", time.Second, true},
		"full again, not yet":      {"uaa", full, true},
		"answered at full length":  {"uaaa", full, false},
		"unanswered again":         {"uau", short, true},
		"unanswered at full again": {"uaaau", short, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p, first := &watchPacer{}, 0
			for _, result := range tt.results {
				if result == 'a' {
					p.recordResponse(full)
				} else if p.recordUnanswered(short) {
					first++
				}
			}
			require.Equal(t, tt.wait, p.wait(full))
			require.Equal(t, tt.exact, p.isShortened())
			require.Equal(t, strings.Count(tt.results, "u") > 0, first > 0)
		})
	}
}
