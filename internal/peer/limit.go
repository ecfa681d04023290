package peer

import (
	"encoding/binary"
	"errors"
	"io"
	"net/http"

	"github.com/vanillabarrow/vanillabarrow/internal/http1"
)

// maxControlResponseBytes is the maximum size of a response about one attempt or
// idempotency key. It has room for a stored response with a header of
// maxResponseHeaderBytes.
const maxControlResponseBytes = 1 << 20

// maxDeltaBytes is the maximum size of a delta. It has room for all items of a
// store with 10,000 targets and several values of the largest size.
const maxDeltaBytes = 16 << 20

// maxUpdateBytes is the maximum size of an update. It has room for 16 values of the
// largest size that can't be compressed.
const maxUpdateBytes = 16 << 20

// limitedTransport checks responses and limits the size of their bodies to maxBytes.
// connect alone would limit the size of the messages that it decodes, but read the rest
// of a longer response to its end.
type limitedTransport struct {
	http.RoundTripper
	maxBytes int64
}

// RoundTrip implements http.RoundTripper.
func (t *limitedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := http1.RoundTrip(t.RoundTripper, r, http1.CheckDelimited)
	if err != nil {
		return nil, err
	}
	response.Body = http.MaxBytesReader(nil, response.Body, t.maxBytes)
	return response, nil
}

// errMessageTooLarge is returned when a message on a stream exceeds the limit.
var errMessageTooLarge = errors.New("the message on the stream exceeds the size limit")

// streamTransport checks responses and limits the size of each message on a stream to
// maxBytes. connect alone would refuse a larger message, but read it to its end first.
type streamTransport struct {
	http.RoundTripper
	maxBytes uint32
}

// RoundTrip implements http.RoundTripper.
func (t *streamTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := http1.RoundTrip(t.RoundTripper, r, http1.CheckDelimited)
	if err != nil {
		return nil, err
	}
	response.Body = &streamBody{ReadCloser: response.Body, maxBytes: t.maxBytes}
	return response, nil
}

// envelopePrefixBytes is the size of the prefix of connect's envelopes: flags, in
// one byte, and the size of the message.
const envelopePrefixBytes = 5

// streamBody is a sequence of connect's envelopes. It cannot be read further than
// the size of a message above maxBytes.
type streamBody struct {
	io.ReadCloser
	maxBytes uint32
	// prefix is that of the current envelope. Its first prefixBytes have been read.
	prefix      [envelopePrefixBytes]byte
	prefixBytes int
	// remaining is the number of unread bytes of the current message.
	remaining uint32
	err       error
}

// Read implements io.Reader.
func (b *streamBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.ReadCloser.Read(p)
	if b.err = b.checkSizes(p[:n]); b.err != nil {
		return n, b.err
	}
	return n, err
}

// checkSizes checks the sizes of the messages that begin in p.
func (b *streamBody) checkSizes(p []byte) error {
	for len(p) > 0 {
		if b.remaining > 0 {
			n := min(uint64(len(p)), uint64(b.remaining))
			p = p[n:]
			b.remaining -= uint32(n)
			continue
		}
		n := copy(b.prefix[b.prefixBytes:], p)
		p = p[n:]
		b.prefixBytes += n
		if b.prefixBytes < len(b.prefix) {
			return nil
		}
		b.prefixBytes = 0
		b.remaining = binary.BigEndian.Uint32(b.prefix[1:])
		if b.remaining > b.maxBytes {
			return errMessageTooLarge
		}
	}
	return nil
}
