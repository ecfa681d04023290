package caller

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
)

// TestRequestTargetIsKept guards against requests that run with another path than
// the caller's, or that are matched by it.
func TestRequestTargetIsKept(t *testing.T) {
	tests := map[string]struct {
		target string
		want   string
	}{
		"plain":         {"/returns/7", "/returns/7"},
		"encoded":       {"/returns/a%2Fb?q=%7c", "/returns/a%2Fb?q=%7c"},
		"not encoded":   {`/returns/a|b"é?q="`, `/returns/a|b"é?q="`},
		"number sign":   {"/returns#x", "/returns#x"},
		"empty query":   {"/returns?", "/returns?"},
		"dot segments":  {"/returns/../x/.", "/returns/../x/."},
		"absolute form": {"http://other.example/returns/7?x=1", "/returns/7?x=1"},
		"no path":       {"http://other.example", "/"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			d := &fakeDispatcher{response: &vanillabarrow.Response{Status: http.StatusOK}}
			s := newSnapshot()
			s.Routes[""] = append(s.Routes[""], &vanillabarrow.Route{Name: "root", PathPrefix: "/", Service: "desk"})
			_, url := newServer(t, d, s)
			conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n\r\n", tt.target)
			require.NoError(t, err)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, response.StatusCode)
			require.Equal(t, tt.want, d.request.Path)
		})
	}
}
