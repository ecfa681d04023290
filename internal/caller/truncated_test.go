package caller

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
	"github.com/vanillabarrow/vanillabarrow/internal/route"
)

// TestTruncatedResponseLooksTruncated checks that a caller can tell a response that
// breaks off from a whole one, in each version of HTTP/1.
func TestTruncatedResponseLooksTruncated(t *testing.T) {
	// partBytes is more than net/http buffers before it sends.
	const partBytes = 64 << 10
	streams := map[string]struct {
		newStream func(r io.Reader) io.ReadCloser
		whole     bool
	}{
		"breaks off": {func(r io.Reader) io.ReadCloser { return &brokenStream{r} }, false},
		"whole":      {io.NopCloser, true},
	}
	for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
		for name, tt := range streams {
			t.Run(version+"/"+name, func(t *testing.T) {
				d := &fakeDispatcher{response: &vanillabarrow.Response{
					Status: http.StatusOK, Body: []byte("start"), Size: -1, Deadline: time.Now().Add(time.Minute),
					Stream: tt.newStream(bytes.NewReader(make([]byte, partBytes))),
				}}
				s := New(Config{
					Dispatcher: d, Configuration: fixedConfig{newSnapshot()}, Logger: slog.New(slog.DiscardHandler), Protocol: NewProtocol(),
					Splits: route.NewSplits(), NewID: func() string { return "id" }, MaxBodyBytes: maxBody, MaxInFlight: 10,
				})
				server := httptest.NewUnstartedServer(s.Handler())
				server.Config.ConnContext = kernel.WithConn
				server.Start()
				defer server.Close()
				conn, err := net.Dial("tcp", server.Listener.Addr().String())
				require.NoError(t, err)
				defer func() { _ = conn.Close() }()
				_, err = fmt.Fprintf(conn, "GET /returns %s\r\nHost: a\r\nConnection: close\r\n\r\n", version)
				require.NoError(t, err)
				var body []byte
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err == nil {
					body, err = io.ReadAll(response.Body)
				}
				require.Equal(t, tt.whole, err == nil, err)
				if tt.whole {
					require.Len(t, body, len("start")+partBytes)
				}
			})
		}
	}
}
