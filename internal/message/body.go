package message

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"sync/atomic"
)

// ErrTooLarge is returned when a body exceeds its size limit.
var ErrTooLarge = errors.New("body exceeds the size limit")

// SplitBody buffers the start of a body. If the body has at most limit bytes,
// start is the complete body and stream is nil. Otherwise start has limit+1
// bytes and stream provides the rest.
func SplitBody(body io.Reader, limit int) (start []byte, stream io.Reader, err error) {
	if body == nil {
		return nil, nil, nil
	}
	var buf bytes.Buffer
	n, err := io.CopyN(&buf, body, int64(limit)+1)
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, nil, fmt.Errorf("read body: %w", err)
	}
	if n <= int64(limit) {
		return buf.Bytes(), nil, nil
	}
	return buf.Bytes(), body, nil
}

// BodyStream is the unbuffered rest of a request body. It records whether it
// was read from.
type BodyStream struct {
	reader io.Reader
	// limit is the number of bytes that may still be read.
	limit   int64
	started atomic.Bool
}

// NewBodyStream returns a stream whose reads return ErrTooLarge once r has
// provided more than limit bytes.
func NewBodyStream(r io.Reader, limit int64) *BodyStream {
	return &BodyStream{reader: r, limit: limit}
}

// Read implements io.Reader.
func (s *BodyStream) Read(p []byte) (int, error) {
	s.started.Store(true)
	n, err := s.reader.Read(p)
	s.limit -= int64(n)
	if s.limit < 0 {
		return 0, ErrTooLarge
	}
	return n, err
}

// IsUnread reports whether nothing was read yet, so that the body can still be
// sent from its start.
func (s *BodyStream) IsUnread() bool { return !s.started.Load() }

// JoinBody returns a reader of the complete body. Its type hides the content
// from net/http, so that the library can't rewind the body and resend a
// request.
func JoinBody(start []byte, stream io.Reader) io.Reader {
	if stream == nil {
		return &opaque{bytes.NewReader(start)}
	}
	return &opaque{io.MultiReader(bytes.NewReader(start), stream)}
}

type opaque struct {
	io.Reader
}
