package http1

import (
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// errNotDelimited is returned for a response whose body ends with its connection.
var errNotDelimited = errors.New("the response ends with its connection")

// CheckResponse checks a response that net/http has read for what its client accepts
// although it is malformed. It also checks responses of HTTP/2, to which the same rules
// apply.
func CheckResponse(response *http.Response) error {
	return CheckHead(response.StatusCode, response.Header)
}

// CheckHead checks that a status is that of a final response, and that the name of each
// field is a token.
func CheckHead(status int, h http.Header) error {
	if !IsFinalStatus(status) {
		return malformed("status %d is not one of a final response", status)
	}
	return checkNames(h)
}

// CheckDelimited is CheckResponse for servers that send each body with a length or in
// chunks. Of a body that ends with its connection, a part looks complete if the server
// was killed within it.
func CheckDelimited(response *http.Response) error {
	if err := CheckResponse(response); err != nil {
		return err
	}
	if endsWithConnection(response) {
		return errNotDelimited
	}
	return nil
}

// endsWithConnection reports whether a body that net/http reads ends with its
// connection.
func endsWithConnection(response *http.Response) bool {
	if response.Request != nil && !hasBody(response.Request.Method, response.StatusCode) {
		return false
	}
	return response.ProtoMajor == 1 && response.ContentLength < 0 && len(response.TransferEncoding) == 0 && !response.Uncompressed
}

// Transport is a transport of net/http with a check of its responses. The connection
// of one that the check refuses is closed.
type Transport struct {
	http.RoundTripper
	// Check is CheckResponse or CheckDelimited.
	Check func(*http.Response) error
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	return RoundTrip(t.RoundTripper, r, t.Check)
}

// CloseIdleConnections closes the idle connections of the transport.
func (t *Transport) CloseIdleConnections() {
	if c, ok := t.RoundTripper.(idleCloser); ok {
		c.CloseIdleConnections()
	}
}

// RoundTrip sends a request by a transport of net/http and checks the response. The
// connection of one that the check refuses is not used again.
func RoundTrip(transport http.RoundTripper, r *http.Request, check func(*http.Response) error) (*http.Response, error) {
	t := &ConnTrace{}
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{GotConn: t.GotConn, PutIdleConn: t.PutIdleConn})
	response, err := transport.RoundTrip(r.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := check(response); err != nil {
		t.Discard(transport, response)
		return nil, err
	}
	return response, nil
}

// ConnTrace follows the connection of a request of net/http. Its methods GotConn and
// PutIdleConn are hooks of httptrace.
type ConnTrace struct {
	Conn net.Conn
	// idle is set once the connection was put back, before the response is returned if
	// that has no body.
	idle atomic.Bool
}

// GotConn records the connection.
func (t *ConnTrace) GotConn(info httptrace.GotConnInfo) { t.Conn = info.Conn }

// PutIdleConn records that the connection may be used for another request.
func (t *ConnTrace) PutIdleConn(err error) { t.idle.Store(err == nil) }

// Discard closes the connection of a response whose body was not read. If it was put
// back, all idle connections of the transport are closed: net/http would only notice
// later that this one is, and fail the next request on it.
func (t *ConnTrace) Discard(transport http.RoundTripper, response *http.Response) {
	_ = response.Body.Close()
	if t.Conn != nil {
		_ = t.Conn.Close()
	}
	if c, ok := transport.(idleCloser); ok && t.idle.Load() {
		c.CloseIdleConnections()
	}
}

// idleCloser is a transport that can close its idle connections.
type idleCloser interface{ CloseIdleConnections() }
