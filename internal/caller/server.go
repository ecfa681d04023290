// Package caller serves callers over HTTP/1.1 and HTTP/2 without TLS.
package caller

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
	"github.com/vanillabarrow/vanillabarrow/internal/logging"
	"github.com/vanillabarrow/vanillabarrow/internal/message"
	"github.com/vanillabarrow/vanillabarrow/internal/route"
)

const (
	// holdBytes is the largest part of a body that is held in any case.
	holdBytes = 64 << 10
	// maxHoldBytes is the largest body that is held whole. A body that is held
	// can be sent again to another target, and a caller that leaves is noticed:
	// the connection is watched only once the body has been read.
	maxHoldBytes = 1 << 20
	// holdBudget bounds the bodies above holdBytes that a node holds.
	holdBudget = 32 << 20
)

// Config holds what a server is made of.
type Config struct {
	Dispatcher    vanillabarrow.Dispatcher
	Configuration vanillabarrow.Configuration
	Protocol      vanillabarrow.CallerProtocol
	Splits        *route.Splits
	Logger        *slog.Logger
	NewID         func() string
	MaxBodyBytes  int64
	MaxInFlight   int
}

// Server handles callers' requests.
type Server struct {
	Config
	inFlight atomic.Int64
	// holding is the number of bytes taken from the hold budget.
	holding  atomic.Int64
	draining atomic.Bool
	closed   atomic.Bool
}

// New returns a server.
func New(cfg Config) *Server { return &Server{Config: cfg} }

// Drain asks callers to open connections to other nodes. Requests that still
// come are served.
func (s *Server) Drain() { s.draining.Store(true) }

// Close makes the server refuse what still comes over connections that were
// open before. The process ends before such requests could be served.
func (s *Server) Close() { s.closed.Store(true) }

// InFlight returns the number of open requests.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// Handler returns the handler of the caller listener.
func (s *Server) Handler() http.Handler {
	router := mux.NewRouter().SkipClean(true).UseEncodedPath()
	router.PathPrefix("/").HandlerFunc(s.serve)
	router.NewRoute().HandlerFunc(s.serve)
	return router
}

// call is what is known of a request from its first byte on.
type call struct {
	id      string
	route   string
	arrived time.Time
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	c := &call{id: s.Protocol.ID(vanillabarrow.Header(r.Header)), arrived: time.Now()}
	if c.id == "" {
		c.id = s.NewID()
	}
	if s.draining.Load() && r.ProtoMajor == 1 {
		w.Header().Set("Connection", "close")
	}
	if s.closed.Load() {
		s.refuse(w, c, vanillabarrow.NotRun(vanillabarrow.ReasonDraining, "the node is about to end"))
		return
	}
	defer s.inFlight.Add(-1)
	if s.inFlight.Add(1) > int64(s.MaxInFlight) {
		refusal := vanillabarrow.NotRun(vanillabarrow.ReasonOverloaded, "too many requests at this node")
		refusal.RetryAfter = time.Second
		s.refuse(w, c, refusal)
		return
	}
	held := s.reserve(r.ContentLength)
	defer s.holding.Add(-held)
	request, ctx, cancel, err := s.read(r, c, max(held, holdBytes))
	defer cancel()
	if err != nil {
		s.refuse(w, c, vanillabarrow.AsRefusal(err))
		return
	}
	if kernel.IsClientGone(r.Context()) {
		s.refuse(w, c, vanillabarrow.NotRun(vanillabarrow.ReasonCanceled, "the caller left before its request was read"))
		return
	}
	answer, err := s.Dispatcher.Do(ctx, request)
	if err != nil {
		s.refuse(w, c, vanillabarrow.AsRefusal(err))
		return
	}
	s.write(w, c, answer)
}

// reserve takes the size of a body from the hold budget, 0 when it needs none
// or there is too little left. The length is -1 for a body sent in chunks.
func (s *Server) reserve(length int64) int64 {
	if length < 0 {
		length = maxHoldBytes
	}
	if length <= holdBytes || length > maxHoldBytes {
		return 0
	}
	if s.holding.Add(length) > holdBudget {
		s.holding.Add(-length)
		return 0
	}
	return length
}

// badRequest is a refusal for a request that can't be right anywhere.
func badRequest(reason vanillabarrow.Reason, detail string) error {
	return vanillabarrow.NotRun(reason, detail)
}

