package caller

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/route"
)

// streamDispatcher responds with a stream whose end waits for the test, or waits for the
// end of the request.
type streamDispatcher struct {
	stream  io.Reader
	started chan struct{}
	cause   chan error
}

func (d *streamDispatcher) Do(ctx context.Context, _ *vanillabarrow.Request) (*vanillabarrow.Response, error) {
	if d.stream != nil {
		return &vanillabarrow.Response{Status: http.StatusOK, Body: []byte("start "), Stream: &contextReader{ctx, d.stream}, Deadline: time.Now().Add(time.Minute)}, nil
	}
	close(d.started)
	<-ctx.Done()
	d.cause <- context.Cause(ctx)
	return nil, vanillabarrow.MayHaveRun(vanillabarrow.ReasonDraining, "")
}

// contextReader fails once the context of its request has ended.
type contextReader struct {
	ctx context.Context
	io.Reader
}

func (r *contextReader) Read(p []byte) (int, error) {
	if err := r.ctx.Err(); err != nil {
		return 0, err
	}
	return r.Reader.Read(p)
}

func (*contextReader) Close() error { return nil }

// abortingReader aborts the requests of a server before its first byte.
type abortingReader struct {
	server *Server
	io.Reader
}

func (r *abortingReader) Read(p []byte) (int, error) {
	r.server.Abort()
	return r.Reader.Read(p)
}

// TestAbortEndsRequestsWithoutResponse guards against a request that keeps the responses
// behind it until its connection is closed, and against a stream that is cut although it
// could end in time.
func TestAbortEndsRequestsWithoutResponse(t *testing.T) {
	tests := map[string]struct {
		streamed bool
		status   int
		body     string
	}{
		"at work":  {false, http.StatusBadGateway, `{"verdict":"may-have-run"`},
		"streamed": {true, http.StatusOK, "start and end"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			d := &streamDispatcher{started: make(chan struct{}), cause: make(chan error, 1)}
			s := New(Config{
				Dispatcher: d, Configuration: fixedConfig{newSnapshot()}, Logger: slog.New(slog.DiscardHandler), Protocol: NewProtocol(),
				Splits: route.NewSplits(), NewID: func() string { return "id" }, MaxBodyBytes: maxBody, MaxInFlight: 100,
			})
			if tt.streamed {
				d.stream = &abortingReader{s, bytes.NewReader([]byte("and end"))}
			}
			server := httptest.NewServer(s.Handler())
			defer server.Close()
			if !tt.streamed {
				go func() {
					<-d.started
					s.Abort()
				}()
			}
			response, err := http.Get(server.URL + "/returns")
			require.NoError(t, err)
			body, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			require.NoError(t, response.Body.Close())
			require.Equal(t, tt.status, response.StatusCode)
			require.Contains(t, string(body), tt.body)
			if !tt.streamed {
				require.Equal(t, vanillabarrow.ErrNodeStopping, <-d.cause)
			}
		})
	}
}
