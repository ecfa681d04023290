package dispatch_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
)

// panickingForwarder panics when it forwards or queries an attempt.
type panickingForwarder struct{ forward, query bool }

func (f *panickingForwarder) Forward(ctx context.Context, _ *vanillabarrow.Attempt) (*vanillabarrow.Response, error) {
	if f.forward {
		panic("forward")
	}
	<-ctx.Done()
	return nil, vanillabarrow.MayHaveRun(vanillabarrow.ReasonDeadline, "")
}

func (f *panickingForwarder) QueryAttempt(context.Context, *vanillabarrow.Attempt) (*vanillabarrow.AttemptReport, error) {
	if f.query {
		panic("query")
	}
	return &vanillabarrow.AttemptReport{State: vanillabarrow.AttemptRunning}, nil
}

// TestPanicEndsOnlyTheRequest checks that a panic in a goroutine of an attempt
// is counted and ends the request with a verdict that is true.
func TestPanicEndsOnlyTheRequest(t *testing.T) {
	tests := map[string]*panickingForwarder{
		"forward": {forward: true},
		"query":   {query: true},
	}
	for name, forwarder := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d, _ := newDispatcher(&fakeGates{handlers: handlers{"a": nil}})
				scope := tally.NewTestScope("", nil)
				d.Forwarder, d.Scope, d.QueryAfter = forwarder, scope, 100*time.Millisecond
				_, err := d.Do(t.Context(), &vanillabarrow.Request{Service: "desk", Route: "r", MaxAttempts: 1, Timeout: time.Second})
				require.Equal(t, vanillabarrow.VerdictMayHaveRun, vanillabarrow.AsRefusal(err).Verdict)
				require.Positive(t, scope.Snapshot().Counters()["panics+"].Value())
			})
		})
	}
}
