package peer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/require"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
	"github.com/vanillabarrow/vanillabarrow/internal/message"
	"github.com/vanillabarrow/vanillabarrow/internal/relay"
	"github.com/vanillabarrow/vanillabarrow/internal/rollout"
)

var token = vanillabarrow.Token{Incarnation: "inc", Epoch: 7}

// fakeGate answers as the test says.
type fakeGate struct {
	handle func(ctx context.Context, a *vanillabarrow.Attempt) (*vanillabarrow.Response, error)
	report vanillabarrow.AttemptReport
	asked  *vanillabarrow.Attempt
}

// Handle reads a body that the sender held back unless it refuses the request,
// as a gate does.
func (g *fakeGate) Handle(ctx context.Context, a *vanillabarrow.Attempt) (*vanillabarrow.Response, error) {
	answer, err := g.handle(ctx, a)
	if err != nil || a.Request.Stream == nil || len(a.Request.Body) > 0 {
		return answer, err
	}
	a.Request.Body, a.Request.Stream, err = message.SplitBody(a.Request.Stream, HoldBytes)
	return answer, err
}

func (g *fakeGate) QueryAttempt(a *vanillabarrow.Attempt) *vanillabarrow.AttemptReport {
	g.asked = a
	return &g.report
}

func (g *fakeGate) ReleaseKey(vanillabarrow.KeyReleaseRequest) *vanillabarrow.AttemptReport {
	return &g.report
}
func (g *fakeGate) Token() vanillabarrow.Token { return token }

func (g *fakeGate) Load(priority int) vanillabarrow.Load {
	return vanillabarrow.Load{InFlight: 1, Queued: 2, Limit: 3, Draining: true, Priority: priority}
}

// seen keeps what answers told.
type seen struct {
	mu      sync.Mutex
	load    vanillabarrow.Load
	token   vanillabarrow.Token
	version vanillabarrow.Version
	vm      string
	met     []string
}

func (s *seen) Report(_ string, load vanillabarrow.Load, _ time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.load = load
}

func (s *seen) Put(_ string, token vanillabarrow.Token) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.token = token
}

func (s *seen) SeenVersion(vm string, version vanillabarrow.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vm, s.version = vm, version
}

func (s *seen) Met(host string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.met = append(s.met, host)
}

type configured struct{}

func (configured) Snapshot() *vanillabarrow.Snapshot { return &vanillabarrow.Snapshot{Version: 5} }

// link is a forwarder with the server that it sends to.
type link struct {
	gate      *fakeGate
	address   string
	forwarder *Forwarder
	entrySaw  *seen
	gateSaw   *seen
	table     *rollout.Table
}

func newLink(t *testing.T) *link {
	l := &link{gate: &fakeGate{}, entrySaw: &seen{}, gateSaw: &seen{}, table: rollout.New()}
	server := NewServer(l.gate, configured{}, l.gateSaw, slog.New(slog.DiscardHandler))
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	ts := httptest.NewUnstartedServer(server.Handler(NewRelayServer(relay.NewServer(l.table))))
	ts.Config.Protocols = protocols
	ts.Start()
	t.Cleanup(ts.Close)
	l.address = strings.TrimPrefix(ts.URL, "http://")
	l.forwarder = NewForwarder("vm-entry", l.entrySaw, kernel.NewTraffic())
	t.Cleanup(l.forwarder.Close)
	return l
}

func (l *link) attempt() *vanillabarrow.Attempt {
	return &vanillabarrow.Attempt{
		ID: "attempt-1", Address: l.address, Version: 4, Token: token, RetriesLeft: 1,
		Deadline: time.Now().Add(time.Minute),
		Target:   &vanillabarrow.Target{Name: "t1", VM: "vm-gate"},
		Request: &vanillabarrow.Request{
			Service: "desk", Method: "POST", Host: "desk.example", Path: "//returns/a%2Fb?x=1", Key: "key", Depth: 2,
			Header: vanillabarrow.Header{"X-Own": {"1"}}, Body: []byte("body"), Size: 4,
		},
	}
}

