package target

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
)

const idField = "X-Id"

// echoProtocol is a protocol in which targets echo the request's id.
type echoProtocol struct{ Protocol }

func (echoProtocol) Classify(a *vanillabarrow.Attempt, status int, h vanillabarrow.Header) vanillabarrow.ResponseClass {
	switch {
	case http.Header(h).Get(idField) != a.ID:
		return vanillabarrow.ResponseMismatched
	case status == http.StatusServiceUnavailable:
		return vanillabarrow.ResponseShed
	case status == http.StatusMisdirectedRequest:
		return vanillabarrow.ResponseMisdirected
	case http.Header(h).Get("Content-Encoding") != "":
		return vanillabarrow.ResponseInvalid
	default:
		return vanillabarrow.ResponseValid
	}
}

func (echoProtocol) NamesRequest(vanillabarrow.Header) bool { return true }

// rawTarget sends given bytes in response to each request. "ID" in them is
// replaced by the request's id. It closes the connection after a response that
// says so or has no length.
type rawTarget struct {
	listener net.Listener
	// responses holds the bytes for each request in turn. The last element is
	// used for all further requests.
	responses []string
	// respondEarly makes the target respond before it reads the body, resetAfter
	// reset the connection after the first response.
	respondEarly bool
	resetAfter   bool
	requests     atomic.Int64
	dialed       atomic.Int64
	// unreadBytes counts the body bytes that arrived after an early response.
	unreadBytes atomic.Int64
}

func (r *rawTarget) run() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.dialed.Add(1)
		s := &session{target: r, conn: c}
		go s.run()
	}
}

// session is one connection to a rawTarget.
type session struct {
	target *rawTarget
	conn   net.Conn
}

func (s *session) run() {
	defer func() { _ = s.conn.Close() }()
	reader := bufio.NewReader(s.conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		n := int(s.target.requests.Add(1))
		if !s.target.respondEarly {
			_, _ = io.Copy(io.Discard, request.Body)
		}
		response := s.target.responses[min(n, len(s.target.responses))-1]
		_, _ = io.WriteString(s.conn, strings.ReplaceAll(response, "ID", request.Header.Get(idField)))
		if s.target.resetAfter {
			_ = s.conn.(*net.TCPConn).SetLinger(0)
			return
		}
		if s.target.respondEarly {
			read, _ := io.Copy(io.Discard, request.Body)
			s.target.unreadBytes.Add(read)
		}
		if strings.Contains(response, "close") || !strings.Contains(response, "Length") {
			return
		}
	}
}

func startRawTarget(t *testing.T, r *rawTarget) *Executor {
	var err error
	r.listener, err = net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = r.listener.Close() })
	go r.run()
	e := New(vanillabarrow.TargetRef{Name: "t1"}, configuration{&vanillabarrow.Snapshot{Targets: map[string]*vanillabarrow.Target{
		"t1": {Name: "t1", Address: r.listener.Addr().String(), Connections: 4},
	}}}, echoProtocol{})
	t.Cleanup(e.Close)
	return e
}

func attemptWithID(id string, body []byte) *vanillabarrow.Attempt {
	a := newAttempt(2 * time.Second)
	a.ID = id
	a.Request.ID = id
	a.Request.Header[idField] = []string{id}
	a.Request.Body, a.Request.Size = body, int64(len(body))
	return a
}

const (
	matching   = "HTTP/1.1 200 OK\r\nX-Id: ID\r\nContent-Length: 2\r\n\r\nok"
	mismatched = "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 5\r\n\r\nother"
)

