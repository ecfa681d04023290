package peer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"syscall"
	"time"

	"connectrpc.com/connect"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/http1"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
	"github.com/vanillabarrow/vanillabarrow/internal/message"
	"github.com/vanillabarrow/vanillabarrow/internal/peer/controlv1"
	"github.com/vanillabarrow/vanillabarrow/internal/peer/controlv1/controlv1connect"
)

const (
	// MaxBufferedBytes is the largest part of a body that a node buffers. A request
	// body is buffered for retries, a response body for queries about the attempt.
	MaxBufferedBytes = 64 << 10
	// dialTimeout limits the time to establish a connection. It is long enough for
	// the most distant regions, and short enough to leave time for an attempt at
	// another node.
	dialTimeout = 250 * time.Millisecond
	// releaseTimeout limits a request to release an idempotency key.
	releaseTimeout = 2 * time.Second
	// clientTCPUserTimeout is the TCP_USER_TIMEOUT of connections to other nodes,
	// except while a body beyond MaxBufferedBytes is sent. It tolerates one lost
	// packet, which is retransmitted after 200 ms.
	clientTCPUserTimeout = 350 * time.Millisecond
	// expectContinueThreshold is the largest body, in bytes, that an idempotent
	// request sends without waiting for 100 Continue.
	expectContinueThreshold = 4 << 10
	// maxIdleConnsPerNode is the maximum number of idle connections to one node.
	maxIdleConnsPerNode = 32
	// idleTimeout closes idle connections before middleboxes drop their state.
	idleTimeout = 30 * time.Second
	// expectContinueTimeout is the time after which net/http sends the body even
	// without a gate's 100 Continue. It is unlimited, because Forward takes an
	// attempt without a 100 Continue for one whose body was not sent.
	expectContinueTimeout = time.Duration(math.MaxInt64)
	// maxResponseHeaderBytes is the maximum size of a response header.
	maxResponseHeaderBytes = 256 << 10
	// maxRefusalBodyBytes is how much is read of the body of a refusal.
	maxRefusalBodyBytes = 4 << 10
)

// Observer receives the state that other nodes report with forwarded attempts
// and their responses.
type Observer interface {
	// ObserveLoad records the load of a target.
	ObserveLoad(target string, load vanillabarrow.Load, now time.Time)
	// ObserveToken records the current token of a target's gate.
	ObserveToken(target string, token vanillabarrow.Token)
	// ObserveVersion records the configuration version of a node.
	ObserveVersion(vm string, version vanillabarrow.Version)
	// ObserveSender records the IP address of a node that sent an attempt while
	// this node has no configuration.
	ObserveSender(host string)
}

// Forwarder implements vanillabarrow.Forwarder.
type Forwarder struct {
	vm          string
	observer    Observer
	client      *http.Client
	queryClient *http.Client
}

// NewForwarder returns a forwarder for use by the node on the given VM.
func NewForwarder(vm string, observer Observer, traffic *kernel.Traffic) *Forwarder {
	dialer := &net.Dialer{Timeout: dialTimeout, Control: setTCPUserTimeout}
	return &Forwarder{
		vm:       vm,
		observer: observer,
		client: &http.Client{Transport: &http.Transport{
			DialContext:            kernel.DialResetOnClose(detectDelay(dialer.DialContext)),
			DisableCompression:     true,
			MaxIdleConnsPerHost:    maxIdleConnsPerNode,
			IdleConnTimeout:        idleTimeout,
			ExpectContinueTimeout:  expectContinueTimeout,
			MaxResponseHeaderBytes: maxResponseHeaderBytes,
		}, CheckRedirect: noRedirect},
		// Queries about a lost attempt use new connections, because the pooled
		// connection that it was sent on may be broken.
		queryClient: &http.Client{Transport: &limitedTransport{maxBytes: maxControlResponseBytes, RoundTripper: &http.Transport{
			DialContext:            traffic.Dial(dialer),
			DisableKeepAlives:      true,
			MaxResponseHeaderBytes: maxResponseHeaderBytes,
		}}},
	}
}

// setTCPUserTimeout sets the TCP_USER_TIMEOUT of a connection to another node.
func setTCPUserTimeout(_, _ string, c syscall.RawConn) error {
	return kernel.SetTCPUserTimeout(c, clientTCPUserTimeout)
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close closes idle connections.
func (f *Forwarder) Close() { f.client.CloseIdleConnections() }

// Forward implements vanillabarrow.Forwarder.
func (f *Forwarder) Forward(ctx context.Context, a *vanillabarrow.Attempt) (*vanillabarrow.Response, error) {
	t := &attemptTrace{attempt: a}
	a.Sending.Hold()
	request, err := f.request(httptrace.WithClientTrace(ctx, t.hooks()), a)
	if err != nil {
		return nil, vanillabarrow.NotRun(vanillabarrow.ReasonConnectionFailed, err.Error())
	}
	httpResponse, err := f.client.Do(request)
	if err != nil {
		return nil, transportRefusal(ctx, err, t.mayHaveRun())
	}
	if err := http1.CheckDelimited(httpResponse); err != nil {
		t.Discard(f.client.Transport, httpResponse)
		return nil, transportRefusal(ctx, err, true)
	}
	return f.readResponse(ctx, a, httpResponse)
}

// attemptTrace follows an attempt on its connection. It closes the connection of an
// abandoned attempt before it is sent. Errors from setting TCP_USER_TIMEOUT are left to
// the request, since they mean that the connection is closed.
type attemptTrace struct {
	http1.ConnTrace
	attempt *vanillabarrow.Attempt
	// sent is set once enough of the request may have been sent for the gate to run it.
	sent atomic.Bool
	// answered is set once part of a response other than 100 Continue has arrived.
	answered atomic.Bool
}

func (t *attemptTrace) hooks() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn:              t.gotConn,
		PutIdleConn:          t.PutIdleConn,
		Got100Continue:       t.got100Continue,
		GotFirstResponseByte: func() { t.answered.Store(true) },
	}
}

