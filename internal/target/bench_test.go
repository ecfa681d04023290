package target

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
)

// BenchmarkExecute measures a request over a kept connection to a target that
// responds at once.
func BenchmarkExecute(b *testing.B) {
	const ordinary = "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\nContent-Type: text/plain\r\nKeep-Alive: timeout=10\r\nContent-Length: 512\r\n\r\n"
	tests := map[string]struct {
		method    string
		bodyBytes int
	}{
		"no body":       {http.MethodGet, 0},
		"inline body":   {http.MethodPost, 1 << 10},
		"streamed body": {http.MethodPost, 64 << 10},
	}
	for name, tt := range tests {
		b.Run(name, func(b *testing.B) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(b, err)
			defer func() { _ = listener.Close() }()
			target := &rawTarget{listener: listener, responses: []string{ordinary + strings.Repeat("x", 512)}}
			go target.run()
			e := New(vanillabarrow.TargetRef{Name: "t1"}, configuration{&vanillabarrow.Snapshot{Targets: map[string]*vanillabarrow.Target{
				"t1": {Name: "t1", Address: listener.Addr().String(), Connections: 4},
			}}}, echoProtocol{})
			defer e.Close()
			body := make([]byte, tt.bodyBytes)
			b.ReportAllocs()
			for b.Loop() {
				a := attemptWithID("one", body)
				a.Request.Method, a.Deadline = tt.method, time.Now().Add(time.Minute)
				response, err := e.Execute(b.Context(), a)
				require.NoError(b, err)
				require.Len(b, response.Body, 512)
			}
		})
	}
}
