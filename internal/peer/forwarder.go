package peer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"syscall"
	"time"

	"connectrpc.com/connect"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
	"github.com/vanillabarrow/vanillabarrow/internal/message"
	"github.com/vanillabarrow/vanillabarrow/internal/peer/controlv1"
	"github.com/vanillabarrow/vanillabarrow/internal/peer/controlv1/controlv1connect"
)

const (
	// HoldBytes is the largest part of a body that a node holds, to send it
	// again or to answer a question about it.
	HoldBytes = 64 << 10
	// dialTimeout bounds a connection set-up. It covers the longest way between
	// regions, and leaves time to ask another node.
	dialTimeout = 250 * time.Millisecond
	// unackedTimeout breaks a connection whose bytes the other side does not
	// acknowledge. One lost packet is sent again after 200 ms.
	unackedTimeout = 350 * time.Millisecond
	// holdBack is the largest body, in bytes, that is sent with the head of a
	// request that may run more than once.
	holdBack = 4 << 10
	// idleConnections bounds the pooled connections to one node.
	idleConnections = 32
	// idleTimeout closes pooled connections before a network forgets them.
	idleTimeout = 30 * time.Second
	// continueTimeout bounds the wait for a gate to accept a streamed body.
	continueTimeout = time.Minute
	// maxAnswerHeader bounds the header of an answer, in bytes.
	maxAnswerHeader = 256 << 10
)

// Observer takes what answers tell about the nodes that sent them.
type Observer interface {
	// Report notes the load of a target.
	Report(target string, load vanillabarrow.Load, now time.Time)
	// Put notes the token of a target's gate.
	Put(target string, token vanillabarrow.Token)
	// SeenVersion notes the configuration version of a node.
	SeenVersion(vm string, version vanillabarrow.Version)
	// Met notes the IP address of a node that sends attempts while this one has
	// no configuration.
	Met(host string)
}

// Forwarder implements vanillabarrow.Forwarder.
type Forwarder struct {
	vm       string
	observer Observer
	client   *http.Client
	fresh    *http.Client
}

// NewForwarder returns a forwarder for the node on the given VM.
func NewForwarder(vm string, observer Observer, traffic *kernel.Traffic) *Forwarder {
	dialer := &net.Dialer{Timeout: dialTimeout, Control: limitUnacked}
	return &Forwarder{
		vm:       vm,
		observer: observer,
		client: &http.Client{Transport: &http.Transport{
			DialContext:            kernel.DialResetOnClose(dialer.DialContext),
			DisableCompression:     true,
			MaxIdleConnsPerHost:    idleConnections,
			IdleConnTimeout:        idleTimeout,
			ExpectContinueTimeout:  continueTimeout,
			MaxResponseHeaderBytes: maxAnswerHeader,
		}, CheckRedirect: noRedirect},
		// A question about a lost attempt must not share the fate of the
		// connection that lost it.
		fresh: &http.Client{Transport: &http.Transport{
			DialContext:       traffic.Dial(dialer),
			DisableKeepAlives: true,
		}},
	}
}

// limitUnacked limits the unacknowledged bytes of a connection to another node.
func limitUnacked(_, _ string, c syscall.RawConn) error {
	return kernel.SetTCPUserTimeout(c, unackedTimeout)
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close closes idle connections.
func (f *Forwarder) Close() { f.client.CloseIdleConnections() }

// Forward implements vanillabarrow.Forwarder.
func (f *Forwarder) Forward(ctx context.Context, a *vanillabarrow.Attempt) (*vanillabarrow.Response, error) {
	// A gate that has not asked for the body can't have run the request.
	var exposed atomic.Bool
	trace := &httptrace.ClientTrace{Got100Continue: func() { exposed.Store(true) }}
	if !holdsBack(a.Request) {
		trace = &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { exposed.Store(true) }}
	}
	request, err := f.request(httptrace.WithClientTrace(ctx, trace), a)
	if err != nil {
		return nil, vanillabarrow.NotRun(vanillabarrow.ReasonConnectionFailed, err.Error())
	}
	response, err := f.client.Do(request)
	if err != nil {
		return nil, transportRefusal(ctx, err, exposed.Load())
	}
	return f.answer(ctx, a, response)
}

func (f *Forwarder) request(ctx context.Context, a *vanillabarrow.Attempt) (*http.Request, error) {
	r := a.Request
	request, err := message.NewRequest(ctx, a.Address, r)
	if err != nil {
		return nil, err
	}
	writeAttempt(request.Header, a, f.vm, time.Now())
	if holdsBack(r) {
		request.Header.Set("Expect", "100-continue")
	}
	return request, nil
}

// holdsBack reports whether the body is sent only when the gate asks for it. A
// large body is not sent to a gate that refuses it; without its body a request
// that may run only once has provably not run.
func holdsBack(r *vanillabarrow.Request) bool {
	return r.Stream != nil || len(r.Body) > holdBack || len(r.Body) > 0 && !r.Idempotent
}

