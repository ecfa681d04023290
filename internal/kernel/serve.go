package kernel

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/vanillabarrow/vanillabarrow/internal/logging"
	"go.uber.org/fx"
)

const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	// AbortTime is the last part of the time to stop a node, in which servers
	// abort the requests still open.
	AbortTime = 100 * time.Millisecond
)

// Stopper is a listener that is told before its server is shut down.
type Stopper interface {
	// Stop returns when the server may close each connection after the response that
	// it is writing, or when the context ends.
	Stop(ctx context.Context)
}

// WrappedConn is a connection in front of another one, such as one of a Listener of
// HTTPServerConfig.
type WrappedConn interface {
	// NetConn returns the connection below, whose socket options are set.
	NetConn() net.Conn
	// Context returns the context of the connection's requests.
	Context(parent context.Context) context.Context
}

// AheadConn is a WrappedConn whose requests may be started before the server has read
// them.
type AheadConn interface {
	// StartedAhead reports whether the request that the server reads next has been
	// started.
	StartedAhead() bool
}

// HTTPServerConfig holds the dependencies and limits of a server.
type HTTPServerConfig struct {
	// Name identifies the listener in log lines.
	Name     string
	Listener net.Listener
	Handler  http.Handler
	// MaxHeaderBytes is the maximum size of a request header.
	MaxHeaderBytes int
	// TCPUserTimeout is the time after which a connection with unacknowledged
	// bytes is closed, 0 for the operating system's default.
	TCPUserTimeout time.Duration
	// Intake bounds what clients hold. It may be nil.
	Intake *Intake
	Logger *slog.Logger
}

// HTTPServer serves a listener from the start to the stop of a node.
type HTTPServer struct {
	cfg      HTTPServerConfig
	server   *http.Server
	listener *stopListener
	conns    *serverConns
	// stopper is the listener if that is told before the shutdown, else nil.
	stopper Stopper
	done    chan struct{}
}

// NewHTTPServer returns a server for HTTP/1.1 and HTTP/2 without TLS.
func NewHTTPServer(cfg HTTPServerConfig) *HTTPServer {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	stopper, _ := cfg.Listener.(Stopper)
	if cfg.Intake != nil {
		cfg.Listener = &intakeListener{Listener: cfg.Listener, name: cfg.Name, intake: cfg.Intake, logger: cfg.Logger}
		cfg.Handler = intakeHandler{cfg.Handler}
	}
	s := &HTTPServer{
		cfg: cfg, stopper: stopper, listener: newStopListener(cfg.Listener), conns: newServerConns(), done: make(chan struct{}),
	}
	s.server = &http.Server{
		Handler:           connsHandler{s.conns, cfg.Handler},
		ConnContext:       s.connContext,
		ConnState:         s.connState,
		Protocols:         protocols,
		MaxHeaderBytes:    cfg.MaxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          slog.NewLogLogger(cfg.Logger.Handler(), slog.LevelDebug),
	}
	return s
}

func (s *HTTPServer) run() {
	defer close(s.done)
	if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		s.cfg.Logger.Error(logging.EventListenerFailed, "listener", s.cfg.Name, "error", err)
	}
}

// Hook returns the lifecycle hook that starts the server and shuts it down
// gracefully. Connections that are still open AbortTime before the deadline of
// the stop context are closed, because nothing is done after that deadline.
func (s *HTTPServer) Hook() fx.Hook {
	return fx.Hook{
		OnStart: func(context.Context) error {
			go s.run()
			s.cfg.Logger.Info(logging.EventListening, "listener", s.cfg.Name, "address", s.cfg.Listener.Addr())
			return nil
		},
		OnStop: func(ctx context.Context) error {
			drainCtx, cancel := withEarlierDeadline(ctx, AbortTime)
			defer cancel()
			s.stop(drainCtx)
			<-s.done
			return nil
		},
	}
}

// stop serves the requests that have been read and closes the connections. It cuts those
// whose requests are still open when the context ends.
func (s *HTTPServer) stop(ctx context.Context) {
	if err := s.listener.stop(); err != nil {
		s.cfg.Logger.Debug(logging.EventListenerFailed, "listener", s.cfg.Name, "error", err)
	}
	if s.stopper != nil {
		s.stopper.Stop(ctx)
	}
	s.drain(ctx)
	// What is left are connections with HTTP/2, if the context has not ended.
	if err := s.server.Shutdown(ctx); err != nil {
		if open := s.conns.count(serverConn.isActive); open > 0 {
			s.cfg.Logger.Warn(logging.EventRequestsAborted, "listener", s.cfg.Name, "count", open)
		}
		_ = s.server.Close()
	}
}

// drain ends the connections with HTTP/1 after the requests that have been read from
// them. http.Server.Shutdown drops a request that was read after it began.
func (s *HTTPServer) drain(ctx context.Context) {
	s.conns.drain()
	s.conns.interrupt(serverConn.isIdle)
	s.conns.interrupt(serverConn.isUnused)
	newCtx, cancel := context.WithTimeout(ctx, newConnTimeout)
	defer cancel()
	s.conns.await(newCtx, serverConn.isUnread)
	s.conns.interrupt(serverConn.isNew)
	s.conns.await(ctx, serverConn.isSequential)
}

// withEarlierDeadline returns a context that ends the given time before the
// deadline of its parent, if that has one.
func withEarlierDeadline(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline.Add(-d))
}
