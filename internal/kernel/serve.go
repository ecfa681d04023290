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
)

// HTTPServerConfig holds what a server is made of.
type HTTPServerConfig struct {
	// Name is that of the listener, for the log.
	Name     string
	Listener net.Listener
	Handler  http.Handler
	// MaxHeaderBytes bounds the header of a request.
	MaxHeaderBytes int
	// TCPUserTimeout breaks connections whose bytes the other side does not
	// acknowledge for that time, 0 for the kernel's own limit.
	TCPUserTimeout time.Duration
	Logger         *slog.Logger
}

// HTTPServer runs a handler on a listener for the life of a node.
type HTTPServer struct {
	cfg    HTTPServerConfig
	server *http.Server
	done   chan struct{}
}

// NewHTTPServer returns a server for HTTP/1.1 and HTTP/2 without TLS.
func NewHTTPServer(cfg HTTPServerConfig) *HTTPServer {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	s := &HTTPServer{cfg: cfg, done: make(chan struct{})}
	s.server = &http.Server{
		Handler:           cfg.Handler,
		ConnContext:       s.limitAccepted,
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
	if err := s.server.Serve(s.cfg.Listener); !errors.Is(err, http.ErrServerClosed) {
		s.cfg.Logger.Error(logging.EventListenerFailed, "listener", s.cfg.Name, "error", err)
	}
}

// Hook returns the lifecycle hook that starts the server and stops it once no
// request is open. Requests still open when the context ends are cut.
func (s *HTTPServer) Hook() fx.Hook {
	return fx.Hook{
		OnStart: func(context.Context) error {
			go s.run()
			s.cfg.Logger.Info(logging.EventListening, "listener", s.cfg.Name, "address", s.cfg.Listener.Addr())
			return nil
		},
		OnStop: func(ctx context.Context) error {
			err := s.server.Shutdown(ctx)
			if err != nil {
				s.cfg.Logger.Warn(logging.EventOpenRequestsCut, "listener", s.cfg.Name, "error", err)
				_ = s.server.Close()
			}
			<-s.done
			return nil
		},
	}
}
