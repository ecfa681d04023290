package gate

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/logging"
	"github.com/vanillabarrow/vanillabarrow/internal/random"
)

const (
	drain     = 2 * time.Second
	halfDrain = drain / 2
)

// Results of health checks. A checkResult without a health is a check without a response.
type checkResult struct{ health *vanillabarrow.Health }

var (
	serving    = checkResult{&vanillabarrow.Health{OK: true, Target: target}}
	unnamedOK  = checkResult{&vanillabarrow.Health{OK: true}}
	notServing = checkResult{&vanillabarrow.Health{Unavailable: true, Target: target}}
	unnamed    = checkResult{&vanillabarrow.Health{Unavailable: true}}
	failing    = checkResult{&vanillabarrow.Health{Target: target}}
	rejected   = checkResult{&vanillabarrow.Health{Shed: true, Target: target}}
	other      = checkResult{&vanillabarrow.Health{OK: true, Target: "other"}}
	otherOut   = checkResult{&vanillabarrow.Health{Unavailable: true, Target: "other"}}
	noResponse = checkResult{}
)

// fakeChecker returns what result returns for the time since the start and the number of
// checks before. It keeps the times of all checks.
type fakeChecker struct {
	start  time.Time
	took   time.Duration
	result func(at time.Duration, n int) checkResult
	times  []time.Duration
}

func (c *fakeChecker) Check(context.Context) (vanillabarrow.Health, error) {
	at := time.Since(c.start)
	result := c.result(at, len(c.times))
	c.times = append(c.times, at)
	time.Sleep(c.took)
	if result.health == nil {
		return vanillabarrow.Health{}, errors.New("no response")
	}
	return *result.health, nil
}

// newProbedGate returns a gate with one slot, the prober of its target, and what the gate
// counts and logs.
func newProbedGate(e vanillabarrow.Executor, checker HealthChecker, interval time.Duration) (*Gate, *Prober, tally.TestScope, *bytes.Buffer) {
	g, _ := newGate(e)
	scope := tally.NewTestScope("", nil)
	out := &bytes.Buffer{}
	g.scope, g.logger = scope, slog.New(slog.NewJSONHandler(out, nil))
	return g, NewProber(g, checker, interval, g.logger), scope, out
}

// tickUntil calls Tick as the node does until done returns true.
func tickUntil(t *testing.T, p *Prober, done func() bool) {
	for !done() {
		time.Sleep(proberInterval)
		p.Tick(t.Context())
	}
}

// handleAsync sends an attempt with a long deadline.
func handleAsync(t *testing.T, g *Gate, id string) <-chan error {
	result := make(chan error, 1)
	a := attempt(g, id)
	a.Deadline, a.Request.Idempotent = time.Now().Add(time.Hour), true
	go func() {
		_, err := g.Handle(t.Context(), a)
		result <- err
	}()
	synctest.Wait()
	return result
}

// requireLeavingRefusal requires that an attempt was refused because the target leaves.
func requireLeavingRefusal(t *testing.T, result <-chan error) {
	synctest.Wait()
	require.Len(t, result, 1)
	refusal := vanillabarrow.AsRefusal(<-result)
	require.Equal(t, vanillabarrow.VerdictNotRun, refusal.Verdict)
	require.Equal(t, vanillabarrow.ReasonTargetOut, refusal.Reason)
	require.Contains(t, refusal.Detail, "leaving")
}

