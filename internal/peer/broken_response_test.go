package peer

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
	"github.com/vanillabarrow/vanillabarrow/internal/standin"
)

const (
	// finishedHead is the head of a gate's response, without how its body ends.
	finishedHead = "HTTP/1.1 200 OK\r\nVb-Attempt: attempt-1\r\nVb-Verdict: finished\r\n"
	refusalHead  = "HTTP/1.1 503 Service Unavailable\r\nVb-Attempt: attempt-1\r\nVb-Verdict: not-run\r\nVb-Reason: shed\r\n"
	finished     = finishedHead + "Content-Length: 2\r\n\r\nok"
)

func startRawNode(t *testing.T, cfg standin.RawConfig) *standin.RawServer {
	node, err := standin.NewRawServer(cfg)
	require.NoError(t, err)
	t.Cleanup(func() { _ = node.Close() })
	return node
}

// brokenResponses are responses of a node that break off or are malformed.
var brokenResponses = map[string]string{
	"breaks off in its head":     finishedHead,
	"breaks off in its body":     finishedHead + "Content-Length: 9\r\n\r\nok",
	"breaks off in a chunk":      finishedHead + "Transfer-Encoding: chunked\r\n\r\n9\r\nok",
	"breaks off after a chunk":   finishedHead + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
	"malformed chunk":            finishedHead + "Transfer-Encoding: chunked\r\n\r\nx\r\nok\r\n0\r\n\r\n",
	"malformed trailer":          finishedHead + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-A\r\n\r\n",
	"ends with its connection":   finishedHead + "\r\nok",
	"status 000":                 strings.Replace(finished, "200", "000", 1),
	"status 000 with a response": "HTTP/1.1 000 None\r\n\r\n" + finished,
	"status 600":                 strings.Replace(finished, "200", "600", 1),
	"status with a sign":         strings.Replace(finished, "200", "+20", 1),
	"protocol not requested":     strings.Replace(finished, "200 OK", "101 Switching Protocols", 1),
	"blank in a name":            finishedHead + "X Field: a\r\nContent-Length: 2\r\n\r\nok",
	"blank after the length":     finishedHead + "Content-Length : 2\r\n\r\nok",
	"no colon":                   finishedHead + "X-Field\r\nContent-Length: 2\r\n\r\nok",
	"different lengths":          finishedHead + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nok",
	"refusal breaks off":         refusalHead + "Content-Length: 9\r\n\r\nok",
	"refusal with status 000":    strings.Replace(refusalHead, "503", "000", 1) + "Content-Length: 0\r\n\r\n",
	"refusal with a blank":       refusalHead + "X Field: a\r\nContent-Length: 0\r\n\r\n",
	"refusal without a length":   refusalHead + "\r\n",
}

// TestBrokenResponseOfGate checks that a broken response of a gate is neither passed on
// nor taken for a promise, also if the gate did not request the body, and that its
// connection is not used again.
func TestBrokenResponseOfGate(t *testing.T) {
	methods := map[string]vanillabarrow.Request{
		"no body":        {Method: http.MethodGet, Path: "/"},
		"body held back": {Method: http.MethodPost, Path: "/", Body: []byte("body"), Size: 4},
	}
	for name, response := range brokenResponses {
		for method, request := range methods {
			t.Run(name+"/"+method, func(t *testing.T) {
				node := startRawNode(t, standin.RawConfig{Response: response})
				f := NewForwarder("vm", &recordingObserver{}, kernel.NewTraffic())
				defer f.Close()
				for range 2 {
					r := request
					response, err := f.Forward(t.Context(), &vanillabarrow.Attempt{
						ID: "attempt-1", Address: node.Address(), Target: &vanillabarrow.Target{Name: "t1"}, Deadline: time.Now().Add(time.Minute), Request: &r,
					})
					require.Error(t, err, response)
					require.Equal(t, vanillabarrow.VerdictMayHaveRun, vanillabarrow.AsRefusal(err).Verdict, err)
				}
				require.Equal(t, 2, node.Dialed(), "connections")
			})
		}
	}
}

