// Package caller serves requests of callers over HTTP/1.1 and HTTP/2 without
// TLS.
package caller

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/uber-go/tally/v4"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
	"github.com/vanillabarrow/vanillabarrow/internal/logging"
	"github.com/vanillabarrow/vanillabarrow/internal/message"
	"github.com/vanillabarrow/vanillabarrow/internal/pipeline"
	"github.com/vanillabarrow/vanillabarrow/internal/route"
	"github.com/vanillabarrow/vanillabarrow/internal/tenant"
)

// Config holds the dependencies and limits of a server.
type Config struct {
	Dispatcher    vanillabarrow.Dispatcher
	Configuration vanillabarrow.Configuration
	Protocol      vanillabarrow.CallerProtocol
	// Allowances is used for requests of tenants only.
	Allowances vanillabarrow.Allowances
	Splits     *route.Splits
	// Memory is charged for buffered bodies. It may be nil.
	Memory vanillabarrow.MemoryBudget
	// Explainer explains decisions about requests, nil if nobody asks.
	Explainer Explainer
	Logger    *slog.Logger
	// Scope receives the metrics. It may be nil.
	Scope        tally.Scope
	NewID        func() string
	MaxBodyBytes int64
	MaxInFlight  int
}

// Server handles callers' requests.
type Server struct {
	Config
	inFlight atomic.Int64
	// reservedBytes is the part of bufferBudget in use.
	reservedBytes atomic.Int64
	draining      atomic.Bool
	closed        atomic.Bool
	// aborted ends when the requests in flight are to end.
	aborted context.Context
	abort   context.CancelFunc
}

// New returns a server.
func New(cfg Config) *Server {
	if cfg.Scope == nil {
		cfg.Scope = tally.NoopScope
	}
	cfg.Scope = cfg.Scope.SubScope("caller")
	s := &Server{Config: cfg}
	s.aborted, s.abort = context.WithCancel(context.Background())
	return s
}

// Drain makes the server ask callers to close their HTTP/1.1 connections, so that
// they connect to other nodes. Requests are still served.
func (s *Server) Drain() { s.draining.Store(true) }

// Close makes the server refuse further requests on open connections, because the
// process exits before they could be served.
func (s *Server) Close() { s.closed.Store(true) }

// Abort ends the requests that have no response yet, so that they are refused and the
// responses that wait behind them on their connections are written. Responses being
// streamed go on.
func (s *Server) Abort() { s.abort() }

// dispatch sends a request to a target, until the server aborts requests.
func (s *Server) dispatch(ctx context.Context, request *vanillabarrow.Request) (*vanillabarrow.Response, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(s.aborted, func() { cancel(vanillabarrow.ErrNodeStopping) })
	defer stop()
	return s.Dispatcher.Do(ctx, request)
}

// InFlight returns the number of requests in flight.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// Handler returns the handler of the caller listener.
func (s *Server) Handler() http.Handler {
	router := mux.NewRouter().SkipClean(true).UseEncodedPath()
	router.PathPrefix("/").HandlerFunc(s.serveRequest)
	router.NewRoute().HandlerFunc(s.serveRequest)
	return router
}

// requestInfo holds what is logged about a request, even if the request is refused
// before it has been read.
type requestInfo struct {
	id      string
	route   string
	tenant  string
	arrived time.Time
	// deadline is when the request ends, zero if nothing limits it or that is not known
	// yet. bodyTime is the time from its arrival until its body was there.
	deadline time.Time
	bodyTime time.Duration
	// hasBody is set if the request may have a body.
	hasBody bool
	// pipelined is set for a request that arrived behind others and may have waited.
	pipelined bool
	// announceClose is set if the response has to announce that the connection is
	// closed, unless requests behind it have been started. ctx is the context of the
	// request as received.
	announceClose bool
	ctx           context.Context
}

// setConnection announces that the connection is closed, where that is due.
func (i *requestInfo) setConnection(h http.Header) {
	if i.announceClose && !pipeline.KeepOpen(i.ctx) {
		h.Set("Connection", "close")
	}
}

