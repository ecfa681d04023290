package http1

import (
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
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
	if c, ok := t.RoundTripper.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

// RoundTrip sends a request by a transport of net/http and checks the response. The
// connection of one that the check refuses is closed, as net/http would use it again
// if the response has no body.
func RoundTrip(transport http.RoundTripper, r *http.Request, check func(*http.Response) error) (*http.Response, error) {
	var conn net.Conn
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { conn = info.Conn },
	})
	response, err := transport.RoundTrip(r.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := check(response); err != nil {
		_ = response.Body.Close()
		if conn != nil {
			_ = conn.Close()
		}
		return nil, err
	}
	return response, nil
}
