package peer

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
	"github.com/vanillabarrow/vanillabarrow/internal/standin"
)

// receiver counts the bytes that arrive until the connection is closed.
type receiver struct {
	conn  net.Conn
	bytes chan int64
}

func (r *receiver) run() {
	n, _ := io.Copy(io.Discard, r.conn)
	r.bytes <- n
}

// TestAbandonedAttemptIsNotSent guards against an attempt that reaches a gate
// after its node has told the caller that it has not run.
func TestAbandonedAttemptIsNotSent(t *testing.T) {
	tests := map[string]struct {
		abandon bool
	}{
		"abandoned while connecting": {true},
		"not abandoned":              {false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client, server := net.Pipe()
				r := &receiver{conn: server, bytes: make(chan int64, 1)}
				go r.run()
				a := &vanillabarrow.Attempt{
					ID: "attempt-1", Address: "node", Target: &vanillabarrow.Target{Name: "t1"}, Deadline: time.Now().Add(time.Second),
					Request: &vanillabarrow.Request{Method: http.MethodGet, Path: "/", Idempotent: true}, Sending: &vanillabarrow.Sending{},
				}
				f := NewForwarder("vm", &recordingObserver{}, kernel.NewTraffic())
				f.client.Transport.(*http.Transport).DialContext = func(context.Context, string, string) (net.Conn, error) {
					// The processor is so busy that the canceled attempt still gets its
					// connection.
					if tt.abandon {
						require.True(t, a.Sending.Abandon())
					}
					return client, nil
				}
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				_, err := f.Forward(ctx, a)
				require.Equal(t, tt.abandon, vanillabarrow.AsRefusal(err).Verdict == vanillabarrow.VerdictNotRun)
				require.False(t, a.Sending.Abandon())
				require.Equal(t, tt.abandon, <-r.bytes == 0)
			})
		})
	}
}

// TestAbandonedBodyIsNotSent guards against an attempt that counts as sent because the
// gate requests its body after the attempt was abandoned.
func TestAbandonedBodyIsNotSent(t *testing.T) {
	gate := startRawNode(t, standin.RawConfig{Response: "HTTP/1.1 100 Continue\r\n\r\n", Keep: true})
	a := &vanillabarrow.Attempt{
		ID: "attempt-1", Address: gate.Address(), Target: &vanillabarrow.Target{Name: "t1"}, Deadline: time.Now().Add(time.Minute),
		Request: &vanillabarrow.Request{Method: http.MethodPost, Path: "/", Body: []byte("body"), Size: 4}, Sending: &vanillabarrow.Sending{},
	}
	f := NewForwarder("vm", &recordingObserver{}, kernel.NewTraffic())
	defer f.Close()
	dial := f.client.Transport.(*http.Transport).DialContext
	f.client.Transport.(*http.Transport).DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		require.True(t, a.Sending.Abandon())
		return dial(ctx, network, address)
	}
	_, err := f.Forward(t.Context(), a)
	require.Equal(t, vanillabarrow.VerdictNotRun, vanillabarrow.AsRefusal(err).Verdict, err)
}
