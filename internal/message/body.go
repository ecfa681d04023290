package message

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"sync/atomic"
)

// ErrTooLarge is the error for a body over its limit.
var ErrTooLarge = errors.New("body is larger than the limit")

// SplitBody reads up to hold bytes. The stream is nil when that is the whole body.
func SplitBody(body io.Reader, hold int) (start []byte, stream io.Reader, err error) {
	if body == nil {
		return nil, nil, nil
	}
	var buf bytes.Buffer
	n, err := io.CopyN(&buf, body, int64(hold)+1)
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, nil, fmt.Errorf("read body: %w", err)
	}
	if n <= int64(hold) {
		return buf.Bytes(), nil, nil
	}
	return buf.Bytes(), body, nil
}

// BodyStream is the rest of a request body. It knows whether it was read from.
type BodyStream struct {
	reader  io.Reader
	limit   int64
	touched atomic.Bool
}

// NewBodyStream returns a stream that fails after limit bytes.
func NewBodyStream(r io.Reader, limit int64) *BodyStream {
	return &BodyStream{reader: r, limit: limit}
}

// Read implements io.Reader.
func (s *BodyStream) Read(p []byte) (int, error) {
	s.touched.Store(true)
	n, err := s.reader.Read(p)
	s.limit -= int64(n)
	if s.limit < 0 {
		return 0, ErrTooLarge
	}
	return n, err
}

// IsUnread reports whether nothing was read, so that the body can be sent
// from its start.
func (s *BodyStream) IsUnread() bool { return !s.touched.Load() }

// JoinBody returns the whole body. Its type hides its content from net/http, so
// that no request is ever sent twice by the library.
func JoinBody(start []byte, stream io.Reader) io.Reader {
	if stream == nil {
		return &opaque{bytes.NewReader(start)}
	}
	return &opaque{io.MultiReader(bytes.NewReader(start), stream)}
}

type opaque struct {
	io.Reader
}
