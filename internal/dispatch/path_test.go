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
	// minGateAge is the age of the gates at the start of a plan. Gates younger
	// than idempotency.MaxClockSkew can't tell whether an idempotency key was
	// used before they started.
	minGateAge = 5 * time.Second
	// outOfServiceBound is the time after which a target that was taken out of
	// service gets no new requests.
	outOfServiceBound = 3 * time.Second
	// maxApplyLag is the maximum time until a node has a version in force.
	maxApplyLag = 2 * time.Second
)

// eventKind is an event at the node of a target.
type eventKind int

const (
	eventRestart eventKind = iota
	eventPause
	eventPartition
	eventOutOfService
	eventTargetDown
	eventKindCount
)

// event is in effect from at to at+length.
type event struct {
	kind   eventKind
	at     time.Duration
	length time.Duration
	target int
	lags   []time.Duration
}

// plan is a generated sequence of requests and events.
type plan struct {
	requests []*plannedRequest
	events   []event
}

const (
	planSenders = 2
	planTargets = 3
)

func drawPlan(t *rapid.T) plan {
	var p plan
	ms := func(low, high int, name string) time.Duration {
		return time.Duration(rapid.IntRange(low, high).Draw(t, name)) * time.Millisecond
	}
	keys := rapid.IntRange(1, 6).Draw(t, "keys")
	for range rapid.IntRange(1, 30).Draw(t, "jobs") {
		request := &plannedRequest{
			at:          ms(0, 12000, "at"),
			sender:      rapid.IntRange(0, planSenders-1).Draw(t, "entry"),
			idempotent:  rapid.IntRange(0, 3).Draw(t, "idempotent") == 0,
			serviceTime: ms(1, 900, "service"),
			timeout:     ms(50, 6000, "budget"),
			faultDelay:  ms(1, 4000, "late"),
		}
		if !request.idempotent && rapid.Bool().Draw(t, "keyed") {
			request.key = fmt.Sprint(rapid.IntRange(0, keys-1).Draw(t, "key"))
		}
		for range rapid.IntRange(0, 3).Draw(t, "faults") {
			request.faults = append(request.faults, fault(rapid.IntRange(0, int(faultCount)-1).Draw(t, "fault")))
		}
		p.requests = append(p.requests, request)
	}
	for range rapid.IntRange(0, 5).Draw(t, "events") {
		e := event{
			kind:   eventKind(rapid.IntRange(0, int(eventKindCount)-1).Draw(t, "event")),
			at:     ms(0, 12000, "eventAt"),
			length: ms(1, 6000, "length"),
			target: rapid.IntRange(0, planTargets-1).Draw(t, "target"),
		}
		for range planSenders + planTargets {
			e.lags = append(e.lags, ms(0, int(maxApplyLag/time.Millisecond), "lag"))
		}
		p.events = append(p.events, e)
	}
	return p
}

// result is what a caller received.
type result struct {
	verdict       vanillabarrow.Verdict
	body          string
	key           string
	nonIdempotent bool
}

// planRun is the simulation of one plan.
type planRun struct {
	plan    plan
	cluster *cluster
	wg      sync.WaitGroup

	mu           sync.Mutex
	results      map[string]result
	outOfService map[string][]window
	outCount     map[string]int
}

// window is a period in which a target was out of service.
type window struct {
	from time.Time
	to   time.Time
}

func newPlanRun(p plan) *planRun {
	return &planRun{
		plan:         p,
		cluster:      newCluster(planSenders, planTargets),
		results:      map[string]result{},
		outOfService: map[string][]window{},
		outCount:     map[string]int{},
	}
}

// run simulates the plan and returns the first violated guarantee.
func (r *planRun) run() error {
	p := r.plan
	time.Sleep(minGateAge)
	keys := map[string]string{}
	for i, request := range p.requests {
		if request.key != "" {
			if keys[request.key] == "" {
				keys[request.key] = uuid.Must(uuid.NewV7()).String()
			}
			request.key = keys[request.key]
		}
		r.cluster.requests[fmt.Sprintf("request-%d", i)] = request
	}
	for i, request := range p.requests {
		r.wg.Add(1)
		go r.runRequest(fmt.Sprintf("request-%d", i), request)
	}
	for _, e := range p.events {
		r.wg.Add(1)
		go r.runEvent(e)
	}
	r.wg.Wait()
	// Delayed copies arrive after the last response.
	time.Sleep(time.Minute)
	synctest.Wait()
	for _, n := range r.cluster.nodes {
		n.cancel()
	}
	synctest.Wait()
	return r.check()
}

