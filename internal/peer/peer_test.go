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

// fakeGate handles attempts with a function of the test and returns a fixed
// report.
type fakeGate struct {
	handle  func(ctx context.Context, a *vanillabarrow.Attempt) (*vanillabarrow.Response, error)
	report  vanillabarrow.AttemptReport
	queried *vanillabarrow.Attempt
}

// Handle reads a body that the sender has not sent yet, unless the request is
// refused, as a real gate does.
func (g *fakeGate) Handle(ctx context.Context, a *vanillabarrow.Attempt) (*vanillabarrow.Response, error) {
	response, err := g.handle(ctx, a)
	if err != nil || a.Request.Stream == nil || len(a.Request.Body) > 0 {
		return response, err
	}
	a.Request.Body, a.Request.Stream, err = message.SplitBody(a.Request.Stream, MaxBufferedBytes)
	return response, err
}

func (g *fakeGate) QueryAttempt(a *vanillabarrow.Attempt) *vanillabarrow.AttemptReport {
	g.queried = a
	return &g.report
}

func (g *fakeGate) ReleaseKey(vanillabarrow.KeyReleaseRequest) *vanillabarrow.AttemptReport {
	return &g.report
}
func (g *fakeGate) Token() vanillabarrow.Token { return token }

func (g *fakeGate) Load(priority int) vanillabarrow.Load {
	return vanillabarrow.Load{InFlight: 1, Queued: 2, Limit: 3, Unavailable: true, Priority: priority}
}

// recordingObserver records the state last reported.
type recordingObserver struct {
	mu      sync.Mutex
	load    vanillabarrow.Load
	token   vanillabarrow.Token
	version vanillabarrow.Version
	vm      string
	senders []string
}

func (o *recordingObserver) ObserveLoad(_ string, load vanillabarrow.Load, _ time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.load = load
}

func (o *recordingObserver) ObserveToken(_ string, token vanillabarrow.Token) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.token = token
}

func (o *recordingObserver) ObserveVersion(vm string, version vanillabarrow.Version) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.vm, o.version = vm, version
}

func (o *recordingObserver) ObserveSender(host string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.senders = append(o.senders, host)
}

// fixedConfig is a Configuration whose snapshot has version 5.
type fixedConfig struct{}

func (fixedConfig) Snapshot() *vanillabarrow.Snapshot { return &vanillabarrow.Snapshot{Version: 5} }

// fixture consists of a forwarder and the server that it sends to.
type fixture struct {
	gate           *fakeGate
	address        string
	forwarder      *Forwarder
	senderObserver *recordingObserver
	gateObserver   *recordingObserver
	table          *rollout.Table
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{gate: &fakeGate{}, senderObserver: &recordingObserver{}, gateObserver: &recordingObserver{}, table: rollout.New()}
	server := NewServer(f.gate, fixedConfig{}, f.gateObserver, slog.New(slog.DiscardHandler))
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	ts := httptest.NewUnstartedServer(server.Handler(NewRelayServer(relay.NewServer(f.table))))
	ts.Config.Protocols = protocols
	ts.Start()
	t.Cleanup(ts.Close)
	f.address = strings.TrimPrefix(ts.URL, "http://")
	f.forwarder = NewForwarder("vm-sender", f.senderObserver, kernel.NewTraffic())
	t.Cleanup(f.forwarder.Close)
	return f
}

func (f *fixture) attempt() *vanillabarrow.Attempt {
	return &vanillabarrow.Attempt{
		ID: "attempt-1", Address: f.address, Version: 4, Token: token, RetriesLeft: 1,
		Deadline: time.Now().Add(time.Minute),
		Target:   &vanillabarrow.Target{Name: "t1", VM: "vm-gate"},
		Request: &vanillabarrow.Request{
			Service: "desk", Method: "POST", Host: "desk.example", Path: "//returns/a%2Fb?x=1", Key: "key", Depth: 2,
			Header: vanillabarrow.Header{"X-Own": {"1"}}, Body: []byte("body"), Size: 4,
		},
	}
}

func TestForwardSendsAttempt(t *testing.T) {
	f := newFixture(t)
	var got *vanillabarrow.Attempt
	f.gate.handle = func(_ context.Context, a *vanillabarrow.Attempt) (*vanillabarrow.Response, error) {
		got = a
		return &vanillabarrow.Response{Status: 201, Header: vanillabarrow.Header{"X-Answer": {"2"}}, Body: []byte("done"), Size: 4}, nil
	}
	sent := f.attempt()
	response, err := f.forwarder.Forward(t.Context(), sent)
	require.NoError(t, err)
	require.Equal(t, 201, response.Status)
	require.Equal(t, "done", string(response.Body))
	require.Equal(t, []string{"2"}, response.Header["X-Answer"])
	require.Equal(t, "t1", response.Target)
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
	require.Equal(t, vanillabarrow.Version(5), f.senderObserver.version)
	require.Equal(t, "vm-gate", f.senderObserver.vm)
	require.Equal(t, f.gate.Load(0), f.senderObserver.load)
	require.Equal(t, token, f.senderObserver.token)
	require.Equal(t, vanillabarrow.Version(4), f.gateObserver.version)
	require.Equal(t, "vm-sender", f.gateObserver.vm)
}

