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
		"none":                        {nil, -1},
		"one":                         {[]vanillabarrow.Candidate{candidate(2, 9, 1)}, 0},
		"less occupied of two":        {[]vanillabarrow.Candidate{candidate(0, 5, 10), candidate(0, 1, 10)}, 1},
		"by limit, not by number":     {[]vanillabarrow.Candidate{candidate(0, 3, 4), candidate(0, 4, 20)}, 1},
		"own data centre first":       {[]vanillabarrow.Candidate{candidate(1, 0, 10), candidate(0, 5, 10)}, 1},
		"spills when full":            {[]vanillabarrow.Candidate{candidate(0, 10, 10), candidate(1, 5, 10)}, 1},
		"near again when all is full": {[]vanillabarrow.Candidate{candidate(0, 10, 10), candidate(1, 30, 10)}, 0},
		"trial goes first":            {[]vanillabarrow.Candidate{candidate(0, 0, 10), trial}, 1},
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

// ending is a request that ends at a time.
type ending struct {
	at     time.Duration
	target int
}

type endings []ending

func (e endings) Len() int           { return len(e) }
func (e endings) Less(i, j int) bool { return e[i].at < e[j].at }
func (e endings) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *endings) Push(x any)        { *e = append(*e, x.(ending)) }

func (e *endings) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// queueOf is a target with slots of a given speed. Requests beyond the slots
// wait for the first that is free.
type queueOf struct {
	service  time.Duration
	free     []time.Duration
	inFlight int
}

// BenchmarkUneven offers the same arrivals to eight targets, of which some are
// four times as slow as others, and reports the latency of each balancer.
func BenchmarkUneven(b *testing.B) {
	for _, name := range vanillabarrow.BalancerNames() {
		b.Run(name, func(b *testing.B) {
			var latencies []time.Duration
			for b.Loop() {
				latencies = uneven(New(name))
			}
			slices.Sort(latencies)
			b.ReportMetric(float64(latencies[len(latencies)/2])/1e6, "p50-ms")
			b.ReportMetric(float64(latencies[len(latencies)*99/100])/1e6, "p99-ms")
		})
	}
}

func uneven(balancer vanillabarrow.Balancer) []time.Duration {
	const (
		slots    = 12
		requests = 20000
		load     = 0.7
	)
	targets := make([]*queueOf, 8)
	capacity := 0.0
	for i := range targets {
		targets[i] = &queueOf{service: time.Duration(5+5*(i%4)) * time.Millisecond, free: make([]time.Duration, slots)}
		capacity += slots / targets[i].service.Seconds()
	}
	source := rand.New(rand.NewPCG(1, 2))
	now, open := time.Duration(0), &endings{}
	latencies := make([]time.Duration, 0, requests)
	candidates := make([]vanillabarrow.Candidate, len(targets))
	for range requests {
		now += time.Duration(source.ExpFloat64() / (load * capacity) * float64(time.Second))
		for open.Len() > 0 && (*open)[0].at <= now {
			targets[heap.Pop(open).(ending).target].inFlight--
		}
		for i, t := range targets {
			candidates[i] = candidate(0, t.inFlight, slots)
		}
		n := balancer.Pick(candidates, time.Time{}.Add(now))
		t := targets[n]
		slot := slices.Index(t.free, slices.Min(t.free))
		end := max(now, t.free[slot]) + time.Duration(source.ExpFloat64()*float64(t.service))
		t.free[slot] = end
		t.inFlight++
		heap.Push(open, ending{end, n})
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
