package message

import (
	"context"
	"io"
	"net/http"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
)

// NewRequest returns the HTTP request that sends r to an address. When a pooled
// connection breaks, net/http resends a request without a body that has an
// idempotency key. Unless r is idempotent, the request therefore has a body, of
// a type that net/http can't resend, and is sent at most once.
func NewRequest(ctx context.Context, address string, r *vanillabarrow.Request) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, r.Method, "http://"+address, nil)
	if err != nil {
		return nil, err
	}
	if request.URL, err = URL(address, r.Path); err != nil {
		return nil, err
	}
	request.Host = r.Host
	CopyHeader(request.Header, r.Header)
	if len(r.Body) > 0 || r.Stream != nil || !r.Idempotent {
		request.Body = io.NopCloser(JoinBody(r.Body, r.Stream))
		request.ContentLength = r.Size
	}
	return request, nil
}