func (r *planRun) runRequest(id string, request *plannedRequest) {
	defer r.wg.Done()
	time.Sleep(request.at)
	ctx, cancel := context.WithTimeout(context.Background(), request.timeout)
	defer cancel()
	resp, err := r.cluster.senders[request.sender].Do(ctx, &vanillabarrow.Request{
		ID: id, Service: serviceName, Method: "POST", Path: "/returns/" + request.key, Idempotent: request.idempotent,
		Key: request.key, RetriesLeft: 2,
	})
	out := result{verdict: vanillabarrow.VerdictFinished, key: request.key, nonIdempotent: !request.idempotent}
	if err != nil {
		out.verdict = vanillabarrow.AsRefusal(err).Verdict
	} else {
		out.body = string(resp.Body)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results[id] = out
}

func (r *planRun) runEvent(e event) {
	defer r.wg.Done()
	time.Sleep(e.at)
	n := r.cluster.nodes[e.target]
	switch e.kind {
	case eventRestart:
		n.restart()
	case eventPause:
		n.pause()
		time.Sleep(e.length)
		n.resume()
	case eventPartition:
		r.setUnreachable(n.name, true)
		time.Sleep(e.length)
		r.setUnreachable(n.name, false)
	case eventOutOfService:
		r.changeOutCount(n.name, 1, e.lags)
		time.Sleep(e.length)
		r.changeOutCount(n.name, -1, e.lags)
	case eventTargetDown:
		n.backend.mu.Lock()
		n.backend.down = true
		n.backend.mu.Unlock()
		time.Sleep(e.length)
		n.backend.mu.Lock()
		n.backend.down = false
		n.backend.mu.Unlock()
	}
}

func (r *planRun) setUnreachable(name string, unreachable bool) {
	r.cluster.mu.Lock()
	defer r.cluster.mu.Unlock()
	r.cluster.unreachable[name] = unreachable
}

// changeOutCount adds delta to the number of current outages of the target. It
// publishes a version in which the target is out of service if there is any,
// and puts it in force at each node after the node's lag.
func (r *planRun) changeOutCount(name string, delta int, lags []time.Duration) {
	r.mu.Lock()
	r.outCount[name] += delta
	switch {
	case delta > 0 && r.outCount[name] == 1:
		r.outOfService[name] = append(r.outOfService[name], window{from: time.Now()})
	case delta < 0 && r.outCount[name] == 0:
		r.outOfService[name][len(r.outOfService[name])-1].to = time.Now()
	}
	var out []string
	for name, n := range r.outCount {
		if n > 0 {
			out = append(out, name)
		}
	}
	s := r.cluster.snapshot(out)
	r.mu.Unlock()
	for node, lag := range lags {
		r.wg.Add(1)
		go r.runApply(node, lag, s)
	}
}

func (r *planRun) runApply(node int, lag time.Duration, s *vanillabarrow.Snapshot) {
	defer r.wg.Done()
	time.Sleep(lag)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cluster.apply(node, s)
}

// check compares what the callers received with what the targets ran.
func (r *planRun) check() error {
	byRequest, byKey := map[string]int{}, map[string]int{}
	for _, n := range r.cluster.nodes {
		// Requests that an earlier gate sent may still run when the next one
		// starts.
		if n.backend.peak > targetSlots*n.starts {
			return fmt.Errorf("%s ran %d requests concurrently", n.name, n.backend.peak)
		}
		for _, run := range n.backend.executions {
			byRequest[run.request]++
			if run.nonIdempotent && run.key != "" {
				byKey[run.key]++
			}
			if err := r.checkOutOfService(n.name, run); err != nil {
				return err
			}
		}
	}
	for id, out := range r.results {
		if err := checkResult(id, out, byRequest[id], byKey[out.key], r.cluster.requests); err != nil {
			return err
		}
	}
	return nil
}

func (r *planRun) checkOutOfService(name string, run execution) error {
	for _, w := range r.outOfService[name] {
		ended := !w.to.IsZero() && !run.at.Before(w.to)
		if run.at.After(w.from.Add(outOfServiceBound)) && !ended {
			return fmt.Errorf("%s ran %s %s after it was taken out of service", name, run.request, run.at.Sub(w.from))
		}
	}
	return nil
}

func checkResult(id string, out result, runs, keyRuns int, requests map[string]*plannedRequest) error {
	switch {
	case out.nonIdempotent && runs > 1:
		return fmt.Errorf("%s ran %d times", id, runs)
	case out.key != "" && keyRuns > 1:
		return fmt.Errorf("the key of %s ran %d times", id, keyRuns)
	case out.verdict == vanillabarrow.VerdictNotRun && runs > 0:
		return fmt.Errorf("%s was reported as not run, but ran (non-idempotent %t, key %q)", id, out.nonIdempotent, out.key)
	case out.verdict != vanillabarrow.VerdictFinished:
		return nil
	case out.key == "" && (runs == 0 || out.body != id):
		return fmt.Errorf("%s finished with %q after %d runs", id, out.body, runs)
	case out.key != "" && (keyRuns == 0 || !strings.HasPrefix(out.body, "request-") || requests[out.body].key != out.key):
		return fmt.Errorf("%s finished with %q after %d runs of its key", id, out.body, keyRuns)
	}
	return nil
}

func TestRequestPathMachine(t *testing.T) {
	property.Check(t, func(rt *rapid.T) {
		p := drawPlan(rt)
		var err error
		synctest.Test(t, func(*testing.T) { err = newPlanRun(p).run() })
		if err != nil {
			rt.Fatal(err)
		}
	})
}

// TestQueriesResolveAttempts checks that queries to gates resolve attempts that
// otherwise end with an unknown outcome. It runs the same plans with and
// without queries and compares the verdicts.
func TestQueriesResolveAttempts(t *testing.T) {
	const plans = 100
	drawn := rapid.Custom(drawPlan)
	verdictsByMode := map[bool]map[vanillabarrow.Verdict]int{true: {}, false: {}}
	for failQueries, verdicts := range verdictsByMode {
		for seed := range plans {
			p := drawn.Example(seed)
			synctest.Test(t, func(t *testing.T) {
				r := newPlanRun(p)
				r.cluster.failQueries = failQueries
				require.NoError(t, r.run())
				for _, out := range r.results {
					verdicts[out.verdict]++
				}
			})
		}
	}
	t.Logf("with queries %v, without %v", verdictsByMode[false], verdictsByMode[true])
	require.Greater(t, verdictsByMode[false][vanillabarrow.VerdictFinished], verdictsByMode[true][vanillabarrow.VerdictFinished])
	require.Less(t, verdictsByMode[false][vanillabarrow.VerdictMayHaveRun], verdictsByMode[true][vanillabarrow.VerdictMayHaveRun])
}
