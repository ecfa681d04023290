package peer

import (
	"context"
	"net"
	"net/url"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
)

// TestLateDialTimeout guards against a node that takes its own lack of processor time for
// unreachable nodes, and so for a partition.
func TestLateDialTimeout(t *testing.T) {
	timedOut := &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
	tests := map[string]struct {
		took time.Duration
		err  error
		want vanillabarrow.Reason
	}{
		"timeout":                {dialTimeout, timedOut, vanillabarrow.ReasonUnreachable},
		"timeout, a bit late":    {dialTimeout + maxTimerDelay, timedOut, vanillabarrow.ReasonUnreachable},
		"timeout, too late":      {dialTimeout + maxTimerDelay + time.Millisecond, timedOut, vanillabarrow.ReasonNodeDelayed},
		"refused late":           {2 * dialTimeout, syscall.ECONNREFUSED, vanillabarrow.ReasonConnectionFailed},
		"established late":       {2 * dialTimeout, nil, ""},
		"no reaction, by kernel": {dialTimeout / 2, syscall.ETIMEDOUT, vanillabarrow.ReasonUnreachable},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				dial := detectDelay(func(context.Context, string, string) (net.Conn, error) {
					time.Sleep(tt.took)
					return nil, tt.err
				})
				_, err := dial(t.Context(), "tcp", "127.0.0.1:1")
				if tt.want == "" {
					require.NoError(t, err)
					return
				}
				// http.Client wraps the error.
				wrapped := &url.Error{Op: "Get", URL: "http://127.0.0.1:1", Err: err}
				refusal := vanillabarrow.AsRefusal(transportRefusal(t.Context(), wrapped, false))
				require.Equal(t, tt.want, refusal.Reason)
				require.Equal(t, vanillabarrow.VerdictNotRun, refusal.Verdict)
			})
		})
	}
}
