package kernel

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"
)

// ErrNoProgress is the cause of a context whose ProgressTimeout has passed.
var ErrNoProgress = errors.New("nothing received within the timeout")

// ProgressTimeout cancels a context when nothing was received for some time. A
// long response does not end a call that uses it, as long as bytes arrive.
type ProgressTimeout struct {
	timeout time.Duration
	timer   *time.Timer
	cancel  context.CancelCauseFunc
}

// progressKey is the key of the ProgressTimeout in a context.
type progressKey struct{}

// WithProgressTimeout returns a context that is canceled with ErrNoProgress once
// the timeout passes without a Reset. A ProgressTransport resets it whenever
// part of a response arrives. Stop has to be called when the call is over.
func WithProgressTimeout(ctx context.Context, timeout time.Duration) (context.Context, *ProgressTimeout) {
	ctx, cancel := context.WithCancelCause(ctx)
	p := &ProgressTimeout{timeout: timeout, cancel: cancel}
	p.timer = time.AfterFunc(timeout, func() { cancel(ErrNoProgress) })
	return context.WithValue(ctx, progressKey{}, p), p
}

// Pause stops the timeout until the next Reset, while the receiver works on what
// has arrived.
func (p *ProgressTimeout) Pause() { p.timer.Stop() }

// Reset starts the timeout again.
func (p *ProgressTimeout) Reset() { p.timer.Reset(p.timeout) }

// Stop stops the timer and cancels the context.
func (p *ProgressTimeout) Stop() {
	p.timer.Stop()
	p.cancel(nil)
}

// ProgressTransport is a transport that resets the ProgressTimeout of a
// request's context whenever part of the response arrives.
type ProgressTransport struct {
	*http.Transport
}

// RoundTrip implements http.RoundTripper.
func (t ProgressTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.Transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if p, ok := r.Context().Value(progressKey{}).(*ProgressTimeout); ok {
		p.Reset()
		response.Body = &progressBody{ReadCloser: response.Body, progress: p}
	}
	return response, nil
}

// progressBody resets a ProgressTimeout at each read.
type progressBody struct {
	io.ReadCloser
	progress *ProgressTimeout
}

// Read implements io.Reader.
func (b *progressBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.progress.Reset()
	}
	return n, err
}