func TestForwardCarriesTheAttempt(t *testing.T) {
	l := newLink(t)
	var got *vanillabarrow.Attempt
	l.gate.handle = func(_ context.Context, a *vanillabarrow.Attempt) (*vanillabarrow.Response, error) {
		got = a
		return &vanillabarrow.Response{Status: 201, Header: vanillabarrow.Header{"X-Answer": {"2"}}, Body: []byte("done"), Size: 4}, nil
	}
	sent := l.attempt()
	answer, err := l.forwarder.Forward(t.Context(), sent)
	require.NoError(t, err)
	require.Equal(t, 201, answer.Status)
	require.Equal(t, "done", string(answer.Body))
	require.Equal(t, []string{"2"}, answer.Header["X-Answer"])
	require.Equal(t, "t1", answer.Target)
	require.Equal(t, sent.Request.Path, got.Request.Path)
	require.Equal(t, sent.Request.Host, got.Request.Host)
	require.Equal(t, sent.Request.Body, got.Request.Body)
	require.Equal(t, "key", got.Request.Key)
	require.Equal(t, 2, got.Request.Depth)
	require.Equal(t, token, got.Token)
	require.False(t, got.Request.Idempotent)
	require.WithinDuration(t, sent.Deadline, got.Deadline, 10*time.Second)
	require.Equal(t, []string{"1"}, got.Request.Header["X-Own"])
	require.NotContains(t, got.Request.Header, headerAttempt)
	require.Equal(t, vanillabarrow.Version(5), l.entrySaw.version)
	require.Equal(t, "vm-gate", l.entrySaw.vm)
	require.Equal(t, l.gate.Load(0), l.entrySaw.load)
	require.Equal(t, token, l.entrySaw.token)
	require.Equal(t, vanillabarrow.Version(4), l.gateSaw.version)
	require.Equal(t, "vm-entry", l.gateSaw.vm)
}

func TestForwardVerdicts(t *testing.T) {
	large := bytes.Repeat([]byte("x"), 3*HoldBytes)
	tests := map[string]struct {
		answer  *vanillabarrow.Response
		err     error
		change  func(a *vanillabarrow.Attempt)
		verdict vanillabarrow.Verdict
		reason  vanillabarrow.Reason
		body    []byte
		broken  bool
	}{
		"refused": {
			err:     &vanillabarrow.Refusal{Verdict: vanillabarrow.VerdictNotRun, Reason: vanillabarrow.ReasonOverloaded, Detail: "a\nb", RetryAfter: time.Second},
			verdict: vanillabarrow.VerdictNotRun, reason: vanillabarrow.ReasonOverloaded,
		},
		"target failed": {
			err:     vanillabarrow.MayHaveRun(vanillabarrow.ReasonTargetFailed, ""),
			verdict: vanillabarrow.VerdictMayHaveRun, reason: vanillabarrow.ReasonTargetFailed,
		},
		"error of another type proves nothing": {
			err: errors.New("odd"), verdict: vanillabarrow.VerdictMayHaveRun, reason: vanillabarrow.ReasonConnectionFailed,
		},
		"no connection": {
			change:  func(a *vanillabarrow.Attempt) { a.Address = "127.0.0.1:1" },
			verdict: vanillabarrow.VerdictNotRun, reason: vanillabarrow.ReasonConnectionFailed,
		},
		"large answer": {
			answer: &vanillabarrow.Response{Status: 200, Body: large[:10], Stream: io.NopCloser(bytes.NewReader(large[10:])), Size: int64(len(large))},
			body:   large,
		},
		"large answer breaks off": {
			answer: &vanillabarrow.Response{Status: 200, Stream: io.NopCloser(io.MultiReader(bytes.NewReader(large), iotest.ErrReader(errors.New("gone")))), Size: -1},
			broken: true,
		},
		"small answer breaks off": {
			answer:  &vanillabarrow.Response{Status: 200, Stream: io.NopCloser(io.MultiReader(strings.NewReader("part"), iotest.ErrReader(errors.New("gone")))), Size: -1},
			verdict: vanillabarrow.VerdictMayHaveRun, reason: vanillabarrow.ReasonConnectionFailed,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			l := newLink(t)
			l.gate.handle = func(context.Context, *vanillabarrow.Attempt) (*vanillabarrow.Response, error) {
				return tt.answer, tt.err
			}
			a := l.attempt()
			if tt.change != nil {
				tt.change(a)
			}
			answer, err := l.forwarder.Forward(t.Context(), a)
			if tt.verdict != 0 {
				refusal := vanillabarrow.AsRefusal(err)
				require.Equal(t, tt.verdict, refusal.Verdict)
				require.Equal(t, tt.reason, refusal.Reason)
				return
			}
			require.NoError(t, err)
			all, err := io.ReadAll(joined(answer))
			if tt.broken {
				require.Error(t, err)
				return
			}
			require.NoError(t, err)
			require.Equal(t, tt.body, all)
			require.NoError(t, answer.Stream.Close())
		})
	}
}

