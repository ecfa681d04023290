package target

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
)

// optionalIDProtocol is echoProtocol for targets whose refusals may lack the
// request's id.
type optionalIDProtocol struct{ echoProtocol }

func (p optionalIDProtocol) Classify(a *vanillabarrow.Attempt, status int, h vanillabarrow.Header) vanillabarrow.ResponseClass {
	if !p.NamesRequest(h) {
		h = vanillabarrow.Header{idField: {a.ID}}
	}
	return p.echoProtocol.Classify(a, status, h)
}

func (optionalIDProtocol) NamesRequest(h vanillabarrow.Header) bool {
	return http.Header(h).Get(idField) != ""
}

// repeatingTarget refuses its first request. On the connection of that request
// it sends the refusal once more ahead of the next response.
type repeatingTarget struct {
	listener net.Listener
	refusal  string
	refused  chan struct{}
}

func (r *repeatingTarget) run() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		s := &repeatingSession{target: r, conn: c}
		go s.run()
	}
}

type repeatingSession struct {
	target *repeatingTarget
	conn   net.Conn
	sent   string
}

func (s *repeatingSession) run() {
	defer func() { _ = s.conn.Close() }()
	reader := bufio.NewReader(s.conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		response := s.sent + matching
		select {
		case s.target.refused <- struct{}{}:
			response = s.target.refusal
			s.sent = strings.ReplaceAll(response, "ID", request.Header.Get(idField))
		default:
		}
		_, _ = io.WriteString(s.conn, strings.ReplaceAll(response, "ID", request.Header.Get(idField)))
	}
}

// TestRepeatedRefusal checks that a refusal that arrives once more on its
// connection is not taken for the refusal of a later request.
func TestRepeatedRefusal(t *testing.T) {
	tests := map[string]struct {
		refusal        string
		notRunStatuses []int
		secondID       string
	}{
		"request comes again":                {refusal: "HTTP/1.1 503 Busy\r\nX-Id: ID\r\nContent-Length: 0\r\n\r\n", secondID: "one"},
		"misdirected request comes again":    {refusal: "HTTP/1.1 421 Misdirected\r\nX-Id: ID\r\nContent-Length: 0\r\n\r\n", secondID: "one"},
		"another request":                    {refusal: "HTTP/1.1 503 Busy\r\nX-Id: ID\r\nContent-Length: 0\r\n\r\n", secondID: "two"},
		"refusal without an id":              {refusal: "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n", secondID: "two"},
		"status that states a refusal alone": {refusal: "HTTP/1.1 429 Wait\r\nContent-Length: 0\r\n\r\n", notRunStatuses: []int{429}, secondID: "two"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			t.Cleanup(func() { _ = listener.Close() })
			target := &repeatingTarget{listener: listener, refusal: tt.refusal, refused: make(chan struct{}, 1)}
			go target.run()
			e := New(vanillabarrow.TargetRef{Name: "t1"}, configuration{&vanillabarrow.Snapshot{
				Services: map[string]*vanillabarrow.Service{"desk": {Name: "desk", NotRunStatuses: tt.notRunStatuses}},
				Targets:  map[string]*vanillabarrow.Target{"t1": {Name: "t1", Service: "desk", Address: listener.Addr().String(), Connections: 4}},
			}}, optionalIDProtocol{})
			t.Cleanup(e.Close)
			first, err := e.Execute(t.Context(), attemptWithID("one", nil))
			if len(tt.notRunStatuses) > 0 {
				require.Equal(t, tt.notRunStatuses[0], first.Status)
			} else {
				require.Equal(t, vanillabarrow.VerdictNotRun, vanillabarrow.AsRefusal(err).Verdict)
			}
			second, err := e.Execute(t.Context(), attemptWithID(tt.secondID, []byte("body")))
			require.NoError(t, err)
			require.Equal(t, "ok", string(second.Body))
		})
	}
}

// setHealthPath gives the target a health check path.
func setHealthPath(e *Executor) {
	snapshot := e.cfg.Snapshot()
	snapshot.Targets["t1"].Service = "desk"
	snapshot.Services = map[string]*vanillabarrow.Service{"desk": {Name: "desk", HealthPath: "/health"}}
}

// TestHealthResponseAfterInformational guards against an informational response that is
// taken for the response to a health check.
func TestHealthResponseAfterInformational(t *testing.T) {
	tests := map[string]struct {
		response string
		ok       bool
	}{
		"100 Continue first": {"HTTP/1.1 100 Continue\r\n\r\n" + matching, true},
		"hints first":        {"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n" + matching, true},
		"failure after it":   {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			e := startRawTarget(t, &rawTarget{responses: []string{tt.response}})
			setHealthPath(e)
			health, err := e.Check(t.Context())
			require.NoError(t, err)
			require.Equal(t, tt.ok, health.OK)
		})
	}
}

// TestHealthCheckUsesNewConnection checks that a late response to an earlier
// request can't be taken for the response to a health check.
func TestHealthCheckUsesNewConnection(t *testing.T) {
	r := &rawTarget{responses: []string{matching}}
	e := startRawTarget(t, r)
	setHealthPath(e)
	_, err := e.Execute(t.Context(), attemptWithID("one", nil))
	require.NoError(t, err)
	_, err = e.Check(t.Context())
	require.NoError(t, err)
	require.EqualValues(t, 2, r.dialed.Load())
	require.Len(t, e.client.Load().pool.idle, 1, "the request's connection stays open")
}

// panickingBody panics when it is read.
type panickingBody struct{}

func (panickingBody) Read([]byte) (int, error) { panic("body") }

// TestPanicOfBodyEndsOnlyTheRequest checks that a panic while a large body is
// sent ends the request, which may have run.
func TestPanicOfBodyEndsOnlyTheRequest(t *testing.T) {
	e := startRawTarget(t, &rawTarget{responses: []string{matching}})
	a := attemptWithID("one", make([]byte, 2*maxInlineBodyBytes))
	a.Request.Stream, a.Request.Size = panickingBody{}, 1<<20
	_, err := e.Execute(t.Context(), a)
	require.Equal(t, vanillabarrow.VerdictMayHaveRun, vanillabarrow.AsRefusal(err).Verdict)
}
