package dispatch_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/property"
)

const (
	// warmUp is the age of the gates at the start of a plan, beyond the
	// assumed clock skew.
	warmUp = 5 * time.Second
	// outBound is the time after which a target taken out gets no new work.
	outBound = 3 * time.Second
	// applyLag bounds the time until a node has a version in force.
	applyLag = 2 * time.Second
)

// eventKind is something that happens to a target's node.
type eventKind int

const (
	eventRestart eventKind = iota
	eventPause
	eventCut
	eventOut
	eventDown
	eventKinds
)

// event lasts from at to at+length.
type event struct {
	kind   eventKind
	at     time.Duration
	length time.Duration
	target int
	lags   []time.Duration
}

// plan is one drawn run.
type plan struct {
	jobs   []*job
	events []event
}

const (
	planEntries = 2
	planTargets = 3
)

func drawPlan(t *rapid.T) plan {
	var p plan
	ms := func(low, high int, name string) time.Duration {
		return time.Duration(rapid.IntRange(low, high).Draw(t, name)) * time.Millisecond
	}
	keys := rapid.IntRange(1, 6).Draw(t, "keys")
	for range rapid.IntRange(1, 30).Draw(t, "jobs") {
		j := &job{
			at:         ms(0, 12000, "at"),
			entry:      rapid.IntRange(0, planEntries-1).Draw(t, "entry"),
			idempotent: rapid.IntRange(0, 3).Draw(t, "idempotent") == 0,
			service:    ms(1, 900, "service"),
			budget:     ms(50, 6000, "budget"),
			late:       ms(1, 4000, "late"),
		}
		if !j.idempotent && rapid.Bool().Draw(t, "keyed") {
			j.key = fmt.Sprint(rapid.IntRange(0, keys-1).Draw(t, "key"))
		}
		for range rapid.IntRange(0, 3).Draw(t, "faults") {
			j.faults = append(j.faults, fault(rapid.IntRange(0, int(faults)-1).Draw(t, "fault")))
		}
		p.jobs = append(p.jobs, j)
	}
	for range rapid.IntRange(0, 5).Draw(t, "events") {
		e := event{
			kind:   eventKind(rapid.IntRange(0, int(eventKinds)-1).Draw(t, "event")),
			at:     ms(0, 12000, "eventAt"),
			length: ms(1, 6000, "length"),
			target: rapid.IntRange(0, planTargets-1).Draw(t, "target"),
		}
		for range planEntries + planTargets {
			e.lags = append(e.lags, ms(0, int(applyLag/time.Millisecond), "lag"))
		}
		p.events = append(p.events, e)
	}
	return p
}

// result is what a caller was told.
type result struct {
	verdict vanillabarrow.Verdict
	body    string
	key     string
	once    bool
}

// playing is one plan being played.
type playing struct {
	plan  plan
	world *world
	wg    sync.WaitGroup

	mu      sync.Mutex
	results map[string]result
	outs    map[string][]window
	out     map[string]int
}

// window is a time in which a target was out.
type window struct {
	from time.Time
	to   time.Time
}

func newPlaying(p plan) *playing {
	return &playing{
		plan:    p,
		world:   newWorld(planEntries, planTargets),
		results: map[string]result{},
		outs:    map[string][]window{},
		out:     map[string]int{},
	}
}

// play runs the plan and returns the first broken promise.
func (r *playing) play() error {
	p := r.plan
	time.Sleep(warmUp)
	keys := map[string]string{}
	for i, j := range p.jobs {
		if j.key != "" {
			if keys[j.key] == "" {
				keys[j.key] = uuid.Must(uuid.NewV7()).String()
			}
			j.key = keys[j.key]
		}
		r.world.jobs[fmt.Sprintf("request-%d", i)] = j
	}
	for i, j := range p.jobs {
		r.wg.Add(1)
		go r.runJob(fmt.Sprintf("request-%d", i), j)
	}
	for _, e := range p.events {
		r.wg.Add(1)
		go r.runEvent(e)
	}
	r.wg.Wait()
	// Late copies arrive after the last answer.
	time.Sleep(time.Minute)
	synctest.Wait()
	for _, h := range r.world.hosts {
		h.cancel()
	}
	synctest.Wait()
	return r.check()
}

