package dispatch_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
)

// TestLapsedTrials offers requests for ten seconds to a service with one target
// that counts and one that lapsed, and checks how often the lapsed one is asked.
func TestLapsedTrials(t *testing.T) {
	tests := map[string]struct {
		end func(a *vanillabarrow.Attempt) (*vanillabarrow.Response, error)
		// least and most bound the attempts at the lapsed target out of 1,000
		// requests.
		least, most int
	}{
		"its gate does not serve it": {refusing(vanillabarrow.ReasonTargetOut), 20, 26},
		"its node is gone":           {refusing(vanillabarrow.ReasonUnreachable), 2, 3},
		"its gate serves it":         {answering(http.StatusOK), 300, 700},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := &gates{ends: map[string]func(*vanillabarrow.Attempt) (*vanillabarrow.Response, error){
					"a": answering(http.StatusOK), "b": tt.end,
				}}
				d, _ := entry(g)
				s := *d.Configuration.Snapshot()
				s.Services = map[string]*vanillabarrow.Service{"desk": {Name: "desk", Timeout: time.Second, Targets: []string{"a"}, ExpiredTargets: []string{"b"}}}
				s.Targets["b"].Expired = true
				cfg := &config{}
				cfg.snapshot.Store(&s)
				d.Configuration = cfg
				for range 1000 {
					_, err := d.Do(t.Context(), &vanillabarrow.Request{Service: "desk", Route: "r", MaxAttempts: 2})
					require.NoError(t, err)
					time.Sleep(10 * time.Millisecond)
				}
				asked := 0
				for _, name := range g.tried {
					if name == "b" {
						asked++
					}
				}
				require.GreaterOrEqual(t, asked, tt.least)
				require.LessOrEqual(t, asked, tt.most)
			})
		})
	}
}

// TestOneTrialAtATime asks while a trial of a lapsed target is on its way.
func TestOneTrialAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		blocked := make(chan struct{})
		g := &gates{ends: map[string]func(*vanillabarrow.Attempt) (*vanillabarrow.Response, error){"b": answering(http.StatusOK)}}
		d, _ := entry(g)
		s := *d.Configuration.Snapshot()
		s.Services = map[string]*vanillabarrow.Service{"desk": {Name: "desk", Timeout: time.Second, ExpiredTargets: []string{"b"}}}
		s.Targets["b"].Expired = true
		cfg := &config{}
		cfg.snapshot.Store(&s)
		d.Configuration = cfg
		d.Forwarder = &holding{gates: g, until: blocked}
		done := make(chan error, 1)
		go func() {
			_, err := d.Do(t.Context(), &vanillabarrow.Request{Service: "desk", Route: "r", MaxAttempts: 2})
			done <- err
		}()
		synctest.Wait()
		_, err := d.Do(t.Context(), &vanillabarrow.Request{Service: "desk", Route: "r", MaxAttempts: 2})
		require.Equal(t, vanillabarrow.ReasonNoTarget, vanillabarrow.AsRefusal(err).Reason)
		close(blocked)
		require.NoError(t, <-done)
		_, err = d.Do(t.Context(), &vanillabarrow.Request{Service: "desk", Route: "r", MaxAttempts: 2})
		require.NoError(t, err)
	})
}

// holding holds attempts until it is closed.
type holding struct {
	*gates
	until chan struct{}
}

func (h *holding) Forward(ctx context.Context, a *vanillabarrow.Attempt) (*vanillabarrow.Response, error) {
	<-h.until
	return h.gates.Forward(ctx, a)
}
