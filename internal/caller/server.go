// Package caller serves callers over HTTP/1.1 and HTTP/2 without TLS.
package caller

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/idempotency"
	"github.com/vanillabarrow/vanillabarrow/internal/message"
	"github.com/vanillabarrow/vanillabarrow/internal/route"
)

// Header fields that callers see. docs/PROTOCOL.md describes them.
const (
	VerdictHeader  = "Vb-Verdict"
	ReasonHeader   = "Vb-Reason"
	AttemptsHeader = "Vb-Attempts"
	RetriesHeader  = "Vb-Retries"
	TargetHeader   = "Vb-Target"
	keyHeader      = "Idempotency-Key"
)

// holdBytes is the largest body that can be sent again to another target.
const holdBytes = 64 << 10

// Config holds what a server is made of.
type Config struct {
	Dispatcher    vanillabarrow.Dispatcher
	Configuration vanillabarrow.Configuration
	Logger        *slog.Logger
	NewID         func() string
	MaxBodyBytes  int64
	MaxInFlight   int
}

// Server handles callers' requests.
type Server struct {
	Config
	inFlight atomic.Int64
	draining atomic.Bool
}

// New returns a server.
func New(cfg Config) *Server { return &Server{Config: cfg} }

// Drain asks callers to open connections to other nodes. Requests that still
// come are served.
func (s *Server) Drain() { s.draining.Store(true) }

// InFlight returns the number of open requests.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// Handler returns the handler of the caller listener.
func (s *Server) Handler() http.Handler {
	router := mux.NewRouter().SkipClean(true).UseEncodedPath()
	router.PathPrefix("/").HandlerFunc(s.serve)
	router.NewRoute().HandlerFunc(s.serve)
	return router
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	if s.draining.Load() && r.ProtoMajor == 1 {
		w.Header().Set("Connection", "close")
	}
	defer s.inFlight.Add(-1)
	if s.inFlight.Add(1) > int64(s.MaxInFlight) {
		refusal := vanillabarrow.NotRun(vanillabarrow.ReasonOverloaded, "too many requests at this node")
		refusal.RetryAfter = time.Second
		s.refuse(w, refusal)
		return
	}
	request, ctx, cancel, err := s.read(r)
	defer cancel()
	if err != nil {
		s.refuse(w, vanillabarrow.AsRefusal(err))
		return
	}
	answer, err := s.Dispatcher.Do(ctx, request)
	if err != nil {
		s.refuse(w, vanillabarrow.AsRefusal(err))
		return
	}
	s.write(w, answer)
}

// badRequest is a refusal for a request that can't be right anywhere.
func badRequest(reason vanillabarrow.Reason, detail string) error {
	return vanillabarrow.NotRun(reason, detail)
}

// read builds the request. The context carries the caller's budget.
func (s *Server) read(r *http.Request) (*vanillabarrow.Request, context.Context, context.CancelFunc, error) {
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
	service := snapshot.Services[matched.Service]
	inherited, err := inheritedContext(r.Header, service)
	if err != nil {
		return nil, ctx, cancel, badRequest(vanillabarrow.ReasonBadRequest, err.Error())
	}
	request := &vanillabarrow.Request{
		ID:          s.NewID(),
		Service:     service.Name,
		Method:      r.Method,
		Host:        r.Host,
		Path:        r.URL.RequestURI(),
		Header:      vanillabarrow.Header(message.EndToEnd(r.Header)),
		Size:        r.ContentLength,
		Idempotent:  route.IsIdempotent(service, r.Method),
		Key:         r.Header.Get(keyHeader),
		Depth:       inherited.Depth,
		RetriesLeft: inherited.Retries,
	}
	if err := s.readBody(r, request); err != nil {
		return nil, ctx, cancel, err
	}
	if inherited.Budget > 0 {
		ctx, cancel = withTimeout(ctx, cancel, inherited.Budget)
	}
	return request, ctx, cancel, nil
}

func withTimeout(ctx context.Context, cancel context.CancelFunc, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, inner := context.WithTimeout(ctx, d)
	return ctx, func() {
		inner()
		cancel()
	}
}

