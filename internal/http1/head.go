package http1

import (
	"fmt"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
)

const (
	// minStatus and maxStatus are the bounds of the statuses of RFC 9110, section 15.
	minStatus = 100
	maxStatus = 599
	// statusDigits is the number of digits of a status.
	statusDigits = 3
)

// malformed returns an error that is ErrMalformed.
func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, args...))
}

// IsFinalStatus reports whether a status is that of a final response, after which no
// other response to the request follows.
func IsFinalStatus(status int) bool { return status >= http.StatusOK && status <= maxStatus }

// parseStatusLine returns the status and the minor version. Like net/http, it
// tolerates further spaces before the status and a missing reason phrase.
func parseStatusLine(line string) (status, minor int, err error) {
	version, rest, _ := strings.Cut(line, " ")
	major, minor, ok := http.ParseHTTPVersion(version)
	if !ok || major != 1 {
		return 0, 0, malformed("status line %q has no version of HTTP/1", line)
	}
	digits, _, _ := strings.Cut(strings.TrimLeft(rest, " "), " ")
	status, err = strconv.Atoi(digits)
	if err != nil || len(digits) != statusDigits || status < minStatus || status > maxStatus {
		return 0, 0, malformed("status %q is not one of HTTP", digits)
	}
	if status == http.StatusSwitchingProtocols {
		return 0, 0, malformed("switch to a protocol that was not requested")
	}
	return status, minor, nil
}

// checkNames checks that the name of each field is a token. net/http accepts blanks
// in names, and takes a field with a blank before its colon for another field.
func checkNames(h http.Header) error {
	for name := range h {
		if !isToken(name) {
			return malformed("field name %q is not a token", name)
		}
	}
	return nil
}

// isToken reports whether s is a token of RFC 9110, section 5.6.2.
func isToken(s string) bool {
	for i := range len(s) {
		if !tokenBytes[s[i]] {
			return false
		}
	}
	return s != ""
}

var tokenBytes = newTokenBytes()

func newTokenBytes() (table [256]bool) {
	for _, c := range []byte("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ") {
		table[c] = true
	}
	return table
}

// framing is how the end of a body is announced: by chunks, by its length, or by
// neither, so that it ends with the connection.
type framing struct {
	chunked bool
	// length is -1 if the header states none.
	length int64
}

// newFraming returns the framing that a header states, as in RFC 9112, section 6.3,
// and removes the transfer coding from it. If a body follows, a length beside a
// transfer coding may be an attempt at response splitting, and a sender of HTTP/1.0
// need not know transfer codings.
func newFraming(h http.Header, minor int, bodyFollows bool) (framing, error) {
	lengths, hasLength := h["Content-Length"]
	codings, isCoded := h["Transfer-Encoding"]
	delete(h, "Transfer-Encoding")
	switch {
	case isCoded && bodyFollows && hasLength:
		return framing{}, malformed("both a length and a transfer coding")
	case isCoded && bodyFollows && minor == 0:
		return framing{}, malformed("transfer coding in a response of HTTP/1.0")
	case isCoded && (len(codings) != 1 || !strings.EqualFold(codings[0], "chunked")):
		return framing{}, malformed("unsupported transfer coding %q", codings)
	}
	f := framing{chunked: isCoded, length: -1}
	if !hasLength {
		return f, nil
	}
	h["Content-Length"] = lengths[:1]
	var err error
	f.length, err = parseLength(lengths)
	return f, err
}

// parseLength returns the length that all values state.
func parseLength(values []string) (int64, error) {
	first := textproto.TrimString(values[0])
	// ParseUint refuses signs.
	length, err := strconv.ParseUint(first, 10, 63)
	if err != nil {
		return 0, malformed("length %q", first)
	}
	for _, value := range values[1:] {
		if textproto.TrimString(value) != first {
			return 0, malformed("different lengths %q", values)
		}
	}
	return int64(length), nil
}

// hasBody reports whether the response to a request with the method has a body.
func hasBody(method string, status int) bool {
	return method != http.MethodHead && status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// keepsAlive reports whether the server states that it keeps the connection open.
func keepsAlive(h http.Header, minor int) bool {
	if hasOption(h["Connection"], "close") {
		return false
	}
	return minor > 0 || hasOption(h["Connection"], "keep-alive")
}

// hasOption reports whether a field that holds a list contains the option.
func hasOption(values []string, option string) bool {
	for _, value := range values {
		for element := range strings.SplitSeq(value, ",") {
			if strings.EqualFold(textproto.TrimString(element), option) {
				return true
			}
		}
	}
	return false
}
