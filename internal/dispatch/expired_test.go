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

// TestExpiredTargetTrials sends requests for ten seconds to a service with one
// registered and one expired target, and checks how many are sent to the
// expired one.
func TestExpiredTargetTrials(t *testing.T) {
	tests := map[string]struct {
		handle func(a *vanillabarrow.Attempt) (*vanillabarrow.Response, error)
		// minimum and maximum bound the attempts at the expired target out of
		// 1,000 requests.
		minimum, maximum int
	}{
		"gate refuses":           {refuseWith(vanillabarrow.ReasonTargetOut), 20, 26},
		"node unreachable":       {refuseWith(vanillabarrow.ReasonUnreachable), 2, 3},
		"gate serves the target": {respondWith(http.StatusOK), 300, 700},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := &fakeGates{handlers: map[string]func(*vanillabarrow.Attempt) (*vanillabarrow.Response, error){
					"a": respondWith(http.StatusOK), "b": tt.handle,
				}}
				d, _ := newDispatcher(g)
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
				attempts := 0
				for _, name := range g.attempted {
					if name == "b" {
						attempts++
					}
				}
				require.GreaterOrEqual(t, attempts, tt.minimum)
				require.LessOrEqual(t, attempts, tt.maximum)
			})
		})
	}
}

// TestOneTrialAtATime checks that an expired target gets no second trial
// request right after the first one, which is still in flight.
func TestOneTrialAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		release := make(chan struct{})
		g := &fakeGates{handlers: map[string]func(*vanillabarrow.Attempt) (*vanillabarrow.Response, error){"b": respondWith(http.StatusOK)}}
		d, _ := newDispatcher(g)
		s := *d.Configuration.Snapshot()
		s.Services = map[string]*vanillabarrow.Service{"desk": {Name: "desk", Timeout: time.Second, ExpiredTargets: []string{"b"}}}
		s.Targets["b"].Expired = true
		cfg := &config{}
		cfg.snapshot.Store(&s)
		d.Configuration = cfg
		d.Forwarder = &blockingForwarder{fakeGates: g, release: release}
		done := make(chan error, 1)
		go func() {
			_, err := d.Do(t.Context(), &vanillabarrow.Request{Service: "desk", Route: "r", MaxAttempts: 2})
			done <- err
		}()
		synctest.Wait()
		_, err := d.Do(t.Context(), &vanillabarrow.Request{Service: "desk", Route: "r", MaxAttempts: 2})
		require.Equal(t, vanillabarrow.ReasonNoTarget, vanillabarrow.AsRefusal(err).Reason)
		close(release)
		require.NoError(t, <-done)
		_, err = d.Do(t.Context(), &vanillabarrow.Request{Service: "desk", Route: "r", MaxAttempts: 2})
		require.NoError(t, err)
	})
}

// blockingForwarder blocks attempts until release is closed.
type blockingForwarder struct {
	*fakeGates
	release chan struct{}
}

func (f *blockingForwarder) Forward(ctx context.Context, a *vanillabarrow.Attempt) (*vanillabarrow.Response, error) {
	<-f.release
	return f.fakeGates.Forward(ctx, a)
}