func TestForwardVerdicts(t *testing.T) {
	large := bytes.Repeat([]byte("x"), 3*MaxBufferedBytes)
	tests := map[string]struct {
		response  *vanillabarrow.Response
		err       error
		modify    func(a *vanillabarrow.Attempt)
		verdict   vanillabarrow.Verdict
		reason    vanillabarrow.Reason
		body      []byte
		truncated bool
	}{
		"refused": {
			err:     &vanillabarrow.Refusal{Verdict: vanillabarrow.VerdictNotRun, Reason: vanillabarrow.ReasonOverloaded, Detail: "a\nb", RetryAfter: time.Second},
			verdict: vanillabarrow.VerdictNotRun, reason: vanillabarrow.ReasonOverloaded,
		},
		"target failed": {
			err:     vanillabarrow.MayHaveRun(vanillabarrow.ReasonTargetFailed, ""),
			verdict: vanillabarrow.VerdictMayHaveRun, reason: vanillabarrow.ReasonTargetFailed,
		},
		"error without a verdict": {
			err: errors.New("odd"), verdict: vanillabarrow.VerdictMayHaveRun, reason: vanillabarrow.ReasonConnectionFailed,
		},
		"no connection": {
			modify:  func(a *vanillabarrow.Attempt) { a.Address = "127.0.0.1:1" },
			verdict: vanillabarrow.VerdictNotRun, reason: vanillabarrow.ReasonConnectionFailed,
		},
		"large response": {
			response: &vanillabarrow.Response{Status: 200, Body: large[:10], Stream: io.NopCloser(bytes.NewReader(large[10:])), Size: int64(len(large))},
			body:     large,
		},
		"truncated large response": {
			response:  &vanillabarrow.Response{Status: 200, Stream: io.NopCloser(io.MultiReader(bytes.NewReader(large), iotest.ErrReader(errors.New("gone")))), Size: -1},
			truncated: true,
		},
		"truncated small response": {
			response: &vanillabarrow.Response{Status: 200, Stream: io.NopCloser(io.MultiReader(strings.NewReader("part"), iotest.ErrReader(errors.New("gone")))), Size: -1},
			verdict:  vanillabarrow.VerdictMayHaveRun, reason: vanillabarrow.ReasonConnectionFailed,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.gate.handle = func(context.Context, *vanillabarrow.Attempt) (*vanillabarrow.Response, error) {
				return tt.response, tt.err
			}
			a := f.attempt()
			if tt.modify != nil {
				tt.modify(a)
			}
			response, err := f.forwarder.Forward(t.Context(), a)
			if tt.verdict != 0 {
				refusal := vanillabarrow.AsRefusal(err)
				require.Equal(t, tt.verdict, refusal.Verdict)
				require.Equal(t, tt.reason, refusal.Reason)
				return
			}
			require.NoError(t, err)
			all, err := io.ReadAll(bodyReader(response))
			if tt.truncated {
				require.Error(t, err)
				return
			}
			require.NoError(t, err)
			require.Equal(t, tt.body, all)
			require.NoError(t, response.Stream.Close())
		})
	}
}

// TestMismatchedResponse checks that a response with the id of another attempt is
// not taken for the response to this one.
func TestMismatchedResponse(t *testing.T) {
	ts := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headerAttempt, "another")
		w.Header().Set(headerVerdict, vanillabarrow.VerdictFinished.String())
	}))
	defer ts.Close()
	f := newFixture(t)
	a := f.attempt()
	a.Address = strings.TrimPrefix(ts.URL, "http://")
	_, err := f.forwarder.Forward(t.Context(), a)
	refusal := vanillabarrow.AsRefusal(err)
	require.Equal(t, vanillabarrow.VerdictMayHaveRun, refusal.Verdict)
	require.Equal(t, vanillabarrow.ReasonAnswerLost, refusal.Reason)
}

// TestRefusedBodyIsUnread checks that the body of a refused upload is not sent,
// so that it can be sent to another target.
func TestRefusedBodyIsUnread(t *testing.T) {
	tests := map[string]struct {
		read bool
	}{
		"refused before reading": {false},
		"read by the target":     {true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			var got int64
			f.gate.handle = func(_ context.Context, a *vanillabarrow.Attempt) (*vanillabarrow.Response, error) {
				if !tt.read {
					return nil, vanillabarrow.NotRun(vanillabarrow.ReasonOverloaded, "")
				}
				got, _ = io.Copy(io.Discard, message.JoinBody(a.Request.Body, a.Request.Stream))
				return &vanillabarrow.Response{Status: 200}, nil
			}
			const size = 5 * MaxBufferedBytes
			stream := message.NewBodyStream(bytes.NewReader(make([]byte, size-10)), size)
			a := f.attempt()
			a.Request.Body, a.Request.Stream, a.Request.Size = make([]byte, 10), stream, size
			_, err := f.forwarder.Forward(t.Context(), a)
			require.Equal(t, tt.read, err == nil)
			require.Equal(t, !tt.read, stream.IsUnread())
			if tt.read {
				require.Equal(t, int64(size), got)
			}
		})
	}
}