func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	info := &requestInfo{id: s.Protocol.ID(vanillabarrow.Header(r.Header)), arrived: time.Now(), hasBody: r.ContentLength != 0, ctx: r.Context()}
	arrived, pipelined := pipeline.Arrival(r.Context())
	if pipelined {
		info.arrived, info.pipelined = arrived, true
	}
	if info.id == "" {
		info.id = s.NewID()
	}
	defer s.observeAnswer(info)
	if s.refusesWhileClosed(w, r, info) {
		return
	}
	defer s.inFlight.Add(-1)
	if s.inFlight.Add(1) > int64(s.MaxInFlight) {
		refusal := vanillabarrow.NotRun(vanillabarrow.ReasonOverloaded, "the node has reached its maximum number of concurrent requests")
		refusal.RetryAfter = time.Second
		s.refuse(w, info, refusal)
		return
	}
	reserved := s.reserveBuffer(r.ContentLength)
	defer s.releaseBuffer(reserved)
	request, ctx, cancel, err := s.readRequest(w, r, info, max(reserved, minBufferBytes))
	defer cancel()
	if err != nil {
		s.refuse(w, info, vanillabarrow.AsRefusal(err))
		return
	}
	if !request.Idempotent {
		// The configuration may have changed since the request was started ahead.
		if err := pipeline.AwaitTurn(ctx); err != nil {
			s.refuse(w, info, vanillabarrow.NotRun(vanillabarrow.ReasonCanceled, "the request ended before the requests in front of it"))
			return
		}
	}
	// The node may have closed while the body arrived.
	if s.refusesWhileClosed(w, r, info) {
		return
	}
	if kernel.IsClientGone(r.Context()) {
		s.refuse(w, info, vanillabarrow.NotRun(vanillabarrow.ReasonCanceled, "the caller closed its connection before the request was read"))
		return
	}
	if err := s.admit(ctx, request); err != nil {
		s.refuse(w, info, vanillabarrow.AsRefusal(err))
		return
	}
	response, err := s.dispatch(ctx, request)
	if err != nil {
		s.refuse(w, info, vanillabarrow.AsRefusal(err))
		return
	}
	s.writeResponse(w, r, info, response)
}

// refusesWhileClosed refuses a request if the node is closed, and announces while it
// drains that the connection will be closed.
func (s *Server) refusesWhileClosed(w http.ResponseWriter, r *http.Request, info *requestInfo) bool {
	if s.draining.Load() && r.ProtoMajor == 1 {
		info.announceClose = true
	}
	if !s.closed.Load() {
		return false
	}
	s.refuse(w, info, vanillabarrow.NotRun(vanillabarrow.ReasonDraining, "the node is shutting down"))
	return true
}

// invalidRequest returns the refusal of a request that no target could serve.
func invalidRequest(reason vanillabarrow.Reason, detail string) error {
	return vanillabarrow.NotRun(reason, detail)
}

// readRequest matches the route and reads the body up to bufferLimit bytes. The
// context ends at the deadline of the request, which also limits the time for the body.
// The cancel function has to be called after an error, too.
func (s *Server) readRequest(w http.ResponseWriter, r *http.Request, info *requestInfo, bufferLimit int64) (*vanillabarrow.Request, context.Context, context.CancelFunc, error) {
	ctx, cancel := context.WithCancel(r.Context())
	target := message.RequestTarget(r)
	if r.Method == http.MethodConnect || !strings.HasPrefix(target, "/") {
		return nil, ctx, cancel, invalidRequest(vanillabarrow.ReasonNoRoute, "the request target is not a path")
	}
	snapshot := s.Configuration.Snapshot()
	if snapshot == nil {
		refusal := vanillabarrow.NotRun(vanillabarrow.ReasonNoConfig, "no configuration is in force yet")
		refusal.RetryAfter = time.Second
		return nil, ctx, cancel, refusal
	}
	matched := route.Match(snapshot, r.Host, target, r.Method)
	if matched == nil {
		return nil, ctx, cancel, invalidRequest(vanillabarrow.ReasonNoRoute, "no route matches the request")
	}
	info.route = matched.Name
	credential, err := tenant.Authorize(snapshot, matched, s.Protocol.Credential(vanillabarrow.Header(r.Header)))
	if err != nil {
		return nil, ctx, cancel, err
	}
	service := snapshot.Services[s.Splits.NextService(matched)]
	request := s.newRequest(r, info, matched, service)
	credential.Apply(request)
	info.tenant = request.Tenant
	budget, err := s.Protocol.DecodeRequest(vanillabarrow.Header(r.Header), request, service)
	if err != nil {
		return nil, ctx, cancel, invalidRequest(vanillabarrow.ReasonBadRequest, err.Error())
	}
	info.setDeadline(matched, service, budget)
	if !info.deadline.IsZero() {
		ctx, cancel = withDeadline(ctx, cancel, info.deadline)
	}
	limitBody(w, r, info.deadline)
	err = s.readBody(r, request, snapshot.Limits, bufferLimit)
	info.bodyTime = time.Since(info.arrived)
	if err != nil {
		return nil, ctx, cancel, info.bodyRefusal(err)
	}
	return request, ctx, cancel, nil
}

// newRequest returns the request for a matched route, without its body.
func (s *Server) newRequest(r *http.Request, info *requestInfo, matched *vanillabarrow.Route, service *vanillabarrow.Service) *vanillabarrow.Request {
	request := &vanillabarrow.Request{
		ID:          info.id,
		Service:     service.Name,
		Method:      r.Method,
		Host:        r.Host,
		Path:        message.RequestTarget(r),
		Header:      vanillabarrow.Header(message.EndToEndHeader(r.Header)),
		Size:        r.ContentLength,
		Idempotent:  route.IsIdempotent(matched, service, r.Method),
		RetriesLeft: service.Retries,
		Route:       matched.Name,
		MaxAttempts: matched.MaxAttempts,
		Timeout:     matched.Timeout,
		Priority:    matched.Priority,
	}
	if len(matched.Regions) > 0 {
		request.Regions = matched.Regions
	}
	if matched.Objective > 0 {
		request.Objective = time.Now().Add(matched.Objective)
		if info.pipelined {
			request.Objective = info.arrived.Add(matched.Objective)
		}
	}
	return request
}

