package limit

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
)

const (
	orderedSlots = 4
	workTime     = 100 * time.Millisecond
)

// warmOrdered returns a limiter that knows its target to be warm and its work
// to take workTime.
func warmOrdered() *Ordered {
	o := NewOrdered(1)
	o.Configure(&vanillabarrow.Target{Name: "t", Slots: orderedSlots}, nil, time.Now())
	o.UpdateHealth(vanillabarrow.Health{OK: true}, time.Now())
	o.meanWork, o.work["work"] = workTime, workTime
	return o
}

// request is an admission with times from now.
func request(priority int, objective, deadline time.Duration) vanillabarrow.Admission {
	a := vanillabarrow.Admission{Class: "work", Priority: priority, Deadline: time.Now().Add(deadline)}
	if objective > 0 {
		a.Objective = time.Now().Add(objective)
	}
	return a
}

// caller is one request of a test.
type caller struct {
	admission vanillabarrow.Admission
	err       error
	heldFor   time.Duration
	order     int
}

func (c *caller) run(ctx context.Context, o *Ordered, ended *ends) {
	defer ended.wg.Done()
	start := time.Now()
	c.err = o.Acquire(ctx, c.admission)
	c.heldFor = time.Since(start)
	if c.err != nil {
		return
	}
	c.order = ended.next()
	timer := time.NewTimer(workTime)
	<-timer.C
	o.Release(c.admission, vanillabarrow.SignalOK, workTime)
}

// ends counts the grants.
type ends struct {
	wg sync.WaitGroup
	mu sync.Mutex
	n  int
}

func (e *ends) next() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.n++
	return e.n
}

// TestOrder fills the slots and checks which of two waiting requests goes next.
func TestOrder(t *testing.T) {
	tests := map[string]struct {
		first, second waiting
		secondGoes    bool
	}{
		"priority":           {waiting{priority: 2}, waiting{priority: 1}, true},
		"earlier objective":  {waiting{objective: time.Second}, waiting{objective: 500 * time.Millisecond}, true},
		"first come":         {waiting{}, waiting{}, false},
		"late goes behind":   {waiting{objective: time.Second, late: true}, waiting{objective: 2 * time.Second}, true},
		"priority over late": {waiting{priority: 1, objective: time.Second, late: true}, waiting{priority: 2, objective: time.Second}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := warmOrdered()
				for range orderedSlots {
					require.NoError(t, o.Acquire(t.Context(), request(0, 0, time.Minute)))
				}
				ended := &ends{}
				first, second := &caller{admission: tt.first.admission()}, &caller{admission: tt.second.admission()}
				for _, c := range []*caller{first, second} {
					ended.wg.Add(1)
					go c.run(t.Context(), o, ended)
					synctest.Wait()
				}
				o.Release(request(0, 0, time.Minute), vanillabarrow.SignalOK, workTime)
				ended.wg.Wait()
				require.NoError(t, first.err)
				require.NoError(t, second.err)
				require.Equal(t, tt.secondGoes, second.order == 1)
			})
		})
	}
}

// waiting describes a request of TestOrder.
type waiting struct {
	priority  int
	objective time.Duration
	late      bool
}

func (w waiting) admission() vanillabarrow.Admission {
	a := request(w.priority, w.objective, 5*time.Second)
	a.Late = w.late
	return a
}

// TestRefusesAtOnce checks that what can't be served in time is refused on
// arrival, with a delay after which there may be room.
func TestRefusesAtOnce(t *testing.T) {
	tests := map[string]struct {
		waiting   int
		admission waiting
		deadline  time.Duration
		refused   bool
	}{
		"room in time":              {4, waiting{objective: 400 * time.Millisecond}, time.Second, false},
		"objective can't be met":    {12, waiting{objective: 400 * time.Millisecond}, time.Second, true},
		"deadline counts when late": {12, waiting{objective: 400 * time.Millisecond, late: true}, time.Second, false},
		"deadline can't be met":     {12, waiting{late: true, objective: time.Millisecond}, 300 * time.Millisecond, true},
		"higher priority goes in":   {12, waiting{priority: -2, objective: 400 * time.Millisecond}, time.Second, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := warmOrdered()
				ended := &ends{}
				for range orderedSlots + tt.waiting {
					c := &caller{admission: request(-1, 0, time.Minute)}
					ended.wg.Add(1)
					go c.run(t.Context(), o, ended)
				}
				synctest.Wait()
				c := &caller{admission: tt.admission.admission()}
				c.admission.Deadline = time.Now().Add(tt.deadline)
				ended.wg.Add(1)
				go c.run(t.Context(), o, ended)
				ended.wg.Wait()
				require.Equal(t, tt.refused, c.err != nil)
				if tt.refused {
					require.Zero(t, c.heldFor, "a refusal is told at once")
					require.Equal(t, vanillabarrow.VerdictNotRun, vanillabarrow.AsRefusal(c.err).Verdict)
					require.Positive(t, vanillabarrow.AsRefusal(c.err).RetryAfter)
				}
			})
		})
	}
}