// TestForwardDoesNotResend checks that net/http does not resend an attempt over
// another connection when a pooled one breaks.
func TestForwardDoesNotResend(t *testing.T) {
	var posts atomic.Int64
	ts := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headerAttempt, r.Header.Get(headerAttempt))
		w.Header().Set(headerVerdict, vanillabarrow.VerdictFinished.String())
		if posts.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
	}))
	defer ts.Close()
	f := newFixture(t)
	a := f.attempt()
	a.Address = strings.TrimPrefix(ts.URL, "http://")
	a.Request.Body, a.Request.Size = nil, 0
	a.Request.Header["Idempotency-Key"] = []string{"key"}
	_, err := f.forwarder.Forward(t.Context(), a)
	require.NoError(t, err)
	_, err = f.forwarder.Forward(t.Context(), a)
	require.Equal(t, vanillabarrow.VerdictMayHaveRun, vanillabarrow.AsRefusal(err).Verdict)
	require.Equal(t, int64(2), posts.Load())
}

func TestServerRejectsInvalidAttempts(t *testing.T) {
	f := newFixture(t)
	tests := map[string]http.Header{
		"no fields":      {},
		"no target":      {headerAttempt: {"a"}},
		"invalid budget": {headerAttempt: {"a"}, headerTarget: {"t"}, headerBudget: {"x"}},
	}
	for name, h := range tests {
		t.Run(name, func(t *testing.T) {
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+f.address+"/returns", nil)
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

func TestQueryAttempt(t *testing.T) {
	tests := map[string]vanillabarrow.AttemptReport{
		"unknown":                {State: vanillabarrow.AttemptUnknown},
		"running":                {State: vanillabarrow.AttemptRunning},
		"fenced":                 {State: vanillabarrow.AttemptFenced},
		"failed":                 {State: vanillabarrow.AttemptFailed},
		"finished":               {State: vanillabarrow.AttemptFinished},
		"finished with response": {State: vanillabarrow.AttemptFinished, Response: &vanillabarrow.Response{Status: 200, Header: vanillabarrow.Header{"A": {"1", "2"}}, Body: []byte("x"), Size: 1, Target: "t1"}},
	}
	for name, report := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.gate.report = report
			got, err := f.forwarder.QueryAttempt(t.Context(), f.attempt())
			require.NoError(t, err)
			require.Equal(t, report, *got)
			require.Equal(t, "attempt-1", f.gate.queried.ID)
			require.Equal(t, token, f.gate.queried.Token)
			got, err = NewKeyReleaser(kernel.NewTraffic()).ReleaseKey(t.Context(), f.address, vanillabarrow.KeyReleaseRequest{Target: "t1"})
			require.NoError(t, err)
			require.Equal(t, report, *got)
		})
	}
}

func TestRelayOverConnect(t *testing.T) {
	f := newFixture(t)
	doc := []byte("kind: config\nschema: 1\nregions: [{name: r}]\n")
	_, err := f.table.Offer(&vanillabarrow.Bundle{Topic: vanillabarrow.TopicConfig, Version: 3, Root: doc}, time.Now())
	require.NoError(t, err)
	client := NewRelayClient("vm", kernel.NewTraffic())
	defer client.Close()
	versions, err := client.Peek(t.Context(), f.address)
	require.NoError(t, err)
	require.Equal(t, map[vanillabarrow.Topic]vanillabarrow.Version{vanillabarrow.TopicConfig: 3}, versions)

	child := rollout.New()
	stop := errors.New("stop")
	err = client.Watch(t.Context(), f.address, []vanillabarrow.TopicState{child.TopicState(vanillabarrow.TopicConfig)}, false,
		func(msg vanillabarrow.StreamMessage) error {
			b, err := child.Assemble(msg.Update)
			require.NoError(t, err)
			_, err = child.Offer(b, time.Now())
			require.NoError(t, err)
			return stop
		})
	require.ErrorIs(t, err, stop)
	require.Equal(t, vanillabarrow.Version(3), child.Snapshot().Version)
	update, err := client.Fetch(t.Context(), f.address, child.TopicState(vanillabarrow.TopicConfig))
	require.NoError(t, err)
	require.Nil(t, update)
	announced := vanillabarrow.Version(0)
	_ = client.Watch(t.Context(), f.address, nil, true, func(msg vanillabarrow.StreamMessage) error {
		announced = msg.Announced[vanillabarrow.TopicConfig]
		return stop
	})
	require.Equal(t, vanillabarrow.Version(3), announced)
}

func FuzzReadAttempt(f *testing.F) {
	f.Add("a", "t", "100", "1", "2", "inc.7", "1/2/3/0")
	f.Fuzz(func(t *testing.T, id, target, budget, depth, retries, tokenText, load string) {
		r := httptest.NewRequest(http.MethodPost, "/", nil)
		for name, value := range map[string]string{
			headerAttempt: id, headerTarget: target, headerBudget: budget, headerDepth: depth, headerRetries: retries, headerToken: tokenText,
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
