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

// maxRequestBody is the maximum size of a forwarded body in bytes. The node that
// received the request from the caller enforces the configured limit.
const maxRequestBody = 1 << 30

// uncompressed disables the compression of control messages. Parts are already
// compressed, and a compressor for a small message costs more than everything
// else about it.
var uncompressed = []connect.HandlerOption{connect.WithCompression("gzip", nil, nil)}

// uncompressedClient disables compression in clients.
var uncompressedClient = []connect.ClientOption{connect.WithAcceptCompression("gzip", nil, nil)}

// Server handles forwarded attempts and control messages from other nodes.
type Server struct {
	gate     vanillabarrow.Gate
	cfg      vanillabarrow.Configuration
	observer Observer
	logger   *slog.Logger
}

// NewServer returns a server that passes attempts to the gate.
func NewServer(gate vanillabarrow.Gate, cfg vanillabarrow.Configuration, observer Observer, logger *slog.Logger) *Server {
	return &Server{gate: gate, cfg: cfg, observer: observer, logger: logger}
}

// Handler returns the handler of the peer listener.
func (s *Server) Handler(distribution DistributionService) http.Handler {
	router := mux.NewRouter().SkipClean(true).UseEncodedPath()
	// An attempt may have any path, also that of a control call.
	router.Headers(headerAttempt, "").HandlerFunc(s.handleAttempt)
	path, handler := distribution.Mount()
	router.PathPrefix(path).Handler(handler)
	path, handler = controlv1connect.NewFenceHandler(s, uncompressed...)
	router.PathPrefix(path).Handler(handler)
	router.PathPrefix("/").HandlerFunc(s.handleAttempt)
	router.NewRoute().HandlerFunc(s.handleAttempt)
	return router
}

// Ask implements the Fence service by querying the gate about an attempt, or
// withdrawing the attempt.
func (s *Server) Ask(_ context.Context, r *connect.Request[controlv1.AskRequest]) (*connect.Response[controlv1.AskReply], error) {
	ask := s.gate.QueryAttempt
	if r.Msg.GetWithdraw() {
		ask = s.gate.WithdrawAttempt
	}
	report := ask(&vanillabarrow.Attempt{
		ID:     r.Msg.GetAttempt(),
		Target: &vanillabarrow.Target{Name: r.Msg.GetTarget()},
		Token:  vanillabarrow.Token{Incarnation: r.Msg.GetIncarnation(), Epoch: r.Msg.GetEpoch()},
	})
	response := connect.NewResponse(reportToProto(report))
	if report.NotRun {
		response.Header().Set(headerNotRun, "1")
	}
	return response, nil
}

// Surrender implements the Fence service by releasing an idempotency key of the
// gate.
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
		State:  attemptStatesToProto[report.State],
		Answer: responseToProto(report.Response),
	}
}

// handleAttempt serves one forwarded attempt.
func (s *Server) handleAttempt(w http.ResponseWriter, r *http.Request) {
	a, err := readAttempt(r, time.Now())
	if err != nil {
		// Without the id, the sender would take the refusal for that of another
		// attempt.
		w.Header().Set(headerAttempt, r.Header.Get(headerAttempt))
		w.Header().Set(headerVerdict, vanillabarrow.VerdictNotRun.String())
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.observer.ObserveVersion(r.Header.Get(headerFrom), a.Version)
	if s.cfg.Snapshot() == nil {
		s.observeSender(r.RemoteAddr)
	}
	a.Request.Header = vanillabarrow.Header(message.EndToEndHeader(r.Header))
	response, err := s.callGate(r, a)
	h := w.Header()
	h.Set(headerAttempt, a.ID)
	h.Set(headerToken, formatToken(s.gate.Token()))
	writeLoad(h, loadFor(s.gate, a.Request))
	h.Set(headerVersion, s.version().String())
	if err != nil {
		refusal := vanillabarrow.AsRefusal(err)
		writeRefusal(h, refusal)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.writeResponse(r.Context(), w, a, response)
}

// observeSender passes the sender's IP address to the observer. A node that
// starts while its data centre is partitioned from the others can't reach seeds
// there, but the nodes that send it attempts have the configuration.
func (s *Server) observeSender(remote string) {
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		s.logger.Debug(logging.EventHintFailed, "peer", remote, "error", err)
		return
	}
	s.observer.ObserveSender(host)
}

// callGate passes the attempt to the gate with its body, or with a stream to
// read it from.
func (s *Server) callGate(r *http.Request, a *vanillabarrow.Attempt) (*vanillabarrow.Response, error) {
	if kernel.IsClientGone(r.Context()) {
		return nil, vanillabarrow.NotRun(vanillabarrow.ReasonCanceled, "the sender closed its connection before the request was read")
	}
	if r.Header.Get("Expect") != "" {
		// The sender keeps the body until the gate first reads from the stream,
		// because net/http sends 100 Continue only then.
		a.Request.Stream = message.NewBodyStream(r.Body, maxRequestBody)
		return s.gate.Handle(r.Context(), a)
	}
	start, stream, err := message.SplitBody(r.Body, MaxBufferedBytes)
	if err != nil {
		return nil, kernel.BodyRefusal(err)
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

// writeResponse sends the response. If the stream fails, the connection is
// aborted, so that a truncated body is never mistaken for a complete one.
func (s *Server) writeResponse(ctx context.Context, w http.ResponseWriter, a *vanillabarrow.Attempt, response *vanillabarrow.Response) {
	h := w.Header()
	message.CopyHeader(h, response.Header)
	h.Set(headerVerdict, vanillabarrow.VerdictFinished.String())
	if response.Size > 0 && h.Get("Content-Length") == "" {
		h.Set("Content-Length", strconv.FormatInt(response.Size, 10))
	}
	w.WriteHeader(response.Status)
	if response.Stream != nil {
		defer func() { _ = response.Stream.Close() }()
	}
	if err := writeBody(ctx, w, a, response); err != nil {
		s.logger.Warn(logging.EventResponseTruncated, "id", a.Request.ID, "target", response.Target, "error", err)
		panic(http.ErrAbortHandler)
	}
}

// writeBody sends the body of a response. A write that blocks fails at the
// attempt's deadline, so that a node that stops reading does not keep the target
// busy. Until then, a node that pauses gets the rest of a streamed body.
func writeBody(ctx context.Context, w http.ResponseWriter, a *vanillabarrow.Attempt, response *vanillabarrow.Response) error {
	if response.Stream != nil {
		if err := http.NewResponseController(w).SetWriteDeadline(a.Deadline); err != nil {
			return err
		}
		if err := kernel.DisableTCPUserTimeout(ctx); err != nil {
			return err
		}
	}
	_, err := io.Copy(w, bodyReader(response))
	return err
}