// TestFaultyTargets sends two requests in sequence to targets that violate the
// protocol, refuse the first request or close the connection.
func TestFaultyTargets(t *testing.T) {
	type outcome struct {
		body    string
		verdict vanillabarrow.Verdict
		reason  vanillabarrow.Reason
	}
	ok := outcome{body: "ok"}
	tests := map[string]struct {
		target   *rawTarget
		outcomes [2]outcome
		dialed   int64
	}{
		"matching":                                  {&rawTarget{responses: []string{matching}}, [2]outcome{ok, ok}, 1},
		"mismatched response first":                 {&rawTarget{responses: []string{mismatched + matching, matching}}, [2]outcome{ok, ok}, 1},
		"mismatched response follows":               {&rawTarget{responses: []string{matching + mismatched}}, [2]outcome{ok, ok}, 2},
		"mismatched response to the second request": {&rawTarget{responses: []string{matching, mismatched + matching}}, [2]outcome{ok, ok}, 1},
		"connection closed":                         {&rawTarget{responses: []string{strings.Replace(matching, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1)}}, [2]outcome{ok, ok}, 2},
		"idle timeout below the margin":             {&rawTarget{responses: []string{strings.Replace(matching, "\r\n\r\n", "\r\nKeep-Alive: timeout=1\r\n\r\n", 1)}}, [2]outcome{ok, ok}, 2},
		"no content length":                         {&rawTarget{responses: []string{"HTTP/1.1 200 OK\r\nX-Id: ID\r\n\r\nok"}}, [2]outcome{ok, ok}, 2},
		"100 Continue first":                        {&rawTarget{responses: []string{"HTTP/1.1 100 Continue\r\n\r\n" + matching}}, [2]outcome{ok, ok}, 1},
		"only mismatched responses": {&rawTarget{responses: []string{strings.Repeat(mismatched, 5)}}, [2]outcome{
			{verdict: vanillabarrow.VerdictMayHaveRun, reason: vanillabarrow.ReasonTargetFailed},
			{verdict: vanillabarrow.VerdictMayHaveRun, reason: vanillabarrow.ReasonTargetFailed},
		}, 2},
		"not HTTP": {&rawTarget{responses: []string{"garbage\r\n\r\n", matching}}, [2]outcome{
			{verdict: vanillabarrow.VerdictMayHaveRun, reason: vanillabarrow.ReasonTargetFailed}, ok,
		}, 2},
		"invalid response with an incomplete body": {&rawTarget{responses: []string{
			"HTTP/1.1 200 OK\r\nX-Id: ID\r\nContent-Encoding: br\r\nContent-Length: 9\r\n\r\npart", matching,
		}}, [2]outcome{
			{verdict: vanillabarrow.VerdictMayHaveRun, reason: vanillabarrow.ReasonTargetFailed}, ok,
		}, 2},
		"load shed": {&rawTarget{responses: []string{strings.Replace(matching, "200 OK", "503 Busy", 1), matching}}, [2]outcome{
			{verdict: vanillabarrow.VerdictNotRun, reason: vanillabarrow.ReasonShed}, ok,
		}, 1},
		"load shed with a truncated body": {&rawTarget{responses: []string{
			"HTTP/1.1 503 Busy\r\nX-Id: ID\r\nConnection: close\r\nContent-Length: 9\r\n\r\npart", matching,
		}}, [2]outcome{
			{verdict: vanillabarrow.VerdictMayHaveRun, reason: vanillabarrow.ReasonTargetFailed}, ok,
		}, 2},
		"load shed with a malformed body": {&rawTarget{responses: []string{
			"HTTP/1.1 503 Busy\r\nX-Id: ID\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n", matching,
		}}, [2]outcome{
			{verdict: vanillabarrow.VerdictMayHaveRun, reason: vanillabarrow.ReasonTargetFailed}, ok,
		}, 2},
		"load shed with a long body": {&rawTarget{responses: []string{
			fmt.Sprintf("HTTP/1.1 503 Busy\r\nX-Id: ID\r\nContent-Length: %d\r\n\r\n%s", 2*maxDiscardedBytes, make([]byte, 2*maxDiscardedBytes)), matching,
		}}, [2]outcome{
			{verdict: vanillabarrow.VerdictNotRun, reason: vanillabarrow.ReasonShed}, ok,
		}, 2},
		"load shed without a length": {&rawTarget{responses: []string{
			"HTTP/1.1 503 Busy\r\nX-Id: ID\r\n\r\nbusy", matching,
		}}, [2]outcome{
			{verdict: vanillabarrow.VerdictNotRun, reason: vanillabarrow.ReasonShed}, ok,
		}, 2},
		"misdirected with a truncated body": {&rawTarget{responses: []string{
			"HTTP/1.1 421 Misdirected\r\nX-Id: ID\r\nConnection: close\r\nContent-Length: 9\r\n\r\npart", matching,
		}}, [2]outcome{
			{verdict: vanillabarrow.VerdictMayHaveRun, reason: vanillabarrow.ReasonTargetFailed}, ok,
		}, 2},
		"misdirected": {&rawTarget{responses: []string{strings.Replace(matching, "200 OK", "421 Misdirected", 1), matching}}, [2]outcome{
			{verdict: vanillabarrow.VerdictNotRun, reason: vanillabarrow.ReasonMisdirected}, ok,
		}, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			e := startRawTarget(t, tt.target)
			for i, id := range []string{"one", "two"} {
				response, err := e.Execute(t.Context(), attemptWithID(id, []byte("body")))
				want := tt.outcomes[i]
				if want.verdict != 0 {
					require.Error(t, err)
					require.Equal(t, want.verdict, vanillabarrow.AsRefusal(err).Verdict, err)
					require.Equal(t, want.reason, vanillabarrow.AsRefusal(err).Reason)
					continue
				}
				require.NoError(t, err)
				require.Equal(t, want.body, string(response.Body))
			}
			require.Equal(t, tt.dialed, tt.target.dialed.Load(), "connections")
			require.Equal(t, int64(2), tt.target.requests.Load(), "no request is sent twice")
		})
	}
}