// TestWholeResponseOfGate checks that responses of a gate arrive in each way in which
// net/http's server sends them.
func TestWholeResponseOfGate(t *testing.T) {
	const head = "Vb-Attempt: attempt-1\r\nVb-Verdict: finished\r\n"
	tests := map[string]struct {
		method, response, body string
		status                 int
	}{
		"length":                {http.MethodGet, finished, "ok", 200},
		"chunks":                {http.MethodGet, finishedHead + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "ok", 200},
		"informational first":   {http.MethodGet, "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + finished, "ok", 200},
		"HEAD without a length": {http.MethodHead, finishedHead + "\r\n", "", 200},
		"no content":            {http.MethodGet, "HTTP/1.1 204 No Content\r\n" + head + "\r\n", "", 204},
		"not modified":          {http.MethodGet, "HTTP/1.1 304 Not Modified\r\n" + head + "\r\n", "", 304},
		"highest status":        {http.MethodGet, "HTTP/1.1 599 Odd\r\n" + head + "Content-Length: 2\r\n\r\nok", "ok", 599},
		"odd fields":            {http.MethodGet, finishedHead + "!#$%&'*+-.^_`|~: \xff\r\nX-A: a\r\n b\r\nContent-Length: 2\r\n\r\nok", "ok", 200},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			node := startRawNode(t, standin.RawConfig{Response: tt.response, Keep: true})
			f := NewForwarder("vm", &recordingObserver{}, kernel.NewTraffic())
			defer f.Close()
			for range 2 {
				response, err := f.Forward(t.Context(), &vanillabarrow.Attempt{
					ID: "attempt-1", Address: node.Address(), Target: &vanillabarrow.Target{Name: "t1"}, Deadline: time.Now().Add(time.Minute),
					Request: &vanillabarrow.Request{Method: tt.method, Path: "/"},
				})
				require.NoError(t, err)
				require.Equal(t, tt.status, response.Status)
				require.Equal(t, tt.body, string(response.Body))
			}
			require.Equal(t, 1, node.Dialed(), "connections")
		})
	}
}

// TestMalformedResponseClosesConnection checks that the connection of a malformed
// response is not used again although the response has no body to read.
func TestMalformedResponseClosesConnection(t *testing.T) {
	const malformed = "HTTP/1.1 200 OK\r\nVb-Attempt: attempt-1\r\nVb-Verdict: finished\r\nX Field: a\r\nContent-Length: 0\r\n\r\n"
	traffic := kernel.NewTraffic()
	forwarder := NewForwarder("vm", &recordingObserver{}, traffic)
	releaser := NewKeyReleaser(traffic)
	allowances := NewAllowanceClient(traffic)
	tests := map[string]func(ctx context.Context, address string) error{
		"attempt": func(ctx context.Context, address string) error {
			_, err := forwarder.Forward(ctx, &vanillabarrow.Attempt{
				ID: "attempt-1", Address: address, Target: &vanillabarrow.Target{Name: "t1"}, Deadline: time.Now().Add(time.Minute),
				Request: &vanillabarrow.Request{Method: http.MethodGet, Path: "/"},
			})
			return err
		},
		"key": func(ctx context.Context, address string) error {
			_, err := releaser.ReleaseKey(ctx, address, vanillabarrow.KeyReleaseRequest{})
			return err
		},
		"allowances": func(ctx context.Context, address string) error {
			_, err := allowances.Report(ctx, address, vanillabarrow.AllowanceReport{})
			return err
		},
	}
	for name, call := range tests {
		t.Run(name, func(t *testing.T) {
			node := startRawNode(t, standin.RawConfig{Response: malformed, Keep: true})
			for range 2 {
				require.ErrorContains(t, call(t.Context(), node.Address()), "not a token")
			}
			require.Equal(t, 2, node.Dialed(), "connections")
		})
	}
}

// TestBrokenControlResponse checks that a broken response to a control message is an
// error, so that neither an attempt's state nor items are taken from it.
func TestBrokenControlResponse(t *testing.T) {
	const (
		message = "Content-Type: application/proto\r\n"
		stream  = "Content-Type: application/connect+proto\r\n"
		// body is a message whose first field, of a number, is 2.
		body = "\x08\x02"
		// envelopes are an empty message and the end of a stream.
		envelopes = "\x00\x00\x00\x00\x00\x02\x00\x00\x00\x02{}"
	)
	traffic := kernel.NewTraffic()
	discovery := NewDiscoveryClient("vm", traffic)
	attempt := &vanillabarrow.Attempt{ID: "attempt-1", Target: &vanillabarrow.Target{Name: "t1"}}
	calls := map[string]struct {
		do                func(ctx context.Context, address string) error
		contentType, body string
	}{
		"query": {func(ctx context.Context, address string) error {
			a := *attempt
			a.Address = address
			_, err := NewForwarder("vm", &recordingObserver{}, traffic).QueryAttempt(ctx, &a)
			return err
		}, message, body},
		"key": {func(ctx context.Context, address string) error {
			_, err := NewKeyReleaser(traffic).ReleaseKey(ctx, address, vanillabarrow.KeyReleaseRequest{})
			return err
		}, message, body},
		"pull": {func(ctx context.Context, address string) error {
			_, err := discovery.Pull(ctx, address, vanillabarrow.ItemRequest{})
			return err
		}, message, body},
		"follow": {func(ctx context.Context, address string) error {
			return discovery.Follow(ctx, address, vanillabarrow.ItemRequest{}, func(*vanillabarrow.Delta) error { return nil })
		}, stream, envelopes},
	}
	heads := map[string]struct {
		status, fields string
		// cut is the number of bytes that are missing at the end.
		cut int
	}{
		"breaks off":               {"200 OK", "Content-Length: %d\r\n", 1},
		"ends with its connection": {"200 OK", "", 0},
		"status 000":               {"000 None", "Content-Length: %d\r\n", 0},
		"status 600":               {"600 High", "Content-Length: %d\r\n", 0},
		"blank in a name":          {"200 OK", "X Field: a\r\nContent-Length: %d\r\n", 0},
		"blank after the length":   {"200 OK", "Content-Length : %d\r\n", 0},
	}
	for callName, call := range calls {
		for name, head := range heads {
			t.Run(callName+"/"+name, func(t *testing.T) {
				fields := strings.ReplaceAll(head.fields, "%d", strconv.Itoa(len(call.body)))
				response := "HTTP/1.1 " + head.status + "\r\n" + call.contentType + fields + "\r\n" + call.body
				node := startRawNode(t, standin.RawConfig{Response: response[:len(response)-head.cut]})
				require.Error(t, call.do(t.Context(), node.Address()))
			})
		}
	}
}

