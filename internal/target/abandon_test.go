package target

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
)

// TestAbandonedRequestIsReset cancels a request before its response is
// complete, which must reset the connection: after an orderly close the target
// would still run the request. After a complete response the connection must
// not be reset.
func TestAbandonedRequestIsReset(t *testing.T) {
	tests := map[string]struct {
		response string
		reset    bool
	}{
		"canceled before the response": {"", true},
		"canceled within the response": {"HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\nx", true},
		"response with a body":         {"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx", false},
		"response without a body":      {"HTTP/1.1 204 No Content\r\n\r\n", false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer func() { _ = listener.Close() }()
			e := New(vanillabarrow.TargetRef{Name: "t"}, configuration{&vanillabarrow.Snapshot{
				Targets: map[string]*vanillabarrow.Target{"t": {Name: "t", Address: listener.Addr().String(), Connections: 4}},
			}}, Protocol{})
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() {
				defer close(done)
				response, err := e.Execute(ctx, &vanillabarrow.Attempt{
					ID: "a", Target: &vanillabarrow.Target{Name: "t"}, Deadline: time.Now().Add(time.Minute),
					Request: &vanillabarrow.Request{Method: http.MethodGet, Host: "h", Path: "/"},
				})
				if err == nil && response.Stream != nil {
					_ = response.Stream.Close()
				}
			}()
			conn, err := listener.Accept()
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			_, err = http.ReadRequest(bufio.NewReader(conn))
			require.NoError(t, err)
			_, err = conn.Write([]byte(tt.response))
			require.NoError(t, err)
			if !tt.reset {
				<-done
			}
			cancel()
			<-done
			e.Close()
			_, err = conn.Read(make([]byte, 1))
			require.Equal(t, tt.reset, errors.Is(err, syscall.ECONNRESET), "%v", err)
		})
	}
}