func inheritedContext(h http.Header, service *vanillabarrow.Service) (message.Context, error) {
	text := h.Get(message.ContextHeader)
	if text == "" {
		return message.Context{Retries: service.Retries}, nil
	}
	return message.ParseContext(text)
}

func (s *Server) readBody(r *http.Request, request *vanillabarrow.Request) error {
	if len(request.Key) > idempotency.MaxKeyLength {
		return badRequest(vanillabarrow.ReasonBadRequest, keyHeader+" is too long")
	}
	if r.ContentLength > s.MaxBodyBytes {
		return badRequest(vanillabarrow.ReasonTooLarge, message.ErrTooLarge.Error())
	}
	start, stream, err := message.Split(r.Body, holdBytes)
	if err != nil {
		return badRequest(vanillabarrow.ReasonBodyIncomplete, err.Error())
	}
	request.Body = start
	if stream == nil {
		request.Size = int64(len(start))
		return nil
	}
	request.Stream = message.NewStream(stream, s.MaxBodyBytes-int64(len(start)))
	return nil
}

// statuses maps reasons to HTTP statuses, for refusals that are proven not to
// have run. Others are 503.
var statuses = map[vanillabarrow.Reason]int{
	vanillabarrow.ReasonNoRoute:        http.StatusNotFound,
	vanillabarrow.ReasonBadRequest:     http.StatusBadRequest,
	vanillabarrow.ReasonBodyIncomplete: http.StatusBadRequest,
	vanillabarrow.ReasonTooLarge:       http.StatusRequestEntityTooLarge,
	vanillabarrow.ReasonDuplicate:      http.StatusUnprocessableEntity,
	vanillabarrow.ReasonTooDeep:        http.StatusLoopDetected,
	vanillabarrow.ReasonDeadline:       http.StatusGatewayTimeout,
}

// Status returns the HTTP status for a refusal.
func Status(r *vanillabarrow.Refusal) int {
	if r.Verdict != vanillabarrow.VerdictNotRun {
		switch r.Reason {
		case vanillabarrow.ReasonDeadline:
			return http.StatusGatewayTimeout
		case vanillabarrow.ReasonKeyInUse, vanillabarrow.ReasonKeyUnknown:
			return http.StatusConflict
		default:
			return http.StatusBadGateway
		}
	}
	if status, ok := statuses[r.Reason]; ok {
		return status
	}
	return http.StatusServiceUnavailable
}

// refusalBody is the JSON body of a refusal.
type refusalBody struct {
	Verdict string `json:"verdict"`
	Reason  string `json:"reason"`
	Detail  string `json:"detail,omitempty"`
}

func (s *Server) refuse(w http.ResponseWriter, r *vanillabarrow.Refusal) {
	s.Logger.Debug("request refused", "verdict", r.Verdict, "reason", r.Reason, "detail", r.Detail)
	h := w.Header()
	h.Set(VerdictHeader, r.Verdict.String())
	h.Set(ReasonHeader, string(r.Reason))
	h.Set(RetriesHeader, strconv.Itoa(r.Retries))
	h.Set("Content-Type", "application/json")
	if r.RetryAfter > 0 && r.Verdict == vanillabarrow.VerdictNotRun {
		h.Set("Retry-After", strconv.Itoa(int((r.RetryAfter+time.Second-1)/time.Second)))
	}
	w.WriteHeader(Status(r))
	_ = json.NewEncoder(w).Encode(refusalBody{
		Verdict: r.Verdict.String(),
		Reason:  string(r.Reason),
		Detail:  r.Detail,
	})
}

// write sends the answer. One that breaks off breaks the connection, so that
// the caller never takes a part for the whole.
func (s *Server) write(w http.ResponseWriter, a *vanillabarrow.Answer) {
	h := w.Header()
	message.Copy(h, a.Header)
	h.Set(VerdictHeader, vanillabarrow.VerdictFinished.String())
	h.Set(AttemptsHeader, strconv.Itoa(a.Attempts))
	h.Set(TargetHeader, a.Target)
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
		s.Logger.Warn("answer broke off", "target", a.Target, "error", err)
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}
