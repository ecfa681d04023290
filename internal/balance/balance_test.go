package balance

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
)

// candidate returns a candidate whose load is known by this node's attempts alone.
func candidate(distance, inFlight, limit int) vanillabarrow.Candidate {
	return vanillabarrow.Candidate{Target: &vanillabarrow.Target{}, Distance: distance, InFlight: inFlight, Load: vanillabarrow.Load{Limit: limit}}
}

func TestTwoChoices(t *testing.T) {
	trial := candidate(0, 0, 1)
	trial.Trial = true
	tests := map[string]struct {
		candidates []vanillabarrow.Candidate
		want       int
	}{
		"none":                             {nil, -1},
		"single":                           {[]vanillabarrow.Candidate{candidate(2, 9, 1)}, 0},
		"less occupied of two":             {[]vanillabarrow.Candidate{candidate(0, 5, 10), candidate(0, 1, 10)}, 1},
		"relative to the limit":            {[]vanillabarrow.Candidate{candidate(0, 3, 4), candidate(0, 4, 20)}, 1},
		"own data centre first":            {[]vanillabarrow.Candidate{candidate(1, 0, 10), candidate(0, 5, 10)}, 1},
		"next distance when full":          {[]vanillabarrow.Candidate{candidate(0, 10, 10), candidate(1, 5, 10)}, 1},
		"least occupied when all are full": {[]vanillabarrow.Candidate{candidate(0, 10, 10), candidate(1, 30, 10)}, 0},
		"trial first":                      {[]vanillabarrow.Candidate{candidate(0, 0, 10), trial}, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := New(vanillabarrow.BalancerTwoChoices)
			for range 50 {
				require.Equal(t, tt.want, b.Pick(tt.candidates, time.Now()))
			}
		})
	}
}

func TestNew(t *testing.T) {
	for _, name := range vanillabarrow.BalancerNames() {
		b := New(name)
		require.NotNil(t, b, name)
		require.Equal(t, -1, b.Pick(nil, time.Now()), name)
		got := b.Pick([]vanillabarrow.Candidate{candidate(0, 0, 1), candidate(0, 0, 1)}, time.Now())
		require.Contains(t, []int{0, 1}, got, name)
	}
	require.Nil(t, New("best"))
}

// completion is the end of a request at a target.
type completion struct {
	at     time.Duration
	target int
}

// completions is a heap of completions by time.
type completions []completion

func (c completions) Len() int           { return len(c) }
func (c completions) Less(i, j int) bool { return c[i].at < c[j].at }
func (c completions) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *completions) Push(x any)        { *c = append(*c, x.(completion)) }

func (c *completions) Pop() any {
	old := *c
	last := old[len(old)-1]
	*c = old[:len(old)-1]
	return last
}

// simulatedTarget is a target with a fixed number of slots and a mean service time.
// Further requests wait for the first slot that becomes free.
type simulatedTarget struct {
	serviceTime time.Duration
	slotFreeAt  []time.Duration
	inFlight    int
}

// BenchmarkUneven sends the same arrivals to eight targets with mean service times
// from 5 to 20 ms and reports the latency for each balancer.
func BenchmarkUneven(b *testing.B) {
	for _, name := range vanillabarrow.BalancerNames() {
		b.Run(name, func(b *testing.B) {
			var latencies []time.Duration
			for b.Loop() {
				latencies = simulateUnevenTargets(New(name))
			}
			slices.Sort(latencies)
			b.ReportMetric(float64(latencies[len(latencies)/2])/1e6, "p50-ms")
			b.ReportMetric(float64(latencies[len(latencies)*99/100])/1e6, "p99-ms")
		})
	}
}

// simulateUnevenTargets simulates random arrivals and service times. It returns the
// latency of each request.
func simulateUnevenTargets(balancer vanillabarrow.Balancer) []time.Duration {
	const (
		slots    = 12
		requests = 20000
		load     = 0.7
	)
	targets := make([]*simulatedTarget, 8)
	capacity := 0.0
	for i := range targets {
		targets[i] = &simulatedTarget{serviceTime: time.Duration(5+5*(i%4)) * time.Millisecond, slotFreeAt: make([]time.Duration, slots)}
		capacity += slots / targets[i].serviceTime.Seconds()
	}
	source := rand.New(rand.NewPCG(1, 2))
	now, open := time.Duration(0), &completions{}
	latencies := make([]time.Duration, 0, requests)
	candidates := make([]vanillabarrow.Candidate, len(targets))
	for range requests {
		now += time.Duration(source.ExpFloat64() / (load * capacity) * float64(time.Second))
		for open.Len() > 0 && (*open)[0].at <= now {
			targets[heap.Pop(open).(completion).target].inFlight--
		}
		for i, t := range targets {
			candidates[i] = candidate(0, t.inFlight, slots)
		}
		n := balancer.Pick(candidates, time.Time{}.Add(now))
		t := targets[n]
		slot := slices.Index(t.slotFreeAt, slices.Min(t.slotFreeAt))
		end := max(now, t.slotFreeAt[slot]) + time.Duration(source.ExpFloat64()*float64(t.serviceTime))
		t.slotFreeAt[slot] = end
		t.inFlight++
		heap.Push(open, completion{end, n})
		latencies = append(latencies, end-now)
	}
	return latencies
}

func BenchmarkPick(b *testing.B) {
	candidates := make([]vanillabarrow.Candidate, 24)
	for i := range candidates {
		candidates[i] = candidate(i%3, i, 12)
	}
	balancer := New(vanillabarrow.BalancerTwoChoices)
	now := time.Now()
	b.ReportAllocs()
	for b.Loop() {
		balancer.Pick(candidates, now)
	}
}
