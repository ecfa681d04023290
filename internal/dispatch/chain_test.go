package dispatch_test

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/balance"
	"github.com/vanillabarrow/vanillabarrow/internal/dispatch"
	"github.com/vanillabarrow/vanillabarrow/internal/retry"
)

const (
	chainDepth    = 22
	chainRetries  = 2
	chainRequests = 2000
)

// chainService is the forwarder to one service of a call chain. Its target
// calls the next service and sheds the request, as the last service refuses
// all.
type chainService struct {
	next     *dispatch.Dispatcher
	attempts int
	// reportsRetries is set when the target copies the number of retries from
	// the refusal that it received to its own response.
	reportsRetries bool
}

func (s *chainService) Forward(ctx context.Context, a *vanillabarrow.Attempt) (*vanillabarrow.Response, error) {
	s.attempts++
	if s.next == nil {
		return nil, vanillabarrow.NotRun(vanillabarrow.ReasonOverloaded, "")
	}
	refusal := vanillabarrow.NotRun(vanillabarrow.ReasonShed, "")
	_, err := s.next.Do(ctx, &vanillabarrow.Request{
		Service: serviceName, Idempotent: true, Depth: a.Request.Depth + 1, RetriesLeft: a.RetriesLeft,
	})
	if s.reportsRetries {
		refusal.Retries = vanillabarrow.AsRefusal(err).Retries
	}
	return nil, refusal
}

func (*chainService) QueryAttempt(context.Context, *vanillabarrow.Attempt) (*vanillabarrow.AttemptReport, error) {
	return nil, errUnreachable
}

// amplification returns the number of attempts at the last service for each
// request to the first.
func amplification(budgets, reportsRetries bool) float64 {
	c := newCluster(0, 4)
	cfg := &config{}
	cfg.snapshot.Store(c.snapshot(nil))
	services := make([]*chainService, chainDepth)
	var next *dispatch.Dispatcher
	for i := chainDepth - 1; i >= 0; i-- {
		services[i] = &chainService{next: next, reportsRetries: reportsRetries}
		var policy vanillabarrow.RetryPolicy = retry.New(retry.DefaultConfig())
		if !budgets {
			policy = unlimitedRetries{}
		}
		next = dispatch.New(dispatch.Config{
			VM: "sender", DataCentre: "a", Configuration: cfg, Members: members{},
			Balancer: balance.New(vanillabarrow.BalancerRandom), Retry: policy, Forwarder: services[i],
			TargetLoads: dispatch.NewTargetLoads(), Throttle: dispatch.NewThrottle(), DataCentreBreakers: dispatch.NewDataCentreBreakers(), RefusalCache: dispatch.NewRefusalCache(), GateAttempts: dispatch.NewGateAttempts(), ExpiredTargets: dispatch.NewExpiredTargets(), GateTokens: dispatch.NewGateTokens(), Scope: tally.NoopScope, Logger: slog.New(slog.DiscardHandler),
			NewID: func() string { return "attempt" }, QueryAfter: time.Second,
		})
	}
	requests := chainRequests
	if !budgets {
		requests = 20
	}
	for range requests {
		_, _ = next.Do(context.Background(), &vanillabarrow.Request{Service: serviceName, Idempotent: true, RetriesLeft: chainRetries})
	}
	for _, n := range c.nodes {
		n.cancel()
	}
	return float64(services[chainDepth-1].attempts) / float64(requests)
}

type unlimitedRetries struct{}

func (unlimitedRetries) Observe(string)                          {}
func (unlimitedRetries) Allow(string, vanillabarrow.Reason) bool { return true }

// TestChainAmplification checks that retries do not multiply along a call chain
// when the last of 22 services is overloaded.
func TestChainAmplification(t *testing.T) {
	tests := map[string]struct {
		budgets        bool
		reportsRetries bool
		maximum        float64
	}{
		// 10% retries at the last hop and 2% at each of the others make 1.67.
		// The reserves of all retry budgets add a little.
		"targets report retries":    {true, true, 1.8},
		"targets report no retries": {true, false, 1.8},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				got := amplification(tt.budgets, tt.reportsRetries)
				t.Logf("%.2f attempts at the last service for each request", got)
				require.LessOrEqual(t, got, tt.maximum)
			})
		})
	}
}

func BenchmarkChainAmplification(b *testing.B) {
	variants := map[string][2]bool{
		"budgetsAndReportedRetries": {true, true},
		"budgetsOnly":               {true, false},
		"neither":                   {false, false},
	}
	for name, v := range variants {
		b.Run(name, func(b *testing.B) {
			got := 0.0
			for b.Loop() {
				got = amplification(v[0], v[1])
			}
			b.ReportMetric(got, "attempts/request")
		})
	}
}