// mayHaveRun reports whether the gate may have run the request, if there is no complete
// response. One that is broken proves nothing, even if the body was not sent.
func (t *attemptTrace) mayHaveRun() bool { return t.sent.Load() || t.answered.Load() }

func (t *attemptTrace) begin() {
	if !t.attempt.Sending.Begin() {
		_ = t.Conn.Close()
		return
	}
	t.sent.Store(true)
}

func (t *attemptTrace) gotConn(info httptrace.GotConnInfo) {
	t.GotConn(info)
	if info.Reused {
		_ = kernel.SetConnTCPUserTimeout(t.Conn, clientTCPUserTimeout)
	}
	// A gate that has not yet requested the body with 100 Continue can't have run the
	// request. Without that exchange, any request on an open connection may have been
	// sent.
	if !expectsContinue(t.attempt.Request) {
		t.begin()
	}
}

func (t *attemptTrace) got100Continue() {
	t.answered.Store(false)
	t.begin()
	// A gate that passes a large body on to a slow target may stop reading for longer
	// than clientTCPUserTimeout. If it becomes unreachable meanwhile, the attempt ends at
	// its deadline at the latest.
	if exceedsBuffer(t.attempt.Request) {
		_ = kernel.SetConnTCPUserTimeout(t.Conn, 0)
	}
}

// exceedsBuffer reports whether the body is larger than MaxBufferedBytes.
func exceedsBuffer(r *vanillabarrow.Request) bool {
	return r.Stream != nil || len(r.Body) > MaxBufferedBytes
}

func (f *Forwarder) request(ctx context.Context, a *vanillabarrow.Attempt) (*http.Request, error) {
	r := a.Request
	request, err := message.NewRequest(ctx, a.Address, r)
	if err != nil {
		return nil, err
	}
	writeAttempt(request.Header, a, f.vm, time.Now())
	if expectsContinue(r) {
		request.Header.Set("Expect", "100-continue")
	}
	return request, nil
}

// expectsContinue reports whether the body is sent only after the gate's 100
// Continue. This avoids sending a large body to a gate that refuses the request,
// and proves that a request has not run if its body was not sent.
func expectsContinue(r *vanillabarrow.Request) bool {
	return r.Stream != nil || len(r.Body) > expectContinueThreshold || len(r.Body) > 0 && !r.Idempotent
}

// transportRefusal returns the refusal for an attempt without a complete
// response. mayHaveRun is set if enough of the request may have been sent for
// the gate to run it.
func transportRefusal(ctx context.Context, err error, mayHaveRun bool) error {
	if errors.Is(err, message.ErrTooLarge) {
		return vanillabarrow.MayHaveRun(vanillabarrow.ReasonBodyIncomplete, err.Error())
	}
	reason := vanillabarrow.ReasonConnectionFailed
	switch {
	case errors.Is(err, errNodeDelayed):
		reason = vanillabarrow.ReasonNodeDelayed
	case ctx.Err() == nil && isTimeout(err):
		reason = vanillabarrow.ReasonUnreachable
	}
	if !mayHaveRun {
		return vanillabarrow.NotRun(reason, err.Error())
	}
	if ctx.Err() != nil {
		reason = vanillabarrow.ReasonCanceled
	}
	return vanillabarrow.MayHaveRun(reason, err.Error())
}

// isTimeout reports whether the other node did not react at all. A refused or
// reset connection is a reaction.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.Is(err, syscall.ETIMEDOUT) || errors.As(err, &netErr) && netErr.Timeout()
}

func (f *Forwarder) readResponse(ctx context.Context, a *vanillabarrow.Attempt, httpResponse *http.Response) (*vanillabarrow.Response, error) {
	h := httpResponse.Header
	if h.Get(headerAttempt) != a.ID {
		_ = httpResponse.Body.Close()
		return nil, vanillabarrow.MayHaveRun(vanillabarrow.ReasonAnswerLost, "the response belongs to another attempt")
	}
	f.observe(a, h)
	if h.Get(headerVerdict) != vanillabarrow.VerdictFinished.String() {
		err := discardRefusalBody(httpResponse.Body)
		_ = httpResponse.Body.Close()
		if err != nil {
			return nil, transportRefusal(ctx, err, true)
		}
		return nil, readRefusal(h)
	}
	start, stream, err := message.SplitBody(httpResponse.Body, MaxBufferedBytes)
	if err != nil {
		_ = httpResponse.Body.Close()
		return nil, transportRefusal(ctx, err, true)
	}
	response := &vanillabarrow.Response{
		Status: httpResponse.StatusCode,
		Header: vanillabarrow.Header(message.EndToEndHeader(h)),
		Body:   start,
		Size:   httpResponse.ContentLength,
		Target: a.Target.Name,
	}
	if stream == nil {
		_ = httpResponse.Body.Close()
		return response, nil
	}
	response.Stream = httpResponse.Body
	return response, nil
}

