// Package http1 reads responses of HTTP/1.1, of which net/http's client accepts
// some that are malformed. Reader reads them from a connection, and Transport
// checks those that net/http has read.
package http1

import (
	"bufio"
	"errors"
	"io"
	"math"
	"net/http"
	"net/textproto"
	"strings"
)

// BufferBytes is the size of the read buffer, and the maximum size of a trailer.
const BufferBytes = 4 << 10

var (
	// ErrMalformed is returned for what is not a response of HTTP/1.1. Nothing that
	// it contains can be relied on, and its connection can't be used again.
	ErrMalformed = errors.New("malformed HTTP response")
	// ErrHeadTooLarge is returned when a response's status line and header, or its
	// trailer, exceed the size limit.
	ErrHeadTooLarge = errors.New("the response header exceeds the size limit")
)

// Response is a response, including an informational one (1xx).
type Response struct {
	Status int
	// Header has no field for the transfer coding, and at most one value for the
	// length.
	Header http.Header
	// Body fails with an error other than io.EOF if it breaks off or is malformed.
	Body io.Reader
	// Length is the length of the body, -1 if it is not known in advance. That of
	// the response to a HEAD request is the length that it states.
	Length int64
	// KeepAlive is set if the connection can carry another response after the body.
	KeepAlive bool
}

// Reader reads the responses on a connection. Each body has to be read to its end
// before the next response.
type Reader struct {
	*bufio.Reader
	head         *textproto.Reader
	limit        *limitedReader
	maxHeadBytes int64
}

// NewReader returns a reader of responses whose status line and header have at most
// maxHeadBytes, give or take the size of the read buffer.
func NewReader(r io.Reader, maxHeadBytes int64) *Reader {
	limit := &limitedReader{reader: r, remaining: math.MaxInt64}
	buffered := bufio.NewReaderSize(limit, BufferBytes)
	return &Reader{Reader: buffered, head: textproto.NewReader(buffered), limit: limit, maxHeadBytes: maxHeadBytes}
}

// ReadResponse reads the status line and header of the response to a request with
// the method.
func (r *Reader) ReadResponse(method string) (*Response, error) {
	r.limit.remaining = r.maxHeadBytes
	defer r.limit.lift()
	line, err := r.head.ReadLine()
	if err != nil {
		return nil, readError(err)
	}
	status, minor, err := parseStatusLine(line)
	if err != nil {
		return nil, err
	}
	h, err := r.readFields()
	if err != nil {
		return nil, err
	}
	bodyFollows := hasBody(method, status)
	f, err := newFraming(h, minor, bodyFollows)
	if err != nil {
		return nil, err
	}
	response := &Response{Status: status, Header: h, Length: f.length}
	response.KeepAlive = keepsAlive(h, minor) && (f.chunked || f.length >= 0)
	switch {
	case !bodyFollows:
		response.Body = http.NoBody
		if method != http.MethodHead {
			response.Length, response.KeepAlive = 0, keepsAlive(h, minor)
		}
	case f.chunked:
		response.Body = newChunkedBody(r)
	case f.length >= 0:
		response.Body = &lengthBody{reader: r.Reader, remaining: f.length}
	default:
		response.Body = r.Reader
	}
	return response, nil
}

// readFields reads the fields of a header or a trailer.
func (r *Reader) readFields() (http.Header, error) {
	h, err := r.head.ReadMIMEHeader()
	if err != nil {
		return nil, readError(err)
	}
	if err := checkNames(http.Header(h)); err != nil {
		return nil, err
	}
	return http.Header(h), nil
}

// readError returns the error of a read that failed: io.ErrUnexpectedEOF at the end of
// the connection, and ErrMalformed for an error of net/textproto.
func readError(err error) error {
	var protocolErr textproto.ProtocolError
	switch {
	case errors.Is(err, io.EOF):
		return io.ErrUnexpectedEOF
	case errors.As(err, &protocolErr):
		return malformed("%s", strings.TrimPrefix(err.Error(), "malformed MIME "))
	default:
		return err
	}
}

// limitedReader reads up to remaining bytes and returns ErrHeadTooLarge after
// them.
type limitedReader struct {
	reader    io.Reader
	remaining int64
}

// lift removes the limit.
func (l *limitedReader) lift() { l.remaining = math.MaxInt64 }

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, ErrHeadTooLarge
	}
	n, err := l.reader.Read(p[:min(int64(len(p)), l.remaining)])
	l.remaining -= int64(n)
	return n, err
}
