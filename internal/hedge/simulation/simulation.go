// Package simulation compares ways to hedge requests by a simulation of one service,
// with the policy of package hedge at each entry node.
package simulation

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/vanillabarrow/vanillabarrow/internal/hedge"
)

// The simulated service is listings A of docs/HARD-LOAD.md: list lookups, which may
// be hedged, and adjournment notices, which may not, over 77 entry nodes. Requests
// go to the less occupied of two random targets.
const (
	simTargets, simSlots, simNodes = 48, 18, 77
	simLength, simWarmUp           = 120.0, 10.0
	lookupRate, noticeRate         = 908.0, 404.0
	noisePeriod                    = 0.6
)

var simSpeeds = []float64{0.7, 0.7, 1.6}

// simAttempt is one attempt at a target, with the work in seconds at speed 1.
type simAttempt struct {
	request      *simRequest
	target       *simTarget
	start, end   float64
	slowdown     float64
	ended, begun bool
}

type simRequest struct {
	node     int
	arrived  float64
	hedged   bool
	done     bool
	attempts []*simAttempt
	work     func() float64
}

type simTarget struct {
	speed, noise float64
	running      int
	queue        []*simAttempt
}

type simEvent struct {
	at float64
	do func()
}

type simEvents []simEvent

func (e simEvents) Len() int           { return len(e) }
func (e simEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e simEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)        { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simulation runs the service with a way to hedge. Delay returns the delay of a
// lookup from its node and target in seconds, negative for none.
type simulation struct {
	r         *rand.Rand
	now       float64
	events    simEvents
	targets   []*simTarget
	policies  []*hedge.Policy
	delay     func(s *simulation, node int, t *simTarget) float64
	unlimited bool
	// tied is set when the other attempt of a request is canceled as soon as one
	// begins.
	tied                bool
	latencies           []float64
	lookups, extra      int
	busy, busyForLosers float64
}

func (s *simulation) at(t float64, do func()) { heap.Push(&s.events, simEvent{t, do}) }

func (s *simulation) choose(not *simTarget) *simTarget {
	a, b := s.targets[s.r.IntN(simTargets)], s.targets[s.r.IntN(simTargets)]
	if a == not || b != not && b.running+len(b.queue) < a.running+len(a.queue) {
		a = b
	}
	return a
}

func (s *simulation) send(q *simRequest, t *simTarget) {
	a := &simAttempt{request: q, target: t}
	q.attempts = append(q.attempts, a)
	if t.running >= simSlots {
		t.queue = append(t.queue, a)
		return
	}
	s.begin(a)
}

func (s *simulation) begin(a *simAttempt) {
	a.begun, a.start = true, s.now
	a.target.running++
	if s.tied {
		for _, other := range a.request.attempts {
			if other != a {
				s.end(other, true)
			}
		}
	}
	s.at(s.now+a.request.work()*a.target.speed*a.target.noise, func() { s.end(a, false) })
}

func (s *simulation) end(a *simAttempt, canceled bool) {
	if a.ended {
		return
	}
	a.ended = true
	if !a.begun {
		a.target.queue = slices.DeleteFunc(a.target.queue, func(b *simAttempt) bool { return a == b })
		return
	}
	a.target.running--
	s.busy += s.now - a.start
	if canceled {
		s.busyForLosers += s.now - a.start
	}
	if len(a.target.queue) > 0 {
		next := a.target.queue[0]
		a.target.queue = a.target.queue[1:]
		s.begin(next)
	}
	q := a.request
	if canceled || q.done {
		return
	}
	q.done = true
	for _, other := range q.attempts {
		s.end(other, true)
	}
	if q.node >= 0 {
		s.policies[q.node].Record("lookup", seconds(s.now-q.arrived))
		if q.arrived > simWarmUp {
			s.latencies = append(s.latencies, s.now-q.arrived)
		}
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// arrive starts a request of one kind and schedules the next one.
func (s *simulation) arrive(rate float64, lookup bool) {
	if s.now > simLength {
		return
	}
	s.at(s.now+s.r.ExpFloat64()/rate, func() { s.arrive(rate, lookup) })
	mean := 0.29
	if lookup {
		mean = 0.22
	}
	q := &simRequest{node: -1, arrived: s.now}
	tail := 1.0
	if s.r.Float64() < 0.03 {
		tail = 7
	}
	q.work = func() float64 { return mean * tail * math.Exp(0.5*s.r.NormFloat64()-0.125) }
	if !lookup {
		s.send(q, s.choose(nil))
		return
	}
	q.node = s.r.IntN(simNodes)
	s.lookups++
	policy := s.policies[q.node]
	policy.Observe("listings")
	t := s.choose(nil)
	delay := s.delay(s, q.node, t)
	s.send(q, t)
	if delay < 0 {
		return
	}
	s.at(s.now+delay, func() {
		other := s.choose(t)
		if s.tied && q.attempts[0].begun {
			return
		}
		if q.done || (!s.tied && other.running >= simSlots) || !s.unlimited && !policy.Allow("listings") {
			return
		}
		s.extra++
		s.send(q, other)
	})
}

func (s *simulation) changeNoise() {
	for _, t := range s.targets {
		t.noise = 1
		if s.r.Float64() < 0.15 {
			t.noise = 2.5
		}
	}
	if s.now < simLength {
		s.at(s.now+noisePeriod, s.changeNoise)
	}
}

// Variant is one way to hedge.
type Variant struct {
	Name string
	// Share and Quantile are the parameters of the policy.
	Share, Quantile float64
	// unlimited is set for a variant without the limit of the policy.
	unlimited bool
	delay     func(s *simulation, node int, t *simTarget) float64
}

// Result holds the latencies of the requests that may be hedged, and the extra work,
// of which Extra, Wasted and Busy are percentages: of requests with a second attempt,
// of busy time spent on canceled attempts, and of the capacity.
type Result struct {
	P50, P95, P99       time.Duration
	Extra, Wasted, Busy float64
}

// Variants returns the ways that docs/design/hedging.md compares. Whether the 3% of
// long requests are long at each target or only at one is not known; they are long at
// each here, and the rest of the work is drawn anew for each attempt.
func Variants() []Variant {
	none := func(*simulation, int, *simTarget) float64 { return -1 }
	fixed := func(d float64) func(*simulation, int, *simTarget) float64 {
		return func(*simulation, int, *simTarget) float64 { return d }
	}
	perRoute := func(s *simulation, node int, _ *simTarget) float64 {
		if d, ok := s.policies[node].Delay("lookup"); ok {
			return d.Seconds()
		}
		return -1
	}
	// The quantile of a target is that of the route times its speed, as an exact
	// estimate for each target would give.
	perTarget := func(s *simulation, node int, t *simTarget) float64 { return perRoute(s, node, t) * t.speed }
	return []Variant{
		{"none", 0.05, 0.9, false, none},
		{"fixed-400ms", 0.05, 0.9, false, fixed(0.4)},
		{"fixed-800ms", 0.05, 0.9, false, fixed(0.8)},
		{"route-p80", 0.05, 0.8, false, perRoute},
		{"route-p90", 0.05, 0.9, false, perRoute},
		{"route-p95", 0.05, 0.95, false, perRoute},
		{"route-p90-share-10", 0.1, 0.9, false, perRoute},
		{"target-p90", 0.05, 0.9, false, perTarget},
		{"two-at-once", 0.05, 0.9, true, fixed(0)},
		{"two-cancel-on-start", 0.05, 0.9, true, fixed(0)},
	}
}

// Run simulates a variant.
func Run(v Variant) Result {
	s := &simulation{r: rand.New(rand.NewPCG(6, 6)), delay: v.delay, unlimited: v.unlimited, tied: v.Name == "two-cancel-on-start"}
	for i := range simTargets {
		s.targets = append(s.targets, &simTarget{speed: simSpeeds[i%len(simSpeeds)]})
	}
	for range simNodes {
		s.policies = append(s.policies, hedge.New(hedge.Config{Share: v.Share, Quantile: v.Quantile, MinDelay: 50 * time.Millisecond}))
	}
	s.changeNoise()
	s.arrive(lookupRate, true)
	s.arrive(noticeRate, false)
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.do()
	}
	slices.Sort(s.latencies)
	at := func(q float64) time.Duration { return seconds(s.latencies[int(q*float64(len(s.latencies)))]) }
	return Result{
		P50: at(0.5), P95: at(0.95), P99: at(0.99), Extra: 100 * float64(s.extra) / float64(s.lookups),
		Wasted: 100 * s.busyForLosers / s.busy, Busy: 100 * s.busy / simLength / simTargets / simSlots,
	}
}