// TestEqualsAreNotDisplaced checks that a request with an earlier objective
// does not make one of its own priority late that waits already, and that one
// of a higher priority does.
func TestEqualsAreNotDisplaced(t *testing.T) {
	tests := map[string]struct {
		priority int
		refused  bool
	}{
		"equal":  {1, true},
		"higher": {0, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := warmOrdered()
				ended := &ends{}
				start := func(a vanillabarrow.Admission) *caller {
					c := &caller{admission: a}
					ended.wg.Add(1)
					go c.run(t.Context(), o, ended)
					synctest.Wait()
					return c
				}
				for range orderedSlots + 6 {
					start(request(0, 0, time.Minute))
				}
				waits := start(request(1, 280*time.Millisecond, time.Second))
				c := start(request(tt.priority, 279*time.Millisecond, time.Second))
				ended.wg.Wait()
				require.Equal(t, tt.refused, c.err != nil)
				require.Equal(t, !tt.refused, waits.err != nil)
			})
		})
	}
}

// TestColdRate offers much more than a cold target bears and checks every
// sliding second, across a restart of the gate.
func TestColdRate(t *testing.T) {
	const rate, factor, slack = 24.0, 1.5, 5.0
	service := &vanillabarrow.Service{WarmUp: 3 * time.Second, WarmUpRate: rate}
	tests := map[string]struct {
		restartAt time.Duration
	}{
		"one gate":                    {time.Hour},
		"the gate restarts":           {1300 * time.Millisecond},
		"the gate restarts at once":   {100 * time.Millisecond},
		"the gate restarts at a beat": {time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				target := &vanillabarrow.Target{Name: "t", Slots: 1000, ColdUntil: time.Now().Add(3 * time.Second)}
				fresh := func() *Ordered {
					o := NewOrdered(1)
					o.Configure(target, service, time.Now())
					return o
				}
				o, start := fresh(), time.Now()
				restarted := false
				var sent []time.Duration
				for time.Since(start) < 2900*time.Millisecond {
					if !restarted && time.Since(start) >= tt.restartAt {
						o, restarted = fresh(), true
					}
					ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
					if o.Acquire(ctx, request(0, 0, time.Second)) == nil {
						sent = append(sent, time.Since(start))
						o.Release(request(0, 0, time.Second), vanillabarrow.SignalOK, time.Millisecond)
					}
					cancel()
				}
				for i, at := range sent {
					end, _ := slices.BinarySearch(sent, at+time.Second)
					require.LessOrEqual(t, float64(end-i), rate*factor+slack, "second from %s", at)
				}
				require.Greater(t, len(sent), int(2*rate))
			})
		})
	}
}

// TestLostAnswersKeepTheRate checks that a target that loses answers, and is
// not cold, is not held to its warm-up rate.
func TestLostAnswersKeepTheRate(t *testing.T) {
	service := &vanillabarrow.Service{WarmUp: 3 * time.Second, WarmUpRate: 24}
	tests := map[string]struct {
		signal  vanillabarrow.TargetSignal
		limited bool
	}{
		"answers lost":        {vanillabarrow.SignalRefused, false},
		"connections refused": {vanillabarrow.SignalDown, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := NewOrdered(1)
				o.Configure(&vanillabarrow.Target{Name: "t", Slots: 1000}, service, time.Now())
				o.UpdateHealth(vanillabarrow.Health{OK: true}, time.Now())
				served := 0
				for range 200 {
					ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
					if o.Acquire(ctx, request(0, 0, time.Second)) == nil {
						served++
						o.Release(request(0, 0, time.Second), tt.signal, time.Millisecond)
					}
					cancel()
				}
				require.Equal(t, tt.limited, served < 200)
				require.True(t, o.NeedsHealthCheck())
			})
		})
	}
}

// TestDoubt checks what makes the limiter ask for the target's health, and that
// a target that is down gets nothing until it answers.
func TestDoubt(t *testing.T) {
	tests := map[string]struct {
		signal vanillabarrow.TargetSignal
		doubt  bool
		down   bool
	}{
		"answer":             {vanillabarrow.SignalOK, false, false},
		"failure reported":   {vanillabarrow.SignalFailed, false, false},
		"connection reset":   {vanillabarrow.SignalRefused, true, false},
		"connection refused": {vanillabarrow.SignalDown, true, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			o := warmOrdered()
			require.False(t, o.NeedsHealthCheck())
			a := request(0, 0, time.Minute)
			require.NoError(t, o.Acquire(t.Context(), a))
			o.Release(a, tt.signal, workTime)
			require.Equal(t, tt.doubt, o.NeedsHealthCheck())
			require.Equal(t, tt.down, o.Load(0).Draining)
			if tt.down {
				require.Equal(t, vanillabarrow.ReasonTargetDown, vanillabarrow.AsRefusal(o.Acquire(t.Context(), a)).Reason)
				o.UpdateHealth(vanillabarrow.Health{OK: true}, time.Now())
				require.NoError(t, o.Acquire(t.Context(), a))
			}
		})
	}
}