func (r *playing) runJob(id string, j *job) {
	defer r.wg.Done()
	time.Sleep(j.at)
	ctx, cancel := context.WithTimeout(context.Background(), j.budget)
	defer cancel()
	answer, err := r.world.entries[j.entry].Do(ctx, &vanillabarrow.Request{
		ID: id, Service: serviceName, Method: "POST", Path: "/returns/" + j.key, Idempotent: j.idempotent,
		Key: j.key, RetriesLeft: 2,
	})
	out := result{verdict: vanillabarrow.VerdictFinished, key: j.key, once: !j.idempotent}
	if err != nil {
		out.verdict = vanillabarrow.AsRefusal(err).Verdict
	} else {
		out.body = string(answer.Body)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results[id] = out
}

func (r *playing) runEvent(e event) {
	defer r.wg.Done()
	time.Sleep(e.at)
	h := r.world.hosts[e.target]
	switch e.kind {
	case eventRestart:
		h.restart()
	case eventPause:
		h.pause()
		time.Sleep(e.length)
		h.resume()
	case eventCut:
		r.setCut(h.name, true)
		time.Sleep(e.length)
		r.setCut(h.name, false)
	case eventOut:
		r.takeOut(h.name, 1, e.lags)
		time.Sleep(e.length)
		r.takeOut(h.name, -1, e.lags)
	case eventDown:
		h.backend.mu.Lock()
		h.backend.down = true
		h.backend.mu.Unlock()
		time.Sleep(e.length)
		h.backend.mu.Lock()
		h.backend.down = false
		h.backend.mu.Unlock()
	}
}

func (r *playing) setCut(name string, cut bool) {
	r.world.mu.Lock()
	defer r.world.mu.Unlock()
	r.world.cut[name] = cut
}

// takeOut publishes a version with the target out, or in again, and brings it
// in force at each node after its lag.
func (r *playing) takeOut(name string, delta int, lags []time.Duration) {
	r.mu.Lock()
	r.out[name] += delta
	switch {
	case delta > 0 && r.out[name] == 1:
		r.outs[name] = append(r.outs[name], window{from: time.Now()})
	case delta < 0 && r.out[name] == 0:
		r.outs[name][len(r.outs[name])-1].to = time.Now()
	}
	var out []string
	for name, n := range r.out {
		if n > 0 {
			out = append(out, name)
		}
	}
	s := r.world.snapshot(out)
	r.mu.Unlock()
	for node, lag := range lags {
		r.wg.Add(1)
		go r.runApply(node, lag, s)
	}
}

func (r *playing) runApply(node int, lag time.Duration, s *vanillabarrow.Snapshot) {
	defer r.wg.Done()
	time.Sleep(lag)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.world.apply(node, s)
}

// check compares what callers were told with what the targets ran.
func (r *playing) check() error {
	byRequest, byKey := map[string]int{}, map[string]int{}
	for _, h := range r.world.hosts {
		// What an earlier gate sent may still run when the next one starts.
		if h.backend.peak > targetSlots*h.births {
			return fmt.Errorf("%s ran %d requests at once", h.name, h.backend.peak)
		}
		for _, run := range h.backend.runs {
			byRequest[run.request]++
			if run.once && run.key != "" {
				byKey[run.key]++
			}
			if err := r.checkOut(h.name, run); err != nil {
				return err
			}
		}
	}
	for id, out := range r.results {
		if err := checkResult(id, out, byRequest[id], byKey[out.key], r.world.jobs); err != nil {
			return err
		}
	}
	return nil
}

func (r *playing) checkOut(name string, run run) error {
	for _, w := range r.outs[name] {
		ended := !w.to.IsZero() && !run.at.Before(w.to)
		if run.at.After(w.from.Add(outBound)) && !ended {
			return fmt.Errorf("%s ran %s %s after it was taken out", name, run.request, run.at.Sub(w.from))
		}
	}
	return nil
}

func checkResult(id string, out result, runs, keyRuns int, jobs map[string]*job) error {
	switch {
	case out.once && runs > 1:
		return fmt.Errorf("%s ran %d times", id, runs)
	case out.key != "" && keyRuns > 1:
		return fmt.Errorf("the key of %s ran %d times", id, keyRuns)
	case out.verdict == vanillabarrow.VerdictNotRun && runs > 0:
		return fmt.Errorf("%s was said not to have run, but ran (once %t, key %q)", id, out.once, out.key)
	case out.verdict != vanillabarrow.VerdictFinished:
		return nil
	case out.key == "" && (runs == 0 || out.body != id):
		return fmt.Errorf("%s finished with %q after %d runs", id, out.body, runs)
	case out.key != "" && (keyRuns == 0 || !strings.HasPrefix(out.body, "request-") || jobs[out.body].key != out.key):
		return fmt.Errorf("%s finished with %q after %d runs of its key", id, out.body, keyRuns)
	}
	return nil
}

func TestRequestPathMachine(t *testing.T) {
	property.Check(t, func(rt *rapid.T) {
		p := drawPlan(rt)
		var err error
		synctest.Test(t, func(*testing.T) { err = newPlaying(p).play() })
		if err != nil {
			rt.Fatal(err)
		}
	})
}

// TestFenceSettles plays the same plans with and without questions to gates,
// and compares what callers were told.
func TestFenceSettles(t *testing.T) {
	const plans = 100
	drawn := rapid.Custom(drawPlan)
	told := map[bool]map[vanillabarrow.Verdict]int{true: {}, false: {}}
	for mute, verdicts := range told {
		for seed := range plans {
			p := drawn.Example(seed)
			synctest.Test(t, func(t *testing.T) {
				r := newPlaying(p)
				r.world.mute = mute
				require.NoError(t, r.play())
				for _, out := range r.results {
					verdicts[out.verdict]++
				}
			})
		}
	}
	t.Logf("with questions %v, without %v", told[false], told[true])
	require.Greater(t, told[false][vanillabarrow.VerdictFinished], told[true][vanillabarrow.VerdictFinished])
	require.Less(t, told[false][vanillabarrow.VerdictMayHaveRun], told[true][vanillabarrow.VerdictMayHaveRun])
}
