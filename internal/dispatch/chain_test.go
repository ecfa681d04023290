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

// hop is one service of a chain: its target calls the next service, and states
// by an agreed status that it did not run when the next one refused.
type hop struct {
	next     *dispatch.Dispatcher
	attempts int
	// passesBack is set when the target copies the number of retries from the
	// refusal it got to the one it gives.
	passesBack bool
}

func (h *hop) Forward(ctx context.Context, a *vanillabarrow.Attempt) (*vanillabarrow.Response, error) {
	h.attempts++
	if h.next == nil {
		return nil, vanillabarrow.NotRun(vanillabarrow.ReasonOverloaded, "")
	}
	refusal := vanillabarrow.NotRun(vanillabarrow.ReasonShed, "")
	_, err := h.next.Do(ctx, &vanillabarrow.Request{
		Service: serviceName, Idempotent: true, Depth: a.Request.Depth + 1, RetriesLeft: a.RetriesLeft,
	})
	if h.passesBack {
		refusal.Retries = vanillabarrow.AsRefusal(err).Retries
	}
	return nil, refusal
}

func (*hop) QueryAttempt(context.Context, *vanillabarrow.Attempt) (*vanillabarrow.AttemptReport, error) {
	return nil, errCut
}

// amplification returns the attempts at the last service for each request at
// the first.
func amplification(budgets, passesBack bool) float64 {
	w := newWorld(0, 4)
	cfg := &config{}
	cfg.snapshot.Store(w.snapshot(nil))
	hops := make([]*hop, chainDepth)
	var next *dispatch.Dispatcher
	for i := chainDepth - 1; i >= 0; i-- {
		hops[i] = &hop{next: next, passesBack: passesBack}
		var policy vanillabarrow.RetryPolicy = retry.New(retry.DefaultConfig())
		if !budgets {
			policy = unlimited{}
		}
		next = dispatch.New(dispatch.Config{
			VM: "entry", DataCentre: "a", Configuration: cfg, Members: members{},
			Balancer: balance.New(vanillabarrow.BalancerRandom), Retry: policy, Forwarder: hops[i],
			TargetLoads: dispatch.NewTargetLoads(), Throttle: dispatch.NewThrottle(), DataCentreBreakers: dispatch.NewDataCentreBreakers(), RefusalCache: dispatch.NewRefusalCache(), ExpiredTargets: dispatch.NewExpiredTargets(), GateTokens: dispatch.NewGateTokens(), Scope: tally.NoopScope, Logger: slog.New(slog.DiscardHandler),
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
	for _, h := range w.hosts {
		h.cancel()
	}
	return float64(hops[chainDepth-1].attempts) / float64(requests)
}

type unlimited struct{}

func (unlimited) Observe(string)                          {}
func (unlimited) Allow(string, vanillabarrow.Reason) bool { return true }

// TestChainDoesNotMultiply overloads the last of 22 services.
func TestChainDoesNotMultiply(t *testing.T) {
	tests := map[string]struct {
		budgets    bool
		passesBack bool
		most       float64
	}{
		// 10% at the last hop and 2% at each of the others make 1.67, and the
		// reserves of all hops add a little.
		"targets pass the retries back": {true, true, 1.8},
		"targets pass nothing back":     {true, false, 1.8},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				got := amplification(tt.budgets, tt.passesBack)
				t.Logf("%.2f attempts at the last service for each request", got)
				require.LessOrEqual(t, got, tt.most)
			})
		})
	}
}

func BenchmarkChainAmplification(b *testing.B) {
	variants := map[string][2]bool{
		"budgetsAndPassedBack": {true, true},
		"budgetsOnly":          {true, false},
		"neither":              {false, false},
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
