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

// TestTransportRefusal checks that only a node that does not react at all counts
// as unreachable, and that the request may have run only if it may have been
// sent.
func TestTransportRefusal(t *testing.T) {
	tests := map[string]struct {
		err  error
		want vanillabarrow.Reason
	}{
		"refused":        {syscall.ECONNREFUSED, vanillabarrow.ReasonConnectionFailed},
		"reset":          {syscall.ECONNRESET, vanillabarrow.ReasonConnectionFailed},
		"closed":         {io.EOF, vanillabarrow.ReasonConnectionFailed},
		"unacknowledged": {&net.OpError{Op: "read", Err: syscall.ETIMEDOUT}, vanillabarrow.ReasonUnreachable},
		"dial timeout":   {&net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}, vanillabarrow.ReasonUnreachable},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for _, mayHaveRun := range []bool{false, true} {
				refusal := vanillabarrow.AsRefusal(transportRefusal(t.Context(), tt.err, mayHaveRun))
				require.Equal(t, tt.want, refusal.Reason)
				require.Equal(t, mayHaveRun, refusal.Verdict == vanillabarrow.VerdictMayHaveRun)
			}
		})
	}
}
