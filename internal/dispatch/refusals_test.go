package dispatch_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/dispatch"
)

// TestRefusals checks for whom and for how long a refusal holds.
func TestRefusals(t *testing.T) {
	const advised = 100 * time.Millisecond
	tests := map[string]struct {
		target, route string
		late          bool
		after         time.Duration
		full          bool
	}{
		"same":          {"t", "r", false, 0, true},
		"still":         {"t", "r", false, 20 * time.Millisecond, true},
		"no longer":     {"t", "r", false, 25 * time.Millisecond, false},
		"other target":  {"u", "r", false, 0, false},
		"other route":   {"t", "s", false, 0, false},
		"late requests": {"t", "r", true, 0, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			r := dispatch.NewRefusalCache()
			r.RecordOverload("t", "r", false, advised, now)
			retryAfter, full := r.Lookup(tt.target, tt.route, tt.late, now.Add(tt.after))
			require.Equal(t, tt.full, full)
			if full {
				require.Equal(t, advised, retryAfter)
			}
		})
	}
}

// TestClosed checks for how long a gate is left alone that takes no work for its
// target, whatever the route.
func TestClosed(t *testing.T) {
	tests := map[string]struct {
		reason vanillabarrow.Reason
		// most bounds the attempts in a second of requests every 10 ms.
		most int
	}{
		"target out":     {vanillabarrow.ReasonTargetOut, 6},
		"wrong target":   {vanillabarrow.ReasonWrongTarget, 6},
		"misdirected":    {vanillabarrow.ReasonMisdirected, 6},
		"draining":       {vanillabarrow.ReasonDraining, 6},
		"no config":      {vanillabarrow.ReasonNoConfig, 6},
		"target down":    {vanillabarrow.ReasonTargetDown, 6},
		"target stopped": {vanillabarrow.ReasonDeadline, 100},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := &gates{ends: map[string]func(*vanillabarrow.Attempt) (*vanillabarrow.Response, error){"a": refusing(tt.reason)}}
				d, _ := entry(g)
				for i := range 100 {
					_, err := d.Do(t.Context(), &vanillabarrow.Request{Service: "desk", Route: fmt.Sprint(i), MaxAttempts: 2})
					require.Error(t, err)
					time.Sleep(10 * time.Millisecond)
				}
				require.LessOrEqual(t, len(g.tried), tt.most)
				require.Greater(t, len(g.tried), 3)
			})
		})
	}
}

// TestRefusalsAreBounded remembers the refusals of more routes than there is
// room for.
func TestRefusalsAreBounded(t *testing.T) {
	now := time.Now()
	r := dispatch.NewRefusalCache()
	for i := range 10000 {
		r.RecordOverload("t", fmt.Sprint(i), false, time.Second, now)
	}
	require.LessOrEqual(t, r.Len(), 4096)
	r.Sweep(now.Add(time.Second))
	require.Zero(t, r.Len())
}

// TestOverloadAsksSeldom offers requests for a second to a service whose gates
// have no room. Most are refused without a message between nodes; the gates are
// asked again in time to notice that they have room.
func TestOverloadAsksSeldom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &gates{ends: map[string]func(*vanillabarrow.Attempt) (*vanillabarrow.Response, error){}}
		for _, name := range []string{"a", "b", "c", "d"} {
			g.ends[name] = refusing(vanillabarrow.ReasonOverloaded)
		}
		d, _ := entry(g)
		do := func() error {
			_, err := d.Do(t.Context(), &vanillabarrow.Request{
				Service: "desk", Route: "r", MaxAttempts: 2, Objective: time.Now().Add(400 * time.Millisecond),
			})
			return err
		}
		const requests = 1000
		for range requests {
			refusal := vanillabarrow.AsRefusal(do())
			require.Equal(t, vanillabarrow.VerdictNotRun, refusal.Verdict)
			require.Equal(t, vanillabarrow.ReasonOverloaded, refusal.Reason)
			require.Positive(t, refusal.RetryAfter)
			time.Sleep(time.Millisecond)
		}
		// Four gates, each asked for requests in time and for late ones, once in
		// 17 ms at most.
		require.Less(t, len(g.tried), requests/2)
		require.Greater(t, len(g.tried), 100)

		g.ends["c"] = func(a *vanillabarrow.Attempt) (*vanillabarrow.Response, error) {
			return answering(http.StatusOK)(a)
		}
		time.Sleep(60 * time.Millisecond)
		require.NoError(t, do())
	})
}

// TestRefusalOfOneRequest refuses a request whose own deadline leaves no time:
// others are not kept from the gate by it.
func TestRefusalOfOneRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &gates{ends: map[string]func(*vanillabarrow.Attempt) (*vanillabarrow.Response, error){
			"a": func(a *vanillabarrow.Attempt) (*vanillabarrow.Response, error) {
				if time.Until(a.Deadline) < 100*time.Millisecond {
					return nil, vanillabarrow.NotRun(vanillabarrow.ReasonOverloaded, "the deadline leaves no time to run")
				}
				return answering(http.StatusOK)(a)
			},
		}}
		d, _ := entry(g)
		request := func() *vanillabarrow.Request {
			return &vanillabarrow.Request{Service: "desk", Route: "r", MaxAttempts: 2}
		}
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		_, err := d.Do(ctx, request())
		require.Error(t, err)
		_, err = d.Do(t.Context(), request())
		require.NoError(t, err)
	})
}
