package caller

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
)

// stallTimeout ends a test whose server does not respond at all.
const stallTimeout = 20 * time.Second

// sendHead sends the head of a request that waits for 100 Continue, and returns the
// connection once the server reads the body.
func sendHead(t *testing.T, url, framing string) (net.Conn, *bufio.Reader) {
	conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(stallTimeout)))
	_, err = fmt.Fprintf(conn, "POST /returns HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n%s\r\n\r\n", framing)
	require.NoError(t, err)
	r := bufio.NewReader(conn)
	response, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusContinue, response.StatusCode)
	return conn, r
}

// TestBodyIsAwaitedUntilTheTimeout guards against requests that are held past their
// route's timeout because their body does not arrive.
func TestBodyIsAwaitedUntilTheTimeout(t *testing.T) {
	tests := map[string]struct{ framing, sent string }{
		"nothing":               {"Content-Length: 4", ""},
		"part":                  {"Content-Length: 4", "bo"},
		"part of a long one":    {fmt.Sprint("Content-Length: ", 2*minBufferBytes), strings.Repeat("x", minBufferBytes)},
		"part without a length": {"Transfer-Encoding: chunked", "2\r\nbo\r\n"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSnapshot()
			s.Routes[""][0].Timeout = 100 * time.Millisecond
			d := &fakeDispatcher{response: &vanillabarrow.Response{Status: http.StatusOK}}
			_, url := newServer(t, d, s)
			conn, r := sendHead(t, url, tt.framing)
			_, err := io.WriteString(conn, tt.sent)
			require.NoError(t, err)
			response, err := http.ReadResponse(r, nil)
			require.NoError(t, err, "no response at the timeout")
			require.Equal(t, http.StatusGatewayTimeout, response.StatusCode)
			require.Equal(t, vanillabarrow.VerdictNotRun.String(), response.Header.Get(VerdictHeader))
			require.Equal(t, string(vanillabarrow.ReasonDeadline), response.Header.Get(ReasonHeader))
			require.True(t, response.Close)
			require.Nil(t, d.request)
		})
	}
}

// TestTimeoutBeginsWithTheRequest guards against a timeout that begins only when the
// body has arrived.
func TestTimeoutBeginsWithTheRequest(t *testing.T) {
	const timeout, pause = time.Minute, 50 * time.Millisecond
	s := newSnapshot()
	s.Routes[""][0].Timeout = timeout
	d := &fakeDispatcher{response: &vanillabarrow.Response{Status: http.StatusOK, Body: []byte("ok")}}
	_, url := newServer(t, d, s)
	conn, r := sendHead(t, url, "Content-Length: 4")
	<-time.After(pause)
	_, err := io.WriteString(conn, "body")
	require.NoError(t, err)
	response, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Positive(t, d.timeLeft)
	require.LessOrEqual(t, d.timeLeft, timeout-pause)
}

// TestRefusalDoesNotWaitForTheBody guards against refusals that are held until a body has
// arrived that nobody reads, before the timeout of the request is known.
func TestRefusalDoesNotWaitForTheBody(t *testing.T) {
	tests := map[string]struct {
		path     string
		noConfig bool
		closed   bool
		status   int
	}{
		"no route":         {path: "/other", status: http.StatusNotFound},
		"no configuration": {path: "/returns", noConfig: true, status: http.StatusServiceUnavailable},
		"node closed":      {path: "/returns", closed: true, status: http.StatusServiceUnavailable},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSnapshot()
			if tt.noConfig {
				s = nil
			}
			server, url := newServer(t, &fakeDispatcher{}, s)
			if tt.closed {
				server.Close()
			}
			conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			require.NoError(t, conn.SetDeadline(time.Now().Add(stallTimeout)))
			_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbo", tt.path)
			require.NoError(t, err)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err, "no response")
			require.Equal(t, tt.status, response.StatusCode)
		})
	}
}

// TestDeadlineOfRequest guards against a deadline by the later of two limits, or one that
// does not count from the arrival of the request.
func TestDeadlineOfRequest(t *testing.T) {
	tests := map[string]struct{ route, service, budget, want time.Duration }{
		"none":                       {0, 0, 0, 0},
		"route":                      {2 * time.Second, 5 * time.Second, 0, 2 * time.Second},
		"service":                    {0, 5 * time.Second, 0, 5 * time.Second},
		"caller":                     {0, 0, time.Second, time.Second},
		"caller before route":        {2 * time.Second, 0, time.Second, time.Second},
		"route before caller":        {2 * time.Second, 0, 3 * time.Second, 2 * time.Second},
		"service, caller's is later": {0, 5 * time.Second, 6 * time.Second, 5 * time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			info := &requestInfo{arrived: time.Now().Add(-time.Minute)}
			info.setDeadline(&vanillabarrow.Route{Timeout: tt.route}, &vanillabarrow.Service{Timeout: tt.service}, tt.budget)
			if tt.want == 0 {
				require.Zero(t, info.deadline)
				return
			}
			require.Equal(t, info.arrived.Add(tt.want), info.deadline)
		})
	}
}

// deadlineRecorder records the read deadline of its connection.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	deadline time.Time
}

func (r *deadlineRecorder) SetReadDeadline(t time.Time) error {
	r.deadline = t
	return nil
}

// TestReadDeadlineEndsWithTheBody guards against callers that count as gone at the deadline,
// because net/http goes on to read their connections.
func TestReadDeadlineEndsWithTheBody(t *testing.T) {
	w := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
	r := httptest.NewRequest(http.MethodPost, "/returns", strings.NewReader("body"))
	deadline := time.Now().Add(time.Minute)
	limitBody(w, r, deadline)
	require.Equal(t, deadline, w.deadline)
	body, err := io.ReadAll(r.Body)
	require.NoError(t, err)
	require.Equal(t, "body", string(body))
	require.Zero(t, w.deadline)
}