// play offers an overload of two kinds for ten seconds to a target and counts
// what callers get.
type overload struct {
	inTime, late, refused, expired int
	heldRefused                    time.Duration
}

func (o *overload) add(c *caller) {
	switch {
	case c.err != nil && c.heldFor > time.Second/2:
		o.expired++
	case c.err != nil:
		o.refused++
		o.heldRefused += c.heldFor
	case c.heldFor+workTime <= 400*time.Millisecond:
		o.inTime++
	default:
		o.late++
	}
}

// TestOverloadServesInTime plays 1.6 times what the target bears, a third of it
// more urgent, and compares the ordered limiter with one that serves first come
// first served until the deadline.
func TestOverloadServesInTime(t *testing.T) {
	results := map[string]map[int]*overload{}
	for _, name := range []string{"ordered", "first come"} {
		synctest.Test(t, func(t *testing.T) {
			o := warmOrdered()
			ended := &ends{}
			var callers []*caller
			for i := range 640 {
				a := request(1, 400*time.Millisecond, time.Second)
				if i%3 == 0 {
					a.Priority = 0
				}
				if name == "first come" {
					a.Priority, a.Objective = 1, time.Time{}
				}
				c := &caller{admission: a, order: i}
				callers = append(callers, c)
				ended.wg.Add(1)
				go c.run(t.Context(), o, ended)
				timer := time.NewTimer(10 * time.Second / 640)
				<-timer.C
			}
			ended.wg.Wait()
			results[name] = map[int]*overload{0: {}, 1: {}}
			for i, c := range callers {
				urgent := 1
				if i%3 == 0 {
					urgent = 0
				}
				results[name][urgent].add(c)
			}
		})
	}
	ordered, plain := results["ordered"], results["first come"]
	t.Logf("ordered urgent %+v other %+v; first come urgent %+v other %+v", *ordered[0], *ordered[1], *plain[0], *plain[1])
	require.Greater(t, ordered[0].inTime, 200, "urgent requests are served in time")
	require.Greater(t, ordered[0].inTime+ordered[1].inTime, 2*(plain[0].inTime+plain[1].inTime))
	require.Zero(t, ordered[0].expired+ordered[1].expired, "nobody waits in vain")
}

// TestLoadByPriority checks what requests of different priorities find while
// others wait.
func TestLoadByPriority(t *testing.T) {
	tests := map[string]struct {
		priority int
		queued   int
	}{
		"most urgent":  {0, 0},
		"equal":        {1, 2},
		"less urgent":  {2, 5},
		"behind all":   {vanillabarrow.LowestPriority, 5},
		"between them": {1, 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := warmOrdered()
				ended := &ends{}
				for i := range orderedSlots + 5 {
					priority := 0
					if i >= orderedSlots {
						priority = 1 + min(1, (i-orderedSlots)/2)
					}
					ended.wg.Add(1)
					c := &caller{admission: request(priority, 0, time.Minute)}
					go c.run(t.Context(), o, ended)
					synctest.Wait()
				}
				load := o.Load(tt.priority)
				require.Equal(t, tt.queued, load.Queued)
				require.Equal(t, tt.priority, load.Priority)
				require.GreaterOrEqual(t, o.Load(tt.priority+1).Wait, load.Wait)
				ended.wg.Wait()
			})
		})
	}
}

// TestUrgentStretchesWaits lets requests of two priorities run from a queue: the
// less urgent ones are told a longer wait for the same place.
func TestUrgentStretchesWaits(t *testing.T) {
	now := time.Now()
	tests := map[string]struct {
		urgent  int
		lowest  float64
		highest float64
	}{
		"none":     {0, 1, 1},
		"half":     {50, 1.9, 2.1},
		"almost":   {95, 4.9, 5.1},
		"a fourth": {25, 1.25, 1.4},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			o := NewOrdered(1)
			o.inFlight = 1
			for i := range 1000 {
				priority := 1
				if i*37%100 < tt.urgent {
					priority = 0
				}
				o.countGrant(priority)
			}
			stretch := float64(o.waitOf(1, 3, now)) / float64(o.waitAt(3, now))
			require.GreaterOrEqual(t, stretch, tt.lowest)
			require.LessOrEqual(t, stretch, tt.highest)
			require.Equal(t, o.waitAt(3, now), o.waitOf(0, 3, now), "nothing goes before the most urgent")
		})
	}
}