// read builds the request. The context carries the caller's budget.
func (s *Server) read(r *http.Request, c *call, hold int64) (*vanillabarrow.Request, context.Context, context.CancelFunc, error) {
	ctx, cancel := context.WithCancel(r.Context())
	if r.Method == http.MethodConnect || !strings.HasPrefix(r.URL.Path, "/") {
		return nil, ctx, cancel, badRequest(vanillabarrow.ReasonNoRoute, "only requests with a path are served")
	}
	snapshot := s.Configuration.Snapshot()
	if snapshot == nil {
		refusal := vanillabarrow.NotRun(vanillabarrow.ReasonNoConfig, "no configuration is in force yet")
		refusal.RetryAfter = time.Second
		return nil, ctx, cancel, refusal
	}
	matched := route.Match(snapshot, r.Host, r.URL.EscapedPath(), r.Method)
	if matched == nil {
		return nil, ctx, cancel, badRequest(vanillabarrow.ReasonNoRoute, "no route matches")
	}
	service := snapshot.Services[s.Splits.NextService(matched)]
	c.route = matched.Name
	request := s.request(r, c, matched, service)
	budget, err := s.Protocol.DecodeRequest(vanillabarrow.Header(r.Header), request, service)
	if err != nil {
		return nil, ctx, cancel, badRequest(vanillabarrow.ReasonBadRequest, err.Error())
	}
	if err := s.readBody(r, request, snapshot.Limits, hold); err != nil {
		return nil, ctx, cancel, err
	}
	if budget > 0 {
		ctx, cancel = withTimeout(ctx, cancel, budget-time.Since(c.arrived))
	}
	return request, ctx, cancel, nil
}

// request builds the request of a matched route without its body.
func (s *Server) request(r *http.Request, c *call, matched *vanillabarrow.Route, service *vanillabarrow.Service) *vanillabarrow.Request {
	request := &vanillabarrow.Request{
		ID:          c.id,
		Service:     service.Name,
		Method:      r.Method,
		Host:        r.Host,
		Path:        r.URL.RequestURI(),
		Header:      vanillabarrow.Header(message.EndToEndHeader(r.Header)),
		Size:        r.ContentLength,
		Idempotent:  route.IsIdempotent(matched, service, r.Method),
		RetriesLeft: service.Retries,
		Route:       matched.Name,
		MaxAttempts: matched.MaxAttempts,
		Timeout:     matched.Timeout,
		Priority:    matched.Priority,
	}
	if matched.Objective > 0 {
		request.Objective = time.Now().Add(matched.Objective)
	}
	return request
}

func withTimeout(ctx context.Context, cancel context.CancelFunc, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, inner := context.WithTimeout(ctx, d)
	return ctx, func() {
		inner()
		cancel()
	}
}

func (s *Server) readBody(r *http.Request, request *vanillabarrow.Request, limits vanillabarrow.RequestLimits, hold int64) error {
	maxBytes := s.MaxBodyBytes
	if limits.MaxBodyBytes > 0 {
		maxBytes = min(maxBytes, limits.MaxBodyBytes)
	}
	if r.ContentLength > maxBytes {
		return badRequest(vanillabarrow.ReasonTooLarge, message.ErrTooLarge.Error())
	}
	start, stream, err := message.SplitBody(r.Body, int(hold))
	if err != nil {
		return badRequest(vanillabarrow.ReasonBodyIncomplete, err.Error())
	}
	request.Body = start
	if stream == nil {
		request.Size = int64(len(start))
		return nil
	}
	request.Stream = message.NewBodyStream(stream, maxBytes-int64(len(start)))
	return nil
}

// refuse answers with a refusal.
func (s *Server) refuse(w http.ResponseWriter, c *call, r *vanillabarrow.Refusal) {
	s.logRefusal(c, r)
	status, body := s.Protocol.EncodeRefusal(vanillabarrow.Header(w.Header()), r)
	w.WriteHeader(status)
	if _, err := w.Write(body); err != nil {
		s.Logger.Debug(logging.EventRefusalNotDelivered, "id", c.id, "reason", r.Reason, "error", err)
	}
}

func (s *Server) logRefusal(c *call, r *vanillabarrow.Refusal) {
	version := vanillabarrow.Version(0)
	if snapshot := s.Configuration.Snapshot(); snapshot != nil {
		version = snapshot.Version
	}
	s.Logger.Info(logging.EventRequestRefused, "id", c.id, "route", c.route, "verdict", r.Verdict, "reason", r.Reason,
		"detail", r.Detail, "retryAfter", r.RetryAfter, "retries", r.Retries, "version", version, "took", time.Since(c.arrived))
}

// write sends the answer. One that breaks off breaks the connection, so that
// the caller never takes a part for the whole.
func (s *Server) write(w http.ResponseWriter, c *call, a *vanillabarrow.Response) {
	h := w.Header()
	message.CopyHeader(h, a.Header)
	s.Protocol.EncodeResponse(vanillabarrow.Header(h), a)
	if _, ok := h["Content-Type"]; !ok {
		// A nil value keeps the library from guessing the type.
		h["Content-Type"] = nil
	}
	w.WriteHeader(a.Status)
	_, err := w.Write(a.Body)
	if a.Stream == nil {
		return
	}
	defer func() { _ = a.Stream.Close() }()
	if err == nil {
		_, err = io.Copy(w, a.Stream)
	}
	if err != nil && !errors.Is(err, context.Canceled) {
		s.Logger.Warn(logging.EventAnswerBrokeOff, "id", c.id, "target", a.Target, "error", err)
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}
