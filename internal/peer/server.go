package peer

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"time"

	"connectrpc.com/connect"
	"github.com/gorilla/mux"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
	"github.com/vanillabarrow/vanillabarrow/internal/logging"
	"github.com/vanillabarrow/vanillabarrow/internal/message"
	"github.com/vanillabarrow/vanillabarrow/internal/peer/controlv1"
	"github.com/vanillabarrow/vanillabarrow/internal/peer/controlv1/controlv1connect"
)

// maxRequestBody bounds a forwarded body. The entry enforces its own limit.
const maxRequestBody = 1 << 30

// uncompressed turns off compression of control messages. Parts are compressed
// already, and a compressor for each small message costs more than the rest of
// the message together.
var uncompressed = []connect.HandlerOption{connect.WithCompression("gzip", nil, nil)}

// uncompressedClient is the same for clients.
var uncompressedClient = []connect.ClientOption{connect.WithAcceptCompression("gzip", nil, nil)}

// Server takes forwarded attempts and control messages from other nodes.
type Server struct {
	gate     vanillabarrow.Gate
	cfg      vanillabarrow.Configuration
	observer Observer
	logger   *slog.Logger
}

// NewServer returns a server in front of a gate.
func NewServer(gate vanillabarrow.Gate, cfg vanillabarrow.Configuration, observer Observer, logger *slog.Logger) *Server {
	return &Server{gate: gate, cfg: cfg, observer: observer, logger: logger}
}

// Handler returns the handler of the peer listener.
func (s *Server) Handler(distribution Distribution) http.Handler {
	router := mux.NewRouter().SkipClean(true).UseEncodedPath()
	path, handler := distribution.Mount()
	router.PathPrefix(path).Handler(handler)
	path, handler = controlv1connect.NewFenceHandler(s, uncompressed...)
	router.PathPrefix(path).Handler(handler)
	router.PathPrefix("/").HandlerFunc(s.forwarded)
	router.NewRoute().HandlerFunc(s.forwarded)
	return router
}

// Ask implements the Fence service.
func (s *Server) Ask(_ context.Context, r *connect.Request[controlv1.AskRequest]) (*connect.Response[controlv1.AskReply], error) {
	report := s.gate.QueryAttempt(&vanillabarrow.Attempt{
		ID:     r.Msg.GetAttempt(),
		Target: &vanillabarrow.Target{Name: r.Msg.GetTarget()},
		Token:  vanillabarrow.Token{Incarnation: r.Msg.GetIncarnation(), Epoch: r.Msg.GetEpoch()},
	})
	return connect.NewResponse(reportToProto(report)), nil
}

// Surrender implements the Fence service.
func (s *Server) Surrender(_ context.Context, r *connect.Request[controlv1.SurrenderRequest]) (*connect.Response[controlv1.AskReply], error) {
	return connect.NewResponse(reportToProto(s.gate.ReleaseKey(vanillabarrow.KeyReleaseRequest{
		Target:      r.Msg.GetTarget(),
		Service:     r.Msg.GetService(),
		Key:         r.Msg.GetKey(),
		Fingerprint: r.Msg.GetFingerprint(),
		Version:     vanillabarrow.Version(r.Msg.GetVersion()),
	}))), nil
}

func reportToProto(report *vanillabarrow.AttemptReport) *controlv1.AskReply {
	return &controlv1.AskReply{
		State:  statesToProto[report.State],
		Answer: answerToProto(report.Response),
	}
}

// forwarded handles one forwarded attempt.
func (s *Server) forwarded(w http.ResponseWriter, r *http.Request) {
	a, err := readAttempt(r, time.Now())
	if err != nil {
		w.Header().Set(headerVerdict, vanillabarrow.VerdictNotRun.String())
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.observer.SeenVersion(r.Header.Get(headerFrom), a.Version)
	if s.cfg.Snapshot() == nil {
		s.met(r.RemoteAddr)
	}
	a.Request.Header = vanillabarrow.Header(message.EndToEndHeader(r.Header))
	answer, err := s.handle(r, a)
	h := w.Header()
	h.Set(headerAttempt, a.ID)
	h.Set(headerToken, formatToken(s.gate.Token()))
	h.Set(headerLoad, formatLoad(s.gate.Load(a.Request.Priority)))
	h.Set(headerVersion, strconv.FormatUint(uint64(s.version()), 10))
	if err != nil {
		refusal := vanillabarrow.AsRefusal(err)
		writeRefusal(h, refusal)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.write(w, a, answer)
}

// met tells the observer who sends attempts. A node that starts while its data
// centre is cut off reaches no seed elsewhere, but those who send to it know
// the configuration.
func (s *Server) met(remote string) {
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		s.logger.Debug(logging.EventHintFailed, "peer", remote, "error", err)
		return
	}
	s.observer.Met(host)
}

func (s *Server) handle(r *http.Request, a *vanillabarrow.Attempt) (*vanillabarrow.Response, error) {
	if kernel.IsClientGone(r.Context()) {
		return nil, vanillabarrow.NotRun(vanillabarrow.ReasonCanceled, "the sender closed its connection before the request was read")
	}
	if r.Header.Get("Expect") != "" {
		// The body stays with the sender until the target reads it.
		a.Request.Stream = message.NewBodyStream(r.Body, maxRequestBody)
		return s.gate.Handle(r.Context(), a)
	}
	start, stream, err := message.SplitBody(r.Body, HoldBytes)
	if err != nil {
		return nil, vanillabarrow.NotRun(vanillabarrow.ReasonBodyIncomplete, err.Error())
	}
	a.Request.Body = start
	if stream != nil {
		a.Request.Stream = message.NewBodyStream(stream, maxRequestBody)
	}
	return s.gate.Handle(r.Context(), a)
}

func (s *Server) version() vanillabarrow.Version {
	if snapshot := s.cfg.Snapshot(); snapshot != nil {
		return snapshot.Version
	}
	return 0
}

// write sends the answer. A stream that breaks off breaks the connection, so
// that a part is never taken for the whole.
func (s *Server) write(w http.ResponseWriter, attempt *vanillabarrow.Attempt, a *vanillabarrow.Response) {
	h := w.Header()
	message.CopyHeader(h, a.Header)
	h.Set(headerVerdict, vanillabarrow.VerdictFinished.String())
	if a.Size > 0 && h.Get("Content-Length") == "" {
		h.Set("Content-Length", strconv.FormatInt(a.Size, 10))
	}
	w.WriteHeader(a.Status)
	if a.Stream != nil {
		defer func() { _ = a.Stream.Close() }()
	}
	if _, err := io.Copy(w, joined(a)); err != nil {
		s.logger.Warn(logging.EventAnswerBrokeOff, "id", attempt.Request.ID, "target", a.Target, "error", err)
		panic(http.ErrAbortHandler)
	}
}