// TestResetResponseWithoutLength checks that a response without a length counts
// as truncated if the connection is reset, also one that would be a refusal.
func TestResetResponseWithoutLength(t *testing.T) {
	for name, status := range map[string]string{"response": "200 OK", "load shed": "503 Busy", "misdirected": "421 Misdirected"} {
		t.Run(name, func(t *testing.T) {
			e := startRawTarget(t, &rawTarget{responses: []string{"HTTP/1.1 " + status + "\r\nX-Id: ID\r\n\r\npart"}, resetAfter: true})
			response, err := e.Execute(t.Context(), attemptWithID("one", nil))
			require.Nil(t, response)
			require.Equal(t, vanillabarrow.VerdictMayHaveRun, vanillabarrow.AsRefusal(err).Verdict)
		})
	}
}

// TestEarlyResponse sends a long body to a target that responds before it reads
// the body. The connection must not be reused, as the target would take the
// rest of the body for the next request.
func TestEarlyResponse(t *testing.T) {
	r := &rawTarget{responses: []string{matching}, respondEarly: true}
	e := startRawTarget(t, r)
	const size = 8 << 20
	response, err := e.Execute(t.Context(), attemptWithID("one", make([]byte, size)))
	require.NoError(t, err)
	require.Equal(t, "ok", string(response.Body))
	_, err = e.Execute(t.Context(), attemptWithID("two", nil))
	require.NoError(t, err)
	require.Equal(t, int64(2), r.requests.Load())
	require.LessOrEqual(t, r.unreadBytes.Load(), int64(size))
}

// TestClosedIdleConnection checks that a connection that was closed while idle
// is not reused.
func TestClosedIdleConnection(t *testing.T) {
	r := &rawTarget{responses: []string{matching}}
	e := startRawTarget(t, r)
	_, err := e.Execute(t.Context(), attemptWithID("one", nil))
	require.NoError(t, err)
	pool := e.client.Load().pool
	require.Len(t, pool.idle, 1)
	require.NoError(t, pool.idle[0].Conn.(*net.TCPConn).CloseRead())
	_, err = e.Execute(t.Context(), attemptWithID("two", []byte("x")))
	require.NoError(t, err)
	require.Equal(t, int64(2), r.dialed.Load())
}

// TestSweepIdleConnections checks that Sweep closes only connections that were
// idle for too long.
func TestSweepIdleConnections(t *testing.T) {
	e := startRawTarget(t, &rawTarget{responses: []string{matching}})
	_, err := e.Execute(t.Context(), attemptWithID("one", nil))
	require.NoError(t, err)
	e.Sweep(time.Now())
	require.Len(t, e.client.Load().pool.idle, 1)
	e.Sweep(time.Now().Add(time.Hour))
	require.Empty(t, e.client.Load().pool.idle)
}

// TestResetDuringUpload resets the connection while a long body is being sent.
// The refusal must not claim that no byte was sent, whenever the reset arrives.
func TestResetDuringUpload(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	r := &resettingTarget{listener: listener}
	go r.run()
	e := New(vanillabarrow.TargetRef{Name: "t1"}, configuration{&vanillabarrow.Snapshot{Targets: map[string]*vanillabarrow.Target{
		"t1": {Name: "t1", Address: listener.Addr().String(), Connections: 4},
	}}}, echoProtocol{})
	t.Cleanup(e.Close)
	for range 200 {
		_, err := e.Execute(t.Context(), attemptWithID("one", make([]byte, 256<<10)))
		require.Error(t, err)
		refusal := vanillabarrow.AsRefusal(err)
		if refusal.Verdict == vanillabarrow.VerdictNotRun {
			require.Equal(t, vanillabarrow.ReasonTargetDown, refusal.Reason)
		} else {
			require.Equal(t, vanillabarrow.ReasonTargetFailed, refusal.Reason)
		}
	}
}

// resettingTarget resets each connection as soon as it is accepted.
type resettingTarget struct {
	listener net.Listener
}

func (r *resettingTarget) run() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

// TestConnectionIsReusedLongAfterRefusal guards against a connection that keeps
// the timeout of a refusal's body.
func TestConnectionIsReusedLongAfterRefusal(t *testing.T) {
	target := &rawTarget{responses: []string{strings.Replace(matching, "200 OK", "503 Busy", 1), matching}}
	e := startRawTarget(t, target)
	_, err := e.Execute(t.Context(), attemptWithID("one", nil))
	require.Equal(t, vanillabarrow.ReasonShed, vanillabarrow.AsRefusal(err).Reason)
	time.Sleep(2 * refusalBodyTimeout)
	_, err = e.Execute(t.Context(), attemptWithID("two", nil))
	require.NoError(t, err)
	require.EqualValues(t, 1, target.dialed.Load())
}