// transportRefusal gives the verdict on an attempt without an answer. It has
// not run unless it was exposed: sent whole, or so far that the gate may run
// it.
func transportRefusal(ctx context.Context, err error, exposed bool) error {
	if errors.Is(err, message.ErrTooLarge) {
		return vanillabarrow.MayHaveRun(vanillabarrow.ReasonBodyIncomplete, err.Error())
	}
	reason := vanillabarrow.ReasonConnectionFailed
	if ctx.Err() == nil && silent(err) {
		reason = vanillabarrow.ReasonUnreachable
	}
	if !exposed {
		return vanillabarrow.NotRun(reason, err.Error())
	}
	if ctx.Err() != nil {
		reason = vanillabarrow.ReasonCanceled
	}
	return vanillabarrow.MayHaveRun(reason, err.Error())
}

// silent reports whether the other side did not react at all. A refused or
// reset connection is a reaction.
func silent(err error) bool {
	var timeout net.Error
	return errors.Is(err, syscall.ETIMEDOUT) || errors.As(err, &timeout) && timeout.Timeout()
}

func (f *Forwarder) answer(ctx context.Context, a *vanillabarrow.Attempt, response *http.Response) (*vanillabarrow.Response, error) {
	h := response.Header
	if h.Get(headerAttempt) != a.ID {
		_ = response.Body.Close()
		return nil, vanillabarrow.MayHaveRun(vanillabarrow.ReasonAnswerLost, "the answer belongs to another attempt")
	}
	f.observe(a, h)
	if h.Get(headerVerdict) != vanillabarrow.VerdictFinished.String() {
		_ = response.Body.Close()
		return nil, readRefusal(h)
	}
	start, stream, err := message.SplitBody(response.Body, HoldBytes)
	if err != nil {
		_ = response.Body.Close()
		return nil, transportRefusal(ctx, err, true)
	}
	answer := &vanillabarrow.Response{
		Status: response.StatusCode,
		Header: vanillabarrow.Header(message.EndToEndHeader(h)),
		Body:   start,
		Size:   response.ContentLength,
		Target: a.Target.Name,
	}
	if stream == nil {
		_ = response.Body.Close()
		return answer, nil
	}
	answer.Stream = response.Body
	return answer, nil
}

func (f *Forwarder) observe(a *vanillabarrow.Attempt, h http.Header) {
	if load, ok := parseLoad(h.Get(headerLoad)); ok {
		load.Priority = a.Request.Priority
		f.observer.Report(a.Target.Name, load, time.Now())
	}
	f.observer.Put(a.Target.Name, parseToken(h.Get(headerToken)))
	f.observer.SeenVersion(a.Target.VM, parseVersion(h.Get(headerVersion)))
}

// QueryAttempt implements vanillabarrow.Forwarder.
func (f *Forwarder) QueryAttempt(ctx context.Context, a *vanillabarrow.Attempt) (*vanillabarrow.AttemptReport, error) {
	client := controlv1connect.NewFenceClient(f.fresh, "http://"+a.Address, uncompressedClient...)
	response, err := client.Ask(ctx, connect.NewRequest(&controlv1.AskRequest{
		Target:      a.Target.Name,
		Attempt:     a.ID,
		Incarnation: a.Token.Incarnation,
		Epoch:       a.Token.Epoch,
	}))
	if err != nil {
		return nil, fmt.Errorf("ask %s about attempt %s: %w", a.Address, a.ID, err)
	}
	return reportFromProto(response.Msg, a.Target.Name), nil
}

// KeyMemory implements vanillabarrow.KeyReleaser.
type KeyMemory struct {
	client *http.Client
}

// NewKeyMemory returns a client for the key memories of other gates.
func NewKeyMemory(traffic *kernel.Traffic) *KeyMemory {
	return &KeyMemory{client: &http.Client{Transport: &http.Transport{
		DialContext:         traffic.Dial(&net.Dialer{Timeout: dialTimeout}),
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleTimeout,
	}}}
}

// ReleaseKey implements vanillabarrow.KeyReleaser.
func (m *KeyMemory) ReleaseKey(ctx context.Context, address string, q vanillabarrow.KeyReleaseRequest) (*vanillabarrow.AttemptReport, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	response, err := controlv1connect.NewFenceClient(m.client, "http://"+address, uncompressedClient...).Surrender(ctx,
		connect.NewRequest(&controlv1.SurrenderRequest{
			Target:      q.Target,
			Service:     q.Service,
			Key:         q.Key,
			Fingerprint: q.Fingerprint,
			Version:     uint64(q.Version),
		}))
	if err != nil {
		return nil, fmt.Errorf("ask %s about a key: %w", address, err)
	}
	return reportFromProto(response.Msg, q.Target), nil
}

func reportFromProto(m *controlv1.AskReply, target string) *vanillabarrow.AttemptReport {
	report := &vanillabarrow.AttemptReport{
		State:    stateFromProto(m.GetState()),
		Response: answerFromProto(m.GetAnswer()),
	}
	if report.Response != nil {
		report.Response.Target = target
	}
	return report
}

// joined returns the whole body of an answer for writing.
func joined(a *vanillabarrow.Response) io.Reader {
	if a.Stream == nil {
		return bytes.NewReader(a.Body)
	}
	return io.MultiReader(bytes.NewReader(a.Body), a.Stream)
}
