package peer

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
	"github.com/vanillabarrow/vanillabarrow/internal/relay"
	"github.com/vanillabarrow/vanillabarrow/internal/rollout"
)

// TestSenderLeavesBeforeTheServerReads sends attempts to a node that does not
// accept connections yet, as during its start. Attempts whose connection was
// closed before the node accepted it must not reach the gate, the others must.
func TestSenderLeavesBeforeTheServerReads(t *testing.T) {
	const rounds = 20
	tests := map[string]struct {
		closes bool
		want   int64
	}{
		"connection closed": {true, 0},
		"connection open":   {false, rounds},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var handled atomic.Int64
			gate := &fakeGate{handle: func(context.Context, *vanillabarrow.Attempt) (*vanillabarrow.Response, error) {
				handled.Add(1)
				return &vanillabarrow.Response{Status: http.StatusOK}, nil
			}}
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			logger := slog.New(slog.DiscardHandler)
			server := NewServer(gate, fixedConfig{}, &recordingObserver{}, logger)
			handler := server.Handler(NewRelayServer(relay.NewServer(rollout.New())))
			hook := kernel.NewHTTPServer(kernel.HTTPServerConfig{
				Name: "peer", Listener: listener, Handler: handler, MaxHeaderBytes: maxHeaderBytes, Logger: logger,
			}).Hook()

			conns := make([]net.Conn, 0, rounds)
			for i := range rounds {
				conn, err := net.Dial("tcp", listener.Addr().String())
				require.NoError(t, err)
				_, err = fmt.Fprintf(conn, "GET /returns HTTP/1.1\r\nHost: a\r\nVb-Attempt: a-%d\r\nVb-Target: t1\r\n"+
					"Vb-Idempotent: 1\r\nVb-Budget: 5000000\r\nVb-Depth: 0\r\nVb-Retries: 0\r\n\r\n", i)
				require.NoError(t, err)
				conns = append(conns, conn)
				if tt.closes {
					require.NoError(t, conn.Close())
				}
			}
			require.NoError(t, hook.OnStart(t.Context()))
			if !tt.closes {
				require.Eventually(t, func() bool { return handled.Load() == tt.want }, 10*time.Second, time.Millisecond)
				for _, conn := range conns {
					require.NoError(t, conn.Close())
				}
			}
			// OnStop waits for all requests on accepted connections. The connections
			// before this last one have been accepted once it is served.
			last, err := http.Get("http://" + listener.Addr().String() + "/")
			require.NoError(t, err)
			require.NoError(t, last.Body.Close())
			require.NoError(t, hook.OnStop(t.Context()))
			require.Equal(t, tt.want, handled.Load())
		})
	}
}
