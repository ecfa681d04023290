package caller

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
)

// brokenStream fails after some bytes.
type brokenStream struct{ io.Reader }

func (s *brokenStream) Read(p []byte) (int, error) {
	if n, err := s.Reader.Read(p); err == nil {
		return n, nil
	}
	return 0, errors.New("the connection to the gate is lost")
}

func (*brokenStream) Close() error { return nil }

// frontDispatcher holds the first request, streams a response to the second that does not
// end well, and responds to others at once.
type frontDispatcher struct {
	*heldDispatcher
	size     int
	deadline time.Duration
	// complete is set if the stream ends well.
	complete bool
	// answered counts the requests but the first one.
	answered atomic.Int64
}

func (d *frontDispatcher) Do(ctx context.Context, r *vanillabarrow.Request) (*vanillabarrow.Response, error) {
	if r.Path == "/returns/0" {
		return d.heldDispatcher.Do(ctx, r)
	}
	defer d.answered.Add(1)
	switch r.Path {
	case "/returns/1":
		return &vanillabarrow.Response{
			Status: http.StatusOK, Header: vanillabarrow.Header{"X-Signature": {"s"}}, Body: []byte("start"),
			Stream: d.stream(), Deadline: time.Now().Add(d.deadline),
		}, nil
	default:
		return &vanillabarrow.Response{Status: http.StatusOK, Body: []byte(r.Path)}, nil
	}
}

func (d *frontDispatcher) stream() io.ReadCloser {
	r := bytes.NewReader(make([]byte, d.size))
	if d.complete {
		return io.NopCloser(r)
	}
	return &brokenStream{r}
}

// TestBrokenResponseBehindAnother guards against a response that does not end well before
// its turn and takes the connection, with the responses behind it, along.
func TestBrokenResponseBehindAnother(t *testing.T) {
	tests := map[string]struct {
		// size is the number of bytes of the stream before it breaks off.
		size     int
		deadline time.Duration
		complete bool
		status   int
	}{
		"breaks off at once":            {0, time.Minute, false, http.StatusBadGateway},
		"breaks off midway":             {20000, time.Minute, false, http.StatusBadGateway},
		"beyond the bound, not in time": {1 << 20, 50 * time.Millisecond, false, http.StatusGatewayTimeout},
		"complete, late":                {20000, -time.Second, true, http.StatusOK},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p := newPipelined(t, nil, 0)
			d := &frontDispatcher{heldDispatcher: p.d, size: tt.size, deadline: tt.deadline, complete: tt.complete}
			p.server.Dispatcher = d
			p.send(t, "GET", "GET", "GET", "GET")
			<-p.d.started
			require.Eventually(t, func() bool { return d.answered.Load() == 3 && p.server.InFlight() == 1 }, 20*time.Second, time.Millisecond)
			close(p.d.release)
			for i, status := range []int{http.StatusOK, tt.status, http.StatusOK, http.StatusOK} {
				response, err := http.ReadResponse(p.r, nil)
				require.NoError(t, err, "response %d", i)
				body, err := io.ReadAll(response.Body)
				require.NoError(t, err)
				require.Equal(t, status, response.StatusCode)
				require.False(t, response.Close)
				if i == 1 && tt.complete {
					require.Len(t, body, len("start")+tt.size)
					continue
				}
				if i == 1 {
					require.Contains(t, string(body), `"may-have-run"`)
					require.NotContains(t, string(body), "start")
					require.Empty(t, response.Header.Get("X-Signature"))
					continue
				}
				require.Equal(t, fmt.Sprintf("/returns/%d", i), string(body))
			}
		})
	}
}

// heldStream fails once it is told to.
type heldStream struct{ fail chan struct{} }

// flushedBytes is more than net/http buffers of a response.
const flushedBytes = 16 << 10

func (s *heldStream) Read([]byte) (int, error) {
	<-s.fail
	return 0, errors.New("the connection to the gate is lost")
}

func (*heldStream) Close() error { return nil }

// heldStreamDispatcher responds with a stream to the second request.
type heldStreamDispatcher struct {
	*heldDispatcher
	stream *heldStream
}

func (d *heldStreamDispatcher) Do(ctx context.Context, r *vanillabarrow.Request) (*vanillabarrow.Response, error) {
	if r.Path != "/returns/1" {
		return d.heldDispatcher.Do(ctx, r)
	}
	return &vanillabarrow.Response{Status: http.StatusOK, Body: make([]byte, flushedBytes), Stream: d.stream, Deadline: time.Now().Add(time.Minute)}, nil
}

// TestBrokenResponseThatHasBegun guards against a refusal that follows a part of a
// response, which the caller would take for the rest of it.
func TestBrokenResponseThatHasBegun(t *testing.T) {
	p := newPipelined(t, nil, 0)
	d := &heldStreamDispatcher{p.d, &heldStream{make(chan struct{})}}
	p.server.Dispatcher = d
	fail := sync.OnceFunc(func() { close(d.stream.fail) })
	defer fail()
	p.send(t, "GET", "GET")
	<-p.d.started
	require.Eventually(t, func() bool { return p.server.InFlight() == 2 }, 20*time.Second, time.Millisecond)
	close(p.d.release)
	require.Equal(t, http.StatusOK, p.awaitResponse(t).StatusCode)
	// The response to the second request has its turn, but its end is missing.
	_, err := p.r.Peek(1)
	require.NoError(t, err)
	fail()
	rest, err := io.ReadAll(p.r)
	require.NotContains(t, string(rest), "may-have-run", "%v", err)
}