func TestCrossedAnswer(t *testing.T) {
	ts := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headerAttempt, "another")
		w.Header().Set(headerVerdict, vanillabarrow.VerdictFinished.String())
	}))
	defer ts.Close()
	l := newLink(t)
	a := l.attempt()
	a.Address = strings.TrimPrefix(ts.URL, "http://")
	_, err := l.forwarder.Forward(t.Context(), a)
	refusal := vanillabarrow.AsRefusal(err)
	require.Equal(t, vanillabarrow.VerdictMayHaveRun, refusal.Verdict)
	require.Equal(t, vanillabarrow.ReasonAnswerLost, refusal.Reason)
}

// TestRefusedUploadStaysWhole checks that a refused large body can be sent to
// another target.
func TestRefusedUploadStaysWhole(t *testing.T) {
	tests := map[string]struct {
		read bool
	}{
		"refused before reading": {false},
		"read by the target":     {true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			l := newLink(t)
			var got int64
			l.gate.handle = func(_ context.Context, a *vanillabarrow.Attempt) (*vanillabarrow.Response, error) {
				if !tt.read {
					return nil, vanillabarrow.NotRun(vanillabarrow.ReasonOverloaded, "")
				}
				got, _ = io.Copy(io.Discard, message.JoinBody(a.Request.Body, a.Request.Stream))
				return &vanillabarrow.Response{Status: 200}, nil
			}
			const size = 5 * HoldBytes
			stream := message.NewBodyStream(bytes.NewReader(make([]byte, size-10)), size)
			a := l.attempt()
			a.Request.Body, a.Request.Stream, a.Request.Size = make([]byte, 10), stream, size
			_, err := l.forwarder.Forward(t.Context(), a)
			require.Equal(t, tt.read, err == nil)
			require.Equal(t, !tt.read, stream.IsUnread())
			if tt.read {
				require.Equal(t, int64(size), got)
			}
		})
	}
}

// TestNoSecondSend checks that the HTTP library does not send an attempt again
// over another connection when a pooled one breaks.
func TestNoSecondSend(t *testing.T) {
	var posts atomic.Int64
	ts := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headerAttempt, r.Header.Get(headerAttempt))
		w.Header().Set(headerVerdict, vanillabarrow.VerdictFinished.String())
		if posts.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
	}))
	defer ts.Close()
	l := newLink(t)
	a := l.attempt()
	a.Address = strings.TrimPrefix(ts.URL, "http://")
	a.Request.Body, a.Request.Size = nil, 0
	a.Request.Header["Idempotency-Key"] = []string{"key"}
	_, err := l.forwarder.Forward(t.Context(), a)
	require.NoError(t, err)
	_, err = l.forwarder.Forward(t.Context(), a)
	require.Equal(t, vanillabarrow.VerdictMayHaveRun, vanillabarrow.AsRefusal(err).Verdict)
	require.Equal(t, int64(2), posts.Load())
}

func TestServerWantsTheMeshsFields(t *testing.T) {
	l := newLink(t)
	tests := map[string]http.Header{
		"none":          {},
		"no target":     {headerAttempt: {"a"}},
		"budget is odd": {headerAttempt: {"a"}, headerTarget: {"t"}, headerBudget: {"x"}},
	}
	for name, h := range tests {
		t.Run(name, func(t *testing.T) {
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+l.address+"/returns", nil)
			require.NoError(t, err)
			request.Header = h
			response, err := http.DefaultClient.Do(request)
			require.NoError(t, err)
			require.NoError(t, response.Body.Close())
			require.Equal(t, http.StatusBadRequest, response.StatusCode)
			require.Equal(t, "not-run", response.Header.Get(headerVerdict))
		})
	}
}