// discardRefusalBody reads the body of a refusal, which gates send without one or with a
// line of text. The error is set if it breaks off.
func discardRefusalBody(body io.Reader) error {
	_, err := io.CopyN(io.Discard, body, maxRefusalBodyBytes)
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// observe passes the state in a response's header to the observer.
func (f *Forwarder) observe(a *vanillabarrow.Attempt, h http.Header) {
	if load, ok := readLoad(h, a.Request); ok {
		f.observer.ObserveLoad(a.Target.Name, load, time.Now())
	}
	f.observer.ObserveToken(a.Target.Name, parseToken(h.Get(headerToken)))
	f.observer.ObserveVersion(a.Target.VM, parseVersion(h.Get(headerVersion)))
}

// QueryAttempt implements vanillabarrow.Forwarder.
func (f *Forwarder) QueryAttempt(ctx context.Context, a *vanillabarrow.Attempt) (*vanillabarrow.AttemptReport, error) {
	return f.query(ctx, a, false)
}

// WithdrawAttempt implements vanillabarrow.Withdrawer.
func (f *Forwarder) WithdrawAttempt(ctx context.Context, a *vanillabarrow.Attempt) (*vanillabarrow.AttemptReport, error) {
	return f.query(ctx, a, true)
}

func (f *Forwarder) query(ctx context.Context, a *vanillabarrow.Attempt, withdraw bool) (*vanillabarrow.AttemptReport, error) {
	client := controlv1connect.NewFenceClient(f.queryClient, "http://"+a.Address, uncompressedClient...)
	response, err := client.Ask(ctx, connect.NewRequest(&controlv1.AskRequest{
		Target:      a.Target.Name,
		Attempt:     a.ID,
		Incarnation: a.Token.Incarnation,
		Epoch:       a.Token.Epoch,
		Withdraw:    withdraw,
	}))
	if err != nil {
		return nil, fmt.Errorf("query %s about attempt %s: %w", a.Address, a.ID, err)
	}
	report := reportFromProto(response.Msg, a.Target.Name)
	report.NotRun = report.State == vanillabarrow.AttemptFenced && response.Header().Get(headerNotRun) == "1"
	return report, nil
}

// KeyReleaser implements vanillabarrow.KeyReleaser. A request fails if nothing
// arrives for dialTimeout, or after releaseTimeout.
type KeyReleaser struct {
	client *http.Client
}

// NewKeyReleaser returns a client that requests other gates to release
// idempotency keys.
func NewKeyReleaser(traffic *kernel.Traffic) *KeyReleaser {
	progress := kernel.ProgressTransport{Transport: &http.Transport{
		DialContext:            traffic.Dial(&net.Dialer{Timeout: dialTimeout}),
		MaxIdleConnsPerHost:    maxIdleConnsPerNode,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}}
	return &KeyReleaser{client: &http.Client{Transport: &limitedTransport{progress, maxControlResponseBytes}}}
}

// ReleaseKey implements vanillabarrow.KeyReleaser.
func (k *KeyReleaser) ReleaseKey(ctx context.Context, address string, request vanillabarrow.KeyReleaseRequest) (*vanillabarrow.AttemptReport, error) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	ctx, progress := kernel.WithProgressTimeout(ctx, dialTimeout)
	defer progress.Stop()
	response, err := controlv1connect.NewFenceClient(k.client, "http://"+address, uncompressedClient...).Surrender(ctx,
		connect.NewRequest(&controlv1.SurrenderRequest{
			Target:      request.Target,
			Service:     request.Service,
			Key:         request.Key,
			Fingerprint: request.Fingerprint,
			Version:     uint64(request.Version),
		}))
	if err != nil {
		return nil, fmt.Errorf("request key release from %s: %w", address, err)
	}
	return reportFromProto(response.Msg, request.Target), nil
}

func reportFromProto(m *controlv1.AskReply, target string) *vanillabarrow.AttemptReport {
	report := &vanillabarrow.AttemptReport{
		State:    attemptStateFromProto(m.GetState()),
		Response: responseFromProto(m.GetAnswer()),
	}
	if report.Response != nil {
		report.Response.Target = target
	}
	return report
}

// bodyReader returns a reader of the complete body of a response.
func bodyReader(r *vanillabarrow.Response) io.Reader {
	if r.Stream == nil {
		return bytes.NewReader(r.Body)
	}
	return io.MultiReader(bytes.NewReader(r.Body), r.Stream)
}
