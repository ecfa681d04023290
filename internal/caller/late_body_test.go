package caller

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
)

// TestBodyThatEndsAfterCloseIsRefused guards against a planned stop that takes a
// request late, because its head came before the end of the notice, and then cuts it
// without a response.
func TestBodyThatEndsAfterCloseIsRefused(t *testing.T) {
	tests := map[string]struct {
		head       string
		closed     bool
		status     int
		dispatched bool
	}{
		"serving":                     {"Content-Length: 4", false, http.StatusOK, true},
		"closed":                      {"Content-Length: 4", true, http.StatusServiceUnavailable, false},
		"closed, body without length": {"Transfer-Encoding: chunked", true, http.StatusServiceUnavailable, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			d := &fakeDispatcher{response: &vanillabarrow.Response{Status: http.StatusOK}}
			server, url := newServer(t, d, newSnapshot())
			conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			// With 100 Continue it is known when the head has been read.
			_, err = fmt.Fprintf(conn, "POST /returns HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n%s\r\n\r\n", tt.head)
			require.NoError(t, err)
			r := bufio.NewReader(conn)
			response, err := http.ReadResponse(r, nil)
			require.NoError(t, err)
			require.Equal(t, http.StatusContinue, response.StatusCode)
			if tt.closed {
				server.Drain()
				server.Close()
			}
			body := "body"
			if strings.Contains(tt.head, "chunked") {
				body = "4\r\nbody\r\n0\r\n\r\n"
			}
			_, err = io.WriteString(conn, body)
			require.NoError(t, err)
			response, err = http.ReadResponse(r, nil)
			require.NoError(t, err)
			require.Equal(t, tt.status, response.StatusCode)
			require.Equal(t, tt.dispatched, d.request != nil)
			if !tt.dispatched {
				require.Equal(t, vanillabarrow.VerdictNotRun.String(), response.Header.Get(VerdictHeader))
			}
		})
	}
}
