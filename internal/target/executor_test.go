package target

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/message"
)

type configuration struct{ snapshot *vanillabarrow.Snapshot }

func (c configuration) Snapshot() *vanillabarrow.Snapshot { return c.snapshot }

func executorFor(t *testing.T, address string) *Executor {
	e := New(vanillabarrow.TargetRef{Name: "t1"}, configuration{&vanillabarrow.Snapshot{Targets: map[string]*vanillabarrow.Target{
		"t1": {Name: "t1", Address: address, Connections: 2},
	}}}, NewProtocol())
	t.Cleanup(e.Close)
	return e
}

func attempt(d time.Duration) *vanillabarrow.Attempt {
	return &vanillabarrow.Attempt{
		Target: &vanillabarrow.Target{Name: "t1"}, Deadline: time.Now().Add(d),
		Request: &vanillabarrow.Request{Method: "POST", Path: "/a", Depth: 3, RetriesLeft: 1, Header: vanillabarrow.Header{}},
	}
}

func TestExecute(t *testing.T) {
	tests := map[string]struct {
		handler http.HandlerFunc
		down    bool
		budget  time.Duration
		verdict vanillabarrow.Verdict
		reason  vanillabarrow.Reason
		status  int
	}{
		"answers": {
			handler: func(w http.ResponseWriter, r *http.Request) {
				c, err := message.ParseContext(r.Header.Get(message.ContextHeader))
				if err != nil || c.Depth != 4 || c.Retries != 1 || c.Budget <= 0 {
					w.WriteHeader(http.StatusTeapot)
					return
				}
				w.Header().Set("Vb-Verdict", "not-run")
				w.WriteHeader(http.StatusCreated)
			},
			budget: time.Minute, status: http.StatusCreated,
		},
		"is down": {
			down: true, budget: time.Minute,
			verdict: vanillabarrow.VerdictNotRun, reason: vanillabarrow.ReasonTargetDown,
		},
		"breaks the connection": {
			handler: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, budget: time.Minute,
			verdict: vanillabarrow.VerdictMayHaveRun, reason: vanillabarrow.ReasonTargetFailed,
		},
		"breaks off its answer": {
			handler: func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Length", "100")
				_, _ = io.WriteString(w, "part")
				panic(http.ErrAbortHandler)
			},
			budget: time.Minute, verdict: vanillabarrow.VerdictMayHaveRun, reason: vanillabarrow.ReasonTargetFailed,
		},
		"is too slow": {
			handler: func(_ http.ResponseWriter, r *http.Request) {
				// The server notices a closed connection once the body is read.
				_, _ = io.Copy(io.Discard, r.Body)
				<-r.Context().Done()
			},
			budget:  20 * time.Millisecond,
			verdict: vanillabarrow.VerdictMayHaveRun, reason: vanillabarrow.ReasonDeadline,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			ts := httptest.NewServer(tt.handler)
			defer ts.Close()
			address := strings.TrimPrefix(ts.URL, "http://")
			if tt.down {
				ts.Close()
			}
			answer, err := executorFor(t, address).Execute(t.Context(), attempt(tt.budget))
			if tt.verdict == 0 {
				require.NoError(t, err)
				require.Equal(t, tt.status, answer.Status)
				require.NotContains(t, answer.Header, "Vb-Verdict", "a target can't give the nodes' fields")
				return
			}
			refusal := vanillabarrow.AsRefusal(err)
			require.Equal(t, tt.verdict, refusal.Verdict, refusal.Error())
			require.Equal(t, tt.reason, refusal.Reason)
		})
	}
}

// TestNoSecondSend checks that the HTTP library does not send a request again
// on its own when a pooled connection breaks, whatever its header says.
func TestNoSecondSend(t *testing.T) {
	tests := map[string]struct {
		body string
	}{
		"empty body with a key": {""},
		"body with a key":       {"x"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var posts atomic.Int64
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			server := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/break" {
					posts.Add(1)
					panic(http.ErrAbortHandler)
				}
			})}
			s := &runner{server, l}
			go s.run()
			defer func() { _ = server.Close() }()
			e := executorFor(t, l.Addr().String())
			_, err = e.Execute(context.Background(), attempt(time.Minute))
			require.NoError(t, err)
			a := attempt(time.Minute)
			a.Request.Path, a.Request.Body, a.Request.Size = "/break", []byte(tt.body), int64(len(tt.body))
			a.Request.Header["Idempotency-Key"] = []string{"k"}
			_, err = e.Execute(context.Background(), a)
			require.Equal(t, vanillabarrow.VerdictMayHaveRun, vanillabarrow.AsRefusal(err).Verdict)
			require.Equal(t, int64(1), posts.Load())
		})
	}
}

type runner struct {
	server   *http.Server
	listener net.Listener
}

func (r *runner) run() { _ = r.server.Serve(r.listener) }
