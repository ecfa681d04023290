package kernel

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillabarrow/vanillabarrow/internal/logging"
)

// pipeListener accepts connections in memory.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	close(l.closed)
	return nil
}

func (*pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// TestOpenRequestsAreCutBeforeTheStopEnds guards against a node that exits
// before its servers have aborted and logged the requests still open.
func TestOpenRequestsAreCutBeforeTheStopEnds(t *testing.T) {
	const (
		timeout = time.Second
		// pollDelay is how late Shutdown may notice the end of a request.
		pollDelay = 100 * time.Millisecond
	)
	tests := map[string]struct {
		requestTime time.Duration
		took        time.Duration
		logged      bool
	}{
		"request ends in time":     {timeout / 2, timeout / 2, false},
		"request outlasts the end": {time.Minute, timeout - AbortTime, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var logs bytes.Buffer
				listener := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
				hook := NewHTTPServer(HTTPServerConfig{
					Name: "test", Listener: listener, Logger: slog.New(slog.NewTextHandler(&logs, nil)),
					Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
						select {
						case <-time.After(tt.requestTime):
						case <-r.Context().Done():
						}
					}),
				}).Hook()
				require.NoError(t, hook.OnStart(t.Context()))
				client, server := net.Pipe()
				defer func() { _ = client.Close() }()
				listener.conns <- server
				_, err := io.WriteString(client, "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
				require.NoError(t, err)
				go func() { _, _ = io.Copy(io.Discard, client) }()
				synctest.Wait()
				start := time.Now()
				ctx, cancel := context.WithTimeout(t.Context(), timeout)
				defer cancel()
				require.NoError(t, hook.OnStop(ctx))
				require.NoError(t, ctx.Err(), "the time to stop has passed")
				require.InDelta(t, tt.took, time.Since(start), float64(pollDelay))
				require.Equal(t, tt.logged, bytes.Contains(logs.Bytes(), []byte(logging.EventRequestsAborted)))
			})
		})
	}
}

// TestStopServesNewConnections guards against a stop that drops a request which it has
// read from a connection that was open before, and against one that waits long for a
// connection without a request.
func TestStopServesNewConnections(t *testing.T) {
	tests := map[string]struct {
		// sendAfter is the time from the beginning of the stop to the request, 0 for no
		// request.
		sendAfter, took time.Duration
		status          int
		// age is the age of the connection when the stop begins.
		age time.Duration
	}{
		"request in time":            {newConnTimeout / 2, newConnTimeout / 2, http.StatusOK, 0},
		"no request":                 {0, newConnTimeout, 0, 0},
		"no request for a long time": {0, 0, 0, unusedAge + time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				listener := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
				hook := NewHTTPServer(HTTPServerConfig{
					Name: "test", Listener: listener, Logger: slog.New(slog.DiscardHandler),
					Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}),
				}).Hook()
				require.NoError(t, hook.OnStart(t.Context()))
				client, server := net.Pipe()
				defer func() { _ = client.Close() }()
				listener.conns <- server
				time.Sleep(tt.age)
				synctest.Wait()
				start, took := time.Now(), make(chan time.Duration, 1)
				go func() {
					_ = hook.OnStop(context.Background())
					took <- time.Since(start)
				}()
				if tt.status != 0 {
					time.Sleep(tt.sendAfter)
					_, err := io.WriteString(client, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
					require.NoError(t, err)
				}
				response, err := http.ReadResponse(bufio.NewReader(client), nil)
				if tt.status == 0 {
					require.ErrorIs(t, err, io.ErrUnexpectedEOF)
				} else {
					require.NoError(t, err)
					require.Equal(t, tt.status, response.StatusCode)
				}
				require.Equal(t, tt.took, <-took)
			})
		})
	}
}

// stoppableListener records that it was told before its server was shut down.
type stoppableListener struct {
	net.Listener
	stopped atomic.Bool
}

func (l *stoppableListener) Stop(context.Context) { l.stopped.Store(true) }

// TestStopperBehindIntake guards against a planned stop that cuts requests started
// ahead, because the listener that waits for them is wrapped.
func TestStopperBehindIntake(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listener := &stoppableListener{Listener: l}
	server := NewHTTPServer(HTTPServerConfig{
		Name: "test", Listener: listener, Handler: http.NotFoundHandler(), Intake: NewIntake(NewIntakeLimits(0, 0)),
		Logger: slog.New(slog.DiscardHandler),
	})
	hook := server.Hook()
	require.NoError(t, hook.OnStart(context.Background()))
	require.NoError(t, hook.OnStop(context.Background()))
	require.True(t, listener.stopped.Load())
}
