package http1

import (
	"bufio"
	"errors"
	"io"
	"net/http/httputil"
)

// lengthBody is a body whose length is known.
type lengthBody struct {
	reader    io.Reader
	remaining int64
}

// Read implements io.Reader. It returns io.EOF together with the last bytes, so
// that the end of the body is known without another read.
func (b *lengthBody) Read(p []byte) (int, error) {
	if b.remaining == 0 {
		return 0, io.EOF
	}
	n, err := b.reader.Read(p[:min(int64(len(p)), b.remaining)])
	b.remaining -= int64(n)
	switch {
	case b.remaining == 0:
		return n, io.EOF
	case errors.Is(err, io.EOF):
		return n, io.ErrUnexpectedEOF
	default:
		return n, err
	}
}

// chunkedBody is a body in chunks. The fields of its trailer are checked and
// dropped.
type chunkedBody struct {
	chunks io.Reader
	reader *Reader
	// err is the result of all reads after the end of the chunks, or after an error.
	err error
}

func newChunkedBody(r *Reader) *chunkedBody {
	return &chunkedBody{chunks: httputil.NewChunkedReader(r.Reader), reader: r}
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.chunks.Read(p)
	if errors.Is(err, io.EOF) {
		err = b.reader.readTrailer()
	}
	b.err = err
	return n, err
}

const (
	// emptyLine ends a body in chunks that has no trailer.
	emptyLine = "\r\n"
	// trailerEnd is the end of a trailer.
	trailerEnd = "\r\n\r\n"
)

// readTrailer reads what follows the last chunk. It returns io.EOF if that is valid.
func (r *Reader) readTrailer() error {
	next, err := r.Peek(len(emptyLine))
	if err != nil {
		return readError(err)
	}
	if string(next) == emptyLine {
		_, _ = r.Discard(len(emptyLine))
		return io.EOF
	}
	if err := r.awaitTrailerEnd(); err != nil {
		return err
	}
	if _, err := r.readFields(); err != nil {
		return err
	}
	return io.EOF
}

// awaitTrailerEnd reads a trailer into the buffer, to whose size it limits the trailer.
func (r *Reader) awaitTrailerEnd() error {
	for n := len(trailerEnd); ; n++ {
		trailer, err := r.Peek(n)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			return ErrHeadTooLarge
		case err != nil:
			return readError(err)
		case string(trailer[n-len(trailerEnd):]) == trailerEnd:
			return nil
		}
	}
}
