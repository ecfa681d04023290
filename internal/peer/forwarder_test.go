package peer

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
)

// TestSilence tells a node that stays silent from one that reacts.
func TestSilence(t *testing.T) {
	tests := map[string]struct {
		err  error
		want vanillabarrow.Reason
	}{
		"refused":        {syscall.ECONNREFUSED, vanillabarrow.ReasonConnectionFailed},
		"reset":          {syscall.ECONNRESET, vanillabarrow.ReasonConnectionFailed},
		"closed":         {io.EOF, vanillabarrow.ReasonConnectionFailed},
		"unacknowledged": {&net.OpError{Op: "read", Err: syscall.ETIMEDOUT}, vanillabarrow.ReasonUnreachable},
		"not set up":     {&net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}, vanillabarrow.ReasonUnreachable},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for _, exposed := range []bool{false, true} {
				refusal := vanillabarrow.AsRefusal(transportRefusal(t.Context(), tt.err, exposed))
				require.Equal(t, tt.want, refusal.Reason)
				require.Equal(t, exposed, refusal.Verdict == vanillabarrow.VerdictMayHaveRun)
			}
		})
	}
}