// TestOwnTargetLeaving guards against requests that are sent to a target that reports that
// it is leaving, and against a target that is given up for what does not report that.
func TestOwnTargetLeaving(t *testing.T) {
	const leaving, servingAgain = logging.EventOwnTargetLeaving, logging.EventOwnTargetServing
	tests := map[string]struct {
		checks []checkResult
		events []string
	}{
		"healthy":                                   {[]checkResult{serving, serving, serving}, nil},
		"one report":                                {[]checkResult{serving, notServing}, nil},
		"one report, then healthy":                  {[]checkResult{notServing, serving, notServing}, nil},
		"two reports":                               {[]checkResult{serving, notServing, notServing}, []string{leaving}},
		"more reports":                              {[]checkResult{notServing, notServing, notServing, notServing}, []string{leaving}},
		"two reports without a name":                {[]checkResult{unnamed, unnamed}, nil},
		"two failures of the health path":           {[]checkResult{failing, failing, failing}, nil},
		"a failure between two reports":             {[]checkResult{notServing, failing, notServing}, []string{leaving}},
		"rejected":                                  {[]checkResult{rejected, rejected, rejected}, nil},
		"one report, then rejected":                 {[]checkResult{notServing, rejected, rejected}, nil},
		"two reports, rejected in between":          {[]checkResult{notServing, rejected, notServing}, []string{leaving}},
		"reports of another target":                 {[]checkResult{otherOut, otherOut, otherOut}, nil},
		"two reports, another target in between":    {[]checkResult{notServing, otherOut, notServing}, nil},
		"no response":                               {[]checkResult{noResponse, noResponse, noResponse}, nil},
		"two reports, no response in between":       {[]checkResult{notServing, noResponse, notServing}, []string{leaving}},
		"leaving, then rejected":                    {[]checkResult{notServing, notServing, rejected}, []string{leaving}},
		"leaving, then no response":                 {[]checkResult{notServing, notServing, noResponse}, []string{leaving}},
		"leaving, then healthy":                     {[]checkResult{notServing, notServing, serving}, []string{leaving, servingAgain}},
		"leaving, then healthy without a name":      {[]checkResult{notServing, notServing, unnamedOK}, []string{leaving, servingAgain}},
		"leaving, then another target":              {[]checkResult{notServing, notServing, other}, []string{leaving, servingAgain}},
		"leaving, then another target, not healthy": {[]checkResult{notServing, notServing, otherOut}, []string{leaving, servingAgain}},
		"leaving, healthy, leaving again":           {[]checkResult{notServing, notServing, serving, notServing, notServing}, []string{leaving, servingAgain, leaving}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				checker := &fakeChecker{start: time.Now(), result: func(_ time.Duration, n int) checkResult { return tt.checks[n] }}
				e := &fakeExecutor{status: 200, delay: time.Minute}
				g, p, scope, out := newProbedGate(e, checker, halfDrain)
				running := handleAsync(t, g, "running")
				waiting := handleAsync(t, g, "waiting")
				tickUntil(t, p, func() bool { return len(checker.times) == len(tt.checks) || time.Since(checker.start) > 20*time.Second })
				require.Len(t, checker.times, len(tt.checks), "checks go on")
				synctest.Wait()
				require.Equal(t, tt.events, eventsIn(t, out))
				leaves := len(tt.events)%2 == 1
				require.Equal(t, leaves, g.State().TargetLeaving)
				require.Equal(t, leaves, g.Load(0).Unavailable)
				require.Equal(t, len(tt.events) > 0, scope.Snapshot().Counters()["ownTargetLeaving+"] != nil)
				if len(tt.events) > 0 {
					requireLeavingRefusal(t, waiting)
				}
				late := handleAsync(t, g, "late")
				if leaves {
					requireLeavingRefusal(t, late)
					// A report may arrive before or after the check on arrival.
					require.ErrorContains(t, g.check(t.Context(), attempt(g, "early")), "leaving")
					_, err := g.run(t.Context(), attempt(g, "checked"))
					require.ErrorContains(t, err, "leaving")
				}
				require.EqualValues(t, 1, e.runs.Load(), "the slot is in use")
				time.Sleep(2*e.delay + time.Second)
				require.NoError(t, <-running, "a request that runs is not interrupted")
				if !leaves {
					time.Sleep(e.delay)
					require.NoError(t, <-late)
				}
			})
		})
	}
}

// eventsIn returns the logged events that concern leaving.
func eventsIn(t *testing.T, out *bytes.Buffer) []string {
	var events []string
	for decoder := json.NewDecoder(bytes.NewReader(out.Bytes())); ; {
		var line struct{ Msg, Target string }
		if err := decoder.Decode(&line); errors.Is(err, io.EOF) {
			return events
		}
		if slices.Contains([]string{logging.EventOwnTargetLeaving, logging.EventOwnTargetServing}, line.Msg) {
			require.Equal(t, target, line.Target)
			events = append(events, line.Msg)
		}
	}
}

// TestLeavingBound guards against a request that is admitted later than drain after the
// target begins to report that it leaves, at any phase of the checks, and against a target
// that is not served before.
func TestLeavingBound(t *testing.T) {
	const warmUp, step = 4 * time.Second, 10 * time.Millisecond
	// margin is left of drain for requests that are on their way to the target.
	const margin = 200 * time.Millisecond
	tests := map[string]struct {
		drain, took time.Duration
		before      checkResult
		// rejections is the number of checks that the leaving target rejects.
		rejections int
	}{
		"healthy before":      {drain, 0, serving, 0},
		"slow checks":         {drain, 100 * time.Millisecond, serving, 0},
		"full before":         {drain, 0, rejected, 0},
		"no response before":  {drain, 0, noResponse, 0},
		"full when it leaves": {drain, 0, serving, 1},
		"shorter drain":       {1200 * time.Millisecond, 0, serving, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			longest := time.Duration(0)
			for phase := time.Duration(0); phase < tt.drain/2; phase += step {
				synctest.Test(t, func(t *testing.T) {
					defer random.Seed(uint64(phase))()
					leavesAt, rejections := warmUp+phase, tt.rejections
					checker := &fakeChecker{start: time.Now(), took: tt.took, result: func(at time.Duration, _ int) checkResult {
						if at < leavesAt {
							return tt.before
						}
						if rejections--; rejections >= 0 {
							return rejected
						}
						return notServing
					}}
					g, p, _, _ := newProbedGate(&fakeExecutor{status: 200}, checker, tt.drain/2)
					after := func() time.Duration { return time.Since(checker.start) - leavesAt }
					tickUntil(t, p, func() bool { return after() >= 0 })
					require.NoError(t, <-handleAsync(t, g, "before"))
					tickUntil(t, p, func() bool { return g.isTargetLeaving() || after() > tt.drain })
					longest = max(longest, after())
					require.LessOrEqual(t, after(), tt.drain-margin, "phase %s", phase)
					requireLeavingRefusal(t, handleAsync(t, g, "after"))
				})
			}
			t.Logf("requests are refused after %s at most", longest)
		})
	}
}

