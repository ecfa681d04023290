package message

import (
	"context"
	"io"
	"net/http"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
)

// NewRequest returns the HTTP request that carries r to an address. The HTTP
// library sends it once at most, unless r is idempotent: it would send again
// what has no body and an idempotency key when a pooled connection breaks, and
// the type of the body keeps it from doing so.
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