// IsIdempotent reports whether a request matches a route whose requests may run more
// than once. It returns false if that can't be determined.
func (s *Server) IsIdempotent(method, host, target string) bool {
	snapshot := s.Configuration.Snapshot()
	if snapshot == nil || method == http.MethodConnect || !strings.HasPrefix(target, "/") {
		return false
	}
	matched := route.Match(snapshot, host, target, method)
	if matched == nil {
		return false
	}
	for _, name := range route.Services(matched) {
		service, ok := snapshot.Services[name]
		if !ok || !route.IsIdempotent(matched, service, method) {
			return false
		}
	}
	return true
}

// withDeadline adds a deadline to a context. The returned function also calls cancel.
func withDeadline(ctx context.Context, cancel context.CancelFunc, deadline time.Time) (context.Context, context.CancelFunc) {
	ctx, inner := context.WithDeadline(ctx, deadline)
	return ctx, func() {
		inner()
		cancel()
	}
}

// refuse logs a refusal and sends it to the caller.
func (s *Server) refuse(w http.ResponseWriter, info *requestInfo, refusal *vanillabarrow.Refusal) {
	s.logRefusal(info, refusal)
	limitUnreadBody(w, info)
	status, body := s.Protocol.EncodeRefusal(vanillabarrow.Header(w.Header()), refusal)
	info.setConnection(w.Header())
	w.WriteHeader(status)
	if _, err := w.Write(body); err != nil {
		s.Logger.Debug(logging.EventRefusalNotDelivered, "id", info.id, "reason", refusal.Reason, "error", err)
	}
}

func (s *Server) logRefusal(info *requestInfo, refusal *vanillabarrow.Refusal) {
	version := vanillabarrow.Version(0)
	if snapshot := s.Configuration.Snapshot(); snapshot != nil {
		version = snapshot.Version
	}
	s.Logger.Info(logging.EventRequestRefused, "id", info.id, "route", info.route, "tenant", info.tenant, "verdict", refusal.Verdict, "reason", refusal.Reason,
		"detail", refusal.Detail, "retryAfter", refusal.RetryAfter, "retries", refusal.Retries, "version", version, "took", time.Since(info.arrived))
}

// writeResponse sends the response. If the response is truncated, the connection
// is aborted, so that the caller can't mistake it for a complete one. One that is still
// kept behind other responses is replaced by a refusal.
func (s *Server) writeResponse(w http.ResponseWriter, r *http.Request, info *requestInfo, response *vanillabarrow.Response) {
	h := w.Header()
	message.CopyHeader(h, response.Header)
	s.Protocol.EncodeResponse(vanillabarrow.Header(h), response)
	if _, ok := h["Content-Type"]; !ok {
		// A nil value prevents net/http from detecting the type.
		h["Content-Type"] = nil
	}
	info.setConnection(h)
	w.WriteHeader(response.Status)
	if response.Stream == nil {
		// A failed write means that the caller is gone.
		_, _ = w.Write(response.Body)
		return
	}
	defer func() { _ = response.Stream.Close() }()
	err := writeStream(w, response)
	if err != nil && !errors.Is(err, context.Canceled) {
		s.Logger.Warn(logging.EventResponseTruncated, "id", info.id, "target", response.Target, "error", err)
	}
	if err == nil {
		return
	}
	if !pipeline.Reset(w) {
		abort(r)
	}
	s.refuse(w, info, truncationRefusal(err))
}

// abort closes the connection of a request whose response is truncated. A caller of
// HTTP/1.0 takes the end of the connection for that of a response without a length,
// unless the connection is reset.
func abort(r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		// An error means that the connection is already closed.
		_ = kernel.ResetConnOnClose(r.Context())
	}
	panic(http.ErrAbortHandler)
}

// truncationRefusal returns the refusal for a request whose response was truncated before
// any of it was sent.
func truncationRefusal(err error) *vanillabarrow.Refusal {
	if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded) {
		return vanillabarrow.MayHaveRun(vanillabarrow.ReasonDeadline, "the response did not get its turn before the deadline")
	}
	return vanillabarrow.MayHaveRun(vanillabarrow.ReasonAnswerLost, "the response broke off before its turn")
}

// writeStream sends the body of a response that is not buffered completely. A
// write that blocks fails at the response's deadline, so that a caller that stops
// reading does not keep the target busy.
func writeStream(w http.ResponseWriter, response *vanillabarrow.Response) error {
	if err := http.NewResponseController(w).SetWriteDeadline(response.Deadline); err != nil {
		return err
	}
	if _, err := w.Write(response.Body); err != nil {
		return err
	}
	_, err := io.Copy(w, response.Stream)
	return err
}