// TestCheckTimes guards against checks that are sent although others are sent anyway, that
// are sent in the other profile, that slow responses delay, that all nodes send at the same
// time, or that fill the log.
func TestCheckTimes(t *testing.T) {
	const duration = 20 * time.Second
	tests := map[string]struct {
		interval, took time.Duration
		// expired is set if the gate needs checks for another reason.
		expired     bool
		least, most int
	}{
		"no interval":                        {0, 0, false, 0, 0},
		"interval":                           {halfDrain, 0, false, 18, 21},
		"interval, slow responses":           {halfDrain, 400 * time.Millisecond, false, 18, 21},
		"no interval, other checks":          {0, 0, true, 40, 41},
		"interval, other checks sent anyway": {halfDrain, 0, true, 40, 41},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				defer random.Seed(1)()
				firsts := map[time.Duration]bool{}
				for range 20 {
					checker := &fakeChecker{start: time.Now(), took: tt.took, result: func(time.Duration, int) checkResult { return serving }}
					g, p, _, out := newProbedGate(&fakeExecutor{}, checker, tt.interval)
					g.connectivity = connectivity(true)
					g.cfg.Snapshot().Targets[target].Expired = tt.expired
					tickUntil(t, p, func() bool { return time.Since(checker.start) > duration })
					n := len(checker.times)
					require.GreaterOrEqual(t, n, tt.least)
					require.LessOrEqual(t, n, tt.most)
					lines := strings.Count(out.String(), logging.EventHealthChecked)
					if tt.expired {
						require.GreaterOrEqual(t, lines, n-1, "only the first periodic check has no line")
					} else {
						require.Equal(t, min(1, n), lines, "the response stays the same")
					}
					if n > 0 {
						firsts[checker.times[0]] = true
					}
				}
				if tt.most > 0 && !tt.expired {
					require.Greater(t, len(firsts), 8, "the first checks are spread")
				}
			})
		})
	}
}

// TestRejectedChecksBackOff guards against a target at capacity that gets checks at the
// shortest delay for as long as it rejects them, because it reported once that it leaves.
func TestRejectedChecksBackOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer random.Seed(1)()
		checker := &fakeChecker{start: time.Now(), result: func(_ time.Duration, n int) checkResult {
			return []checkResult{notServing, rejected}[min(n, 1)]
		}}
		_, p, _, _ := newProbedGate(&fakeExecutor{}, checker, halfDrain)
		tickUntil(t, p, func() bool { return time.Since(checker.start) > time.Minute })
		require.LessOrEqual(t, len(checker.times), 120, "half a second apart on average")
	})
}

// TestLeavingConcernsOneTarget guards against a target that is refused because the one
// before it at its address was leaving, and against one that stays refused for want of
// a check.
func TestLeavingConcernsOneTarget(t *testing.T) {
	tests := map[string]struct {
		published string
		// reports is the number of checks of the published target that report leaving.
		reports int
		refused bool
	}{
		"same target":                   {"old", 0, true},
		"new target":                    {"new", 0, false},
		"new target with one report":    {"new", leavingChecks - 1, false},
		"new target that leaves itself": {"new", leavingChecks, true},
		"no target published":           {"", 0, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g, cfg := newGateAt(&fakeExecutor{status: 200})
				require.False(t, g.needsHealthCheck(time.Now()))
				for range leavingChecks {
					g.recordHealth(vanillabarrow.Health{Unavailable: true, Target: "old"}, time.Now())
					require.True(t, g.needsHealthCheck(time.Now()))
				}
				s := snapshotAt(tt.published)
				if tt.published == "" {
					s.Targets, s.ByAddress = nil, nil
				}
				cfg.snapshot.Store(s)
				for range tt.reports {
					g.recordHealth(vanillabarrow.Health{Unavailable: true, Target: tt.published}, time.Now())
				}
				a := attempt(g, "a")
				a.Target = &vanillabarrow.Target{Name: tt.published}
				_, err := g.Handle(t.Context(), a)
				require.Equal(t, tt.refused, err != nil)
				require.Equal(t, tt.refused, g.Load(0).Unavailable)
				cfg.snapshot.Store(snapshotAt("old"))
				require.Equal(t, tt.reports == 0, g.State().TargetLeaving, "until a check shows otherwise")
			})
		})
	}
}
