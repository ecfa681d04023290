package target

import (
	"bufio"
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

// echoing is a protocol in which targets send the request's id back.
type echoing struct{ Protocol }

func (echoing) Classify(a *vanillabarrow.Attempt, status int, h vanillabarrow.Header) vanillabarrow.ResponseClass {
	switch {
	case http.Header(h).Get(idField) != a.ID:
		return vanillabarrow.ResponseMismatched
	case status == http.StatusServiceUnavailable:
		return vanillabarrow.ResponseShed
	case status == http.StatusMisdirectedRequest:
		return vanillabarrow.ResponseMisdirected
	default:
		return vanillabarrow.ResponseValid
	}
}

// rawTarget answers each request on a connection with the bytes that the test
// gives, in which ID stands for the request's id.
type rawTarget struct {
	listener net.Listener
	// answers holds the bytes for each request in turn, the last one for all
	// that follow.
	answers  []string
	early    bool
	reset    bool
	requests atomic.Int64
	dialed   atomic.Int64
	// unread counts bytes that came after a request that was answered early.
	unread atomic.Int64
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
		if !s.target.early {
			_, _ = io.Copy(io.Discard, request.Body)
		}
		answer := s.target.answers[min(n, len(s.target.answers))-1]
		_, _ = io.WriteString(s.conn, strings.ReplaceAll(answer, "ID", request.Header.Get(idField)))
		if s.target.reset {
			_ = s.conn.(*net.TCPConn).SetLinger(0)
			return
		}
		if s.target.early {
			read, _ := io.Copy(io.Discard, request.Body)
			s.target.unread.Add(read)
		}
		if strings.Contains(answer, "close") || !strings.Contains(answer, "Length") {
			return
		}
	}
}

func startRaw(t *testing.T, r *rawTarget) *Executor {
	var err error
	r.listener, err = net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = r.listener.Close() })
	go r.run()
	e := New(vanillabarrow.TargetRef{Name: "t1"}, configuration{&vanillabarrow.Snapshot{Targets: map[string]*vanillabarrow.Target{
		"t1": {Name: "t1", Address: r.listener.Addr().String(), Connections: 4},
	}}}, echoing{})
	t.Cleanup(e.Close)
	return e
}

func identified(id string, body []byte) *vanillabarrow.Attempt {
	a := attempt(2 * time.Second)
	a.ID = id
	a.Request.Header[idField] = []string{id}
	a.Request.Body, a.Request.Size = body, int64(len(body))
	return a
}

const (
	own   = "HTTP/1.1 200 OK\r\nX-Id: ID\r\nContent-Length: 2\r\n\r\nok"
	stray = "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 5\r\n\r\nother"
)