func TestAsk(t *testing.T) {
	tests := map[string]vanillabarrow.AttemptReport{
		"unknown":         {State: vanillabarrow.AttemptUnknown},
		"running":         {State: vanillabarrow.AttemptRunning},
		"fenced":          {State: vanillabarrow.AttemptFenced},
		"failed":          {State: vanillabarrow.AttemptFailed},
		"finished":        {State: vanillabarrow.AttemptFinished},
		"finished, whole": {State: vanillabarrow.AttemptFinished, Response: &vanillabarrow.Response{Status: 200, Header: vanillabarrow.Header{"A": {"1", "2"}}, Body: []byte("x"), Size: 1, Target: "t1"}},
	}
	for name, report := range tests {
		t.Run(name, func(t *testing.T) {
			l := newLink(t)
			l.gate.report = report
			got, err := l.forwarder.QueryAttempt(t.Context(), l.attempt())
			require.NoError(t, err)
			require.Equal(t, report, *got)
			require.Equal(t, "attempt-1", l.gate.asked.ID)
			require.Equal(t, token, l.gate.asked.Token)
			got, err = NewKeyMemory(kernel.NewTraffic()).ReleaseKey(t.Context(), l.address, vanillabarrow.KeyReleaseRequest{Target: "t1"})
			require.NoError(t, err)
			require.Equal(t, report, *got)
		})
	}
}

func TestRelayOverConnect(t *testing.T) {
	l := newLink(t)
	doc := []byte("kind: config\nschema: 1\nregions: [{name: r}]\n")
	_, err := l.table.Offer(&vanillabarrow.Bundle{Topic: vanillabarrow.TopicConfig, Version: 3, Root: doc}, time.Now())
	require.NoError(t, err)
	client := NewRelayClient("vm", kernel.NewTraffic())
	defer client.Close()
	versions, err := client.Peek(t.Context(), l.address)
	require.NoError(t, err)
	require.Equal(t, map[vanillabarrow.Topic]vanillabarrow.Version{vanillabarrow.TopicConfig: 3}, versions)

	child := rollout.New()
	stop := errors.New("enough")
	err = client.Watch(t.Context(), l.address, []vanillabarrow.TopicState{child.TopicState(vanillabarrow.TopicConfig)}, false,
		func(beat vanillabarrow.StreamMessage) error {
			b, err := child.Assemble(beat.Update)
			require.NoError(t, err)
			_, err = child.Offer(b, time.Now())
			require.NoError(t, err)
			return stop
		})
	require.ErrorIs(t, err, stop)
	require.Equal(t, vanillabarrow.Version(3), child.Snapshot().Version)
	update, err := client.Fetch(t.Context(), l.address, child.TopicState(vanillabarrow.TopicConfig))
	require.NoError(t, err)
	require.Nil(t, update)
	announced := vanillabarrow.Version(0)
	_ = client.Watch(t.Context(), l.address, nil, true, func(beat vanillabarrow.StreamMessage) error {
		announced = beat.Announced[vanillabarrow.TopicConfig]
		return stop
	})
	require.Equal(t, vanillabarrow.Version(3), announced)
}

func FuzzReadAttempt(f *testing.F) {
	f.Add("a", "t", "100", "1", "2", "inc.7", "1/2/3/0")
	f.Fuzz(func(t *testing.T, id, target, budget, depth, retries, text, load string) {
		r := httptest.NewRequest(http.MethodPost, "/", nil)
		for name, value := range map[string]string{
			headerAttempt: id, headerTarget: target, headerBudget: budget, headerDepth: depth, headerRetries: retries, headerToken: text,
		} {
			r.Header.Set(name, value)
		}
		a, err := readAttempt(r, time.Now())
		if err == nil {
			require.Equal(t, id, a.ID)
		}
		if l, ok := parseLoad(load); ok {
			require.GreaterOrEqual(t, l.Limit, 0)
		}
	})
}
