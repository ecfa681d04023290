package pipeline

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"sync"
)

// maxAheadBody is the largest body of a request that is started ahead. net/http
// discards up to 256 KiB of a body that its handler has not read, so a larger one
// would close the connection.
const maxAheadBody = 64 << 10

// lineState says how the bytes delivered so far end, as far as the end of a head
// depends on it.
type lineState uint8

const (
	lineOther lineState = iota
	// lineEnd is after LF, lineReturn after LF CR.
	lineEnd
	lineReturn
)

// cut returns the length of p up to and including the first empty line, and whether
// there is one. net/http ends a line at LF and ignores one CR before it.
func cut(state lineState, p []byte) (int, bool) {
	if state != lineOther && len(p) > 0 {
		if p[0] == '\n' {
			return 1, true
		}
		if state == lineEnd && len(p) > 1 && p[0] == '\r' && p[1] == '\n' {
			return 2, true
		}
	}
	n := len(p)
	if i := bytes.Index(p, []byte("\n\r\n")); i >= 0 {
		n = i + 3
	}
	if i := bytes.Index(p[:n], []byte("\n\n")); i >= 0 {
		return i + 2, true
	}
	return n, n < len(p) || bytes.HasSuffix(p, []byte("\n\r\n"))
}

// after returns the state after p.
func (s lineState) after(p []byte) lineState {
	switch n := len(p); {
	case n == 0:
		return s
	case p[n-1] == '\n':
		return lineEnd
	case p[n-1] == '\r' && (n > 1 && p[n-2] == '\n' || n == 1 && s == lineEnd):
		return lineReturn
	default:
		return lineOther
	}
}

// headReader is a reusable reader for http.ReadRequest.
type headReader struct {
	bytes bytes.Reader
	buf   *bufio.Reader
}

var headReaders = sync.Pool{New: func() any { return &headReader{buf: bufio.NewReaderSize(nil, 1024)} }}

// parseHead parses the head of a request. It returns nil for a request that may
// not be started ahead, because net/http refuses it or handles it in a way of its
// own.
func parseHead(head []byte) *http.Request {
	r := headReaders.Get().(*headReader)
	defer headReaders.Put(r)
	r.bytes.Reset(head)
	r.buf.Reset(&r.bytes)
	req, err := http.ReadRequest(r.buf)
	if err != nil || r.buf.Buffered() > 0 || r.bytes.Len() > 0 {
		return nil
	}
	if req.ProtoMajor != 1 || req.ProtoMinor != 1 || !strings.HasPrefix(req.RequestURI, "/") || req.Method == http.MethodConnect {
		return nil
	}
	if len(req.TransferEncoding) > 0 || len(req.Trailer) > 0 || req.ContentLength < 0 || req.ContentLength > maxAheadBody {
		return nil
	}
	if !isHost(req.Host) {
		return nil
	}
	for name, values := range req.Header {
		switch name {
		case "Expect", "Upgrade", "Http2-Settings":
			return nil
		}
		if !isToken(name) {
			return nil
		}
		for _, v := range values {
			if !isFieldValue(v) {
				return nil
			}
		}
	}
	// The body of the parsed request refers to the reader.
	req.Body = http.NoBody
	return req
}

// isHost reports whether a host has only characters of names, addresses and ports.
// net/http accepts more.
func isHost(s string) bool {
	for i := range len(s) {
		if c := s[i]; !isAlphanumeric(c) && strings.IndexByte("-._:[]", c) < 0 {
			return false
		}
	}
	return s != ""
}

func isAlphanumeric(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9'
}

func isToken(s string) bool {
	for i := range len(s) {
		if c := s[i]; !isAlphanumeric(c) && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return s != ""
}

func isFieldValue(s string) bool {
	for i := range len(s) {
		if c := s[i]; c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