// TestMalformedStoredResponse checks that a response which a gate has stored is not used
// if its head is malformed.
func TestMalformedStoredResponse(t *testing.T) {
	tests := map[string]struct {
		response vanillabarrow.Response
		used     bool
	}{
		"whole":                   {vanillabarrow.Response{Status: 599, Header: vanillabarrow.Header{"X-A": {"1"}}}, true},
		"status 000":              {vanillabarrow.Response{Status: 0}, false},
		"value above 127":         {vanillabarrow.Response{Status: 200, Header: vanillabarrow.Header{"X-A": {"\xff", "b"}}}, true},
		"status 100":              {vanillabarrow.Response{Status: 100}, false},
		"status 600":              {vanillabarrow.Response{Status: 600}, false},
		"blank in a field's name": {vanillabarrow.Response{Status: 200, Header: vanillabarrow.Header{"X A": {"1"}}}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.gate.report = vanillabarrow.AttemptReport{State: vanillabarrow.AttemptFinished, Response: &tt.response}
			report, err := f.forwarder.QueryAttempt(t.Context(), f.attempt())
			require.NoError(t, err)
			require.Equal(t, vanillabarrow.AttemptFinished, report.State)
			require.Equal(t, tt.used, report.Response != nil)
			if tt.used {
				require.Equal(t, tt.response.Header, report.Response.Header)
			}
		})
	}
}

// abortingHandler sends a part of a response over HTTP/2 and resets its stream.
type abortingHandler struct {
	contentType, body string
	status            int
	// ends makes it end the stream in an orderly way instead.
	ends bool
}

// ServeHTTP implements http.Handler.
func (h abortingHandler) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", h.contentType)
	w.WriteHeader(h.status)
	_, _ = io.WriteString(w, h.body)
	_ = http.NewResponseController(w).Flush()
	if !h.ends {
		panic(http.ErrAbortHandler)
	}
}

// TestBrokenRelayResponse checks that a broken response to a call of the relay is an
// error. HTTP/2 frames each response, so that a part of one never looks complete.
func TestBrokenRelayResponse(t *testing.T) {
	const message, stream = "application/proto", "application/connect+proto"
	tests := map[string]abortingHandler{
		"reset in its head":          {contentType: message, status: http.StatusOK},
		"reset in its body":          {contentType: message, body: "\x08\x02", status: http.StatusOK},
		"status 600":                 {contentType: message, body: "\x08\x02", status: 600, ends: true},
		"stream is reset":            {contentType: stream, body: "\x00\x00\x00\x00\x00", status: http.StatusOK},
		"stream ends in a message":   {contentType: stream, body: "\x00\x00\x00\x00\x09part", status: http.StatusOK, ends: true},
		"stream without its end":     {contentType: stream, body: "\x00\x00\x00\x00\x00", status: http.StatusOK, ends: true},
		"stream with status 600":     {contentType: stream, body: "\x02\x00\x00\x00\x02{}", status: 600, ends: true},
		"malformed end of a stream":  {contentType: stream, body: "\x02\x00\x00\x00\x02{!", status: http.StatusOK, ends: true},
		"message in place of a head": {contentType: "", body: "\x08\x02", status: http.StatusOK, ends: true},
	}
	for callName, call := range relayCalls {
		for name, handler := range tests {
			t.Run(callName+"/"+name, func(t *testing.T) {
				address := startHTTP2(t, handler)
				c := NewRelayClient("vm", kernel.NewTraffic())
				defer c.Close()
				require.Error(t, call(t.Context(), c, address))
			})
		}
	}
}
