package peer

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

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
	// withdrawn is the attempt that was withdrawn last.
	withdrawn *vanillabarrow.Attempt
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

func (g *fakeGate) WithdrawAttempt(a *vanillabarrow.Attempt) *vanillabarrow.AttemptReport {
	g.withdrawn = a
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
