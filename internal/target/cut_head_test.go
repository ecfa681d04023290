package target

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
)

// cuttingTarget sends one response to the first request of each connection and then
// closes it.
type cuttingTarget struct {
	listener net.Listener
	// responses holds one response for each connection.
	responses chan string
	// reset makes the target reset the connection in place of closing it.
	reset bool
}

func (c *cuttingTarget) run() {
	for {
		conn, err := c.listener.Accept()
		if err != nil {
			return
		}
		c.respond(conn.(*net.TCPConn))
	}
}

func (c *cuttingTarget) respond(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	_, _ = io.WriteString(conn, <-c.responses)
	if c.reset {
		_ = conn.SetLinger(0)
	}
}

// TestResponseCutInItsHead guards against a target that stops anywhere in the head of
// its response and closes the connection, which must not pass for a whole response
// with an empty or short body.
func TestResponseCutInItsHead(t *testing.T) {
	tests := map[string]struct {
		response string
		reset    bool
	}{
		"length first":       {"HTTP/1.1 200 OK\r\nContent-Length: 12\r\nX-Id: id\r\n\r\n", false},
		"length last":        {"HTTP/1.1 200 OK\r\nX-Id: id\r\nContent-Length: 12\r\n\r\n", false},
		"without length":     {"HTTP/1.1 200 OK\r\nX-Id: id\r\nX-Other: a\r\n\r\n", false},
		"chunked":            {"HTTP/1.1 200 OK\r\nX-Id: id\r\nTransfer-Encoding: chunked\r\n\r\n", false},
		"old version":        {"HTTP/1.0 200 OK\r\nX-Id: id\r\nX-Other: a\r\n\r\n", false},
		"early hints before": {"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: id\r\n\r\n", false},
		"reset":              {"HTTP/1.1 200 OK\r\nX-Id: id\r\nContent-Length: 12\r\n\r\n", true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer func() { _ = listener.Close() }()
			target := &cuttingTarget{listener: listener, responses: make(chan string, 1), reset: tt.reset}
			go target.run()
			e := New(vanillabarrow.TargetRef{Name: "t1"}, configuration{&vanillabarrow.Snapshot{Targets: map[string]*vanillabarrow.Target{
				"t1": {Name: "t1", Address: listener.Addr().String(), Connections: 4},
			}}}, echoProtocol{})
			defer e.Close()
			for cut := range len(tt.response) {
				target.responses <- tt.response[:cut]
				response, err := e.Execute(t.Context(), attemptWithID("id", nil))
				require.Error(t, err, "cut after %q: %v", tt.response[:cut], response)
				require.Equal(t, vanillabarrow.VerdictMayHaveRun, vanillabarrow.AsRefusal(err).Verdict)
			}
		})
	}
}
