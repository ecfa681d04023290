package caller

import (
	"net/http"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
	"github.com/vanillabarrow/vanillabarrow/internal/message"
)

const (
	// minBufferBytes is the largest part of a body that is buffered regardless of
	// bufferBudget.
	minBufferBytes = 64 << 10
	// maxBufferBytes is the largest body that is buffered completely. A buffered
	// body can be resent to another target. Buffering also makes it possible to
	// detect that the caller disconnects, because net/http watches the connection
	// only after the body has been read.
	maxBufferBytes = 1 << 20
	// bufferBudget is the maximum total size of the buffered bodies that are larger
	// than minBufferBytes.
	bufferBudget = 32 << 20
)

// reserveBuffer reserves bytes of bufferBudget for a body and returns their
// number, which is 0 if the body fits in minBufferBytes, exceeds maxBufferBytes or
// exceeds the remaining budget. The length is -1 for a chunked body.
func (s *Server) reserveBuffer(length int64) int64 {
	if length < 0 {
		length = maxBufferBytes
	}
	if length <= minBufferBytes || length > maxBufferBytes {
		return 0
	}
	if s.reservedBytes.Add(length) > bufferBudget {
		s.reservedBytes.Add(-length)
		return 0
	}
	if s.Memory != nil && !s.Memory.Reserve(length) {
		s.reservedBytes.Add(-length)
		return 0
	}
	return length
}

// releaseBuffer returns what reserveBuffer reserved.
func (s *Server) releaseBuffer(reserved int64) {
	s.reservedBytes.Add(-reserved)
	if s.Memory != nil {
		s.Memory.Release(reserved)
	}
}

// readBody reads up to bufferLimit bytes of the body and leaves the rest to the
// request's stream. The smaller of the node's and the configuration's size limits
// applies.
func (s *Server) readBody(r *http.Request, request *vanillabarrow.Request, limits vanillabarrow.RequestLimits, bufferLimit int64) error {
	maxBytes := s.MaxBodyBytes
	if limits.MaxBodyBytes > 0 {
		maxBytes = min(maxBytes, limits.MaxBodyBytes)
	}
	if r.ContentLength > maxBytes {
		return invalidRequest(vanillabarrow.ReasonTooLarge, message.ErrTooLarge.Error())
	}
	start, stream, err := message.SplitBody(r.Body, int(bufferLimit))
	if err != nil {
		return kernel.BodyRefusal(err)
	}
	request.Body = start
	if stream == nil {
		request.Size = int64(len(start))
		return nil
	}
	request.Stream = message.NewBodyStream(stream, maxBytes-int64(len(start)))
	return nil
}