// TestFaultyTargets sends two requests in a row to targets that don't keep to
// the protocol.
func TestFaultyTargets(t *testing.T) {
	type end struct {
		body    string
		verdict vanillabarrow.Verdict
		reason  vanillabarrow.Reason
	}
	ok := end{body: "ok"}
	tests := map[string]struct {
		target *rawTarget
		ends   [2]end
		dialed int64
	}{
		"sound":                     {&rawTarget{answers: []string{own}}, [2]end{ok, ok}, 1},
		"answer of another request": {&rawTarget{answers: []string{stray + own, own}}, [2]end{ok, ok}, 1},
		"a second answer follows":   {&rawTarget{answers: []string{own + stray}}, [2]end{ok, ok}, 2},
		"late answer of another":    {&rawTarget{answers: []string{own, stray + own}}, [2]end{ok, ok}, 1},
		"announces its close":       {&rawTarget{answers: []string{strings.Replace(own, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1)}}, [2]end{ok, ok}, 2},
		"idle for no time":          {&rawTarget{answers: []string{strings.Replace(own, "\r\n\r\n", "\r\nKeep-Alive: timeout=1\r\n\r\n", 1)}}, [2]end{ok, ok}, 2},
		"no length":                 {&rawTarget{answers: []string{"HTTP/1.1 200 OK\r\nX-Id: ID\r\n\r\nok"}}, [2]end{ok, ok}, 2},
		"continues first":           {&rawTarget{answers: []string{"HTTP/1.1 100 Continue\r\n\r\n" + own}}, [2]end{ok, ok}, 1},
		"only answers of others": {&rawTarget{answers: []string{strings.Repeat(stray, 5)}}, [2]end{
			{verdict: vanillabarrow.VerdictMayHaveRun, reason: vanillabarrow.ReasonTargetFailed},
			{verdict: vanillabarrow.VerdictMayHaveRun, reason: vanillabarrow.ReasonTargetFailed},
		}, 2},
		"no answer at all": {&rawTarget{answers: []string{"garbage\r\n\r\n", own}}, [2]end{
			{verdict: vanillabarrow.VerdictMayHaveRun, reason: vanillabarrow.ReasonTargetFailed}, ok,
		}, 2},
		"sheds": {&rawTarget{answers: []string{strings.Replace(own, "200 OK", "503 Busy", 1), own}}, [2]end{
			{verdict: vanillabarrow.VerdictNotRun, reason: vanillabarrow.ReasonShed}, ok,
		}, 1},
		"another target": {&rawTarget{answers: []string{strings.Replace(own, "200 OK", "421 Misdirected", 1), own}}, [2]end{
			{verdict: vanillabarrow.VerdictNotRun, reason: vanillabarrow.ReasonMisdirected}, ok,
		}, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			e := startRaw(t, tt.target)
			for i, id := range []string{"one", "two"} {
				answer, err := e.Execute(t.Context(), identified(id, []byte("body")))
				want := tt.ends[i]
				if want.verdict != 0 {
					require.Error(t, err)
					require.Equal(t, want.verdict, vanillabarrow.AsRefusal(err).Verdict, err)
					require.Equal(t, want.reason, vanillabarrow.AsRefusal(err).Reason)
					continue
				}
				require.NoError(t, err)
				require.Equal(t, want.body, string(answer.Body))
			}
			require.Equal(t, tt.dialed, tt.target.dialed.Load(), "connections")
			require.Equal(t, int64(2), tt.target.requests.Load(), "nothing is sent twice")
		})
	}
}

// TestResetAnswerWithoutLength checks that an answer whose end is a reset is
// not taken for whole.
func TestResetAnswerWithoutLength(t *testing.T) {
	e := startRaw(t, &rawTarget{answers: []string{"HTTP/1.1 200 OK\r\nX-Id: ID\r\n\r\npart"}, reset: true})
	answer, err := e.Execute(t.Context(), identified("one", nil))
	require.Nil(t, answer)
	require.Equal(t, vanillabarrow.VerdictMayHaveRun, vanillabarrow.AsRefusal(err).Verdict)
}

// TestEarlyAnswer sends a long body to a target that answers before it reads
// it. The connection must not carry another request.
func TestEarlyAnswer(t *testing.T) {
	r := &rawTarget{answers: []string{own}, early: true}
	e := startRaw(t, r)
	const size = 8 << 20
	answer, err := e.Execute(t.Context(), identified("one", make([]byte, size)))
	require.NoError(t, err)
	require.Equal(t, "ok", string(answer.Body))
	_, err = e.Execute(t.Context(), identified("two", nil))
	require.NoError(t, err)
	require.Equal(t, int64(2), r.requests.Load())
	require.LessOrEqual(t, r.unread.Load(), int64(size))
}

// TestClosedIdleConnection closes a connection while it is idle. What is sent
// next goes over a new one.
func TestClosedIdleConnection(t *testing.T) {
	r := &rawTarget{answers: []string{own}}
	e := startRaw(t, r)
	_, err := e.Execute(t.Context(), identified("one", nil))
	require.NoError(t, err)
	pool := e.client.Load().pool
	require.Len(t, pool.idle, 1)
	require.NoError(t, pool.idle[0].Conn.(*net.TCPConn).CloseRead())
	_, err = e.Execute(t.Context(), identified("two", []byte("x")))
	require.NoError(t, err)
	require.Equal(t, int64(2), r.dialed.Load())
}

// TestSweep closes connections that were idle for too long.
func TestSweep(t *testing.T) {
	e := startRaw(t, &rawTarget{answers: []string{own}})
	_, err := e.Execute(t.Context(), identified("one", nil))
	require.NoError(t, err)
	e.Sweep(time.Now())
	require.Len(t, e.client.Load().pool.idle, 1)
	e.Sweep(time.Now().Add(time.Hour))
	require.Empty(t, e.client.Load().pool.idle)
}
