package http1

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

const (
	maxHeadBytes = 64 << 10
	// next is a response that follows another on its connection.
	next = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnext"
)

// wholeResponses are responses that HTTP/1.1 allows.
var wholeResponses = map[string]struct {
	method, response, body string
	keepAlive              bool
}{
	"length":                       {http.MethodGet, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", "whole", true},
	"no content":                   {http.MethodGet, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "", true},
	"equal lengths":                {http.MethodGet, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\nwhole", "whole", true},
	"chunks":                       {http.MethodGet, "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n3\r\nwho\r\n2\r\nle\r\n0\r\n\r\n", "whole", true},
	"chunk extension":              {http.MethodGet, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;a=b\r\nwhole\r\n0\r\n\r\n", "whole", true},
	"trailer":                      {http.MethodGet, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nX-A: 1\r\nX-B: 2\r\n\r\n", "whole", true},
	"end of the connection":        {http.MethodGet, "HTTP/1.1 200 OK\r\n\r\nwhole", "whole", false},
	"connection close":             {http.MethodGet, "HTTP/1.1 200 OK\r\nConnection: x, Close\r\nContent-Length: 5\r\n\r\nwhole", "whole", false},
	"HTTP/1.0":                     {http.MethodGet, "HTTP/1.0 200 OK\r\n\r\nwhole", "whole", false},
	"HTTP/1.0 with a length":       {http.MethodGet, "HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nwhole", "whole", false},
	"HTTP/1.0 that is kept open":   {http.MethodGet, "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 5\r\n\r\nwhole", "whole", true},
	"later minor version":          {http.MethodGet, "HTTP/1.2 200 OK\r\nContent-Length: 5\r\n\r\nwhole", "whole", true},
	"HEAD":                         {http.MethodHead, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", "", true},
	"HEAD without a length":        {http.MethodHead, "HTTP/1.1 200 OK\r\n\r\n", "", false},
	"HEAD with a transfer coding":  {http.MethodHead, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "", true},
	"no content status":            {http.MethodGet, "HTTP/1.1 204 No Content\r\n\r\n", "", true},
	"not modified with a length":   {http.MethodGet, "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n", "", true},
	"not modified with both":       {http.MethodGet, "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n", "", true},
	"informational":                {http.MethodGet, "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n", "", true},
	"lowest final status":          {http.MethodGet, "HTTP/1.1 200 \r\nContent-Length: 0\r\n\r\n", "", true},
	"highest status":               {http.MethodGet, "HTTP/1.1 599 Odd\r\nContent-Length: 0\r\n\r\n", "", true},
	"no reason phrase":             {http.MethodGet, "HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n", "", true},
	"spaces before the status":     {http.MethodGet, "HTTP/1.1   200 OK\r\nContent-Length: 0\r\n\r\n", "", true},
	"reason phrase above 127":      {http.MethodGet, "HTTP/1.1 200 \xc3\xa9t\xe9\r\nContent-Length: 0\r\n\r\n", "", true},
	"all characters of a token":    {http.MethodGet, "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: 1\r\nContent-Length: 0\r\n\r\n", "", true},
	"folded value":                 {http.MethodGet, "HTTP/1.1 200 OK\r\nX-A: a\r\n \t b\r\nContent-Length:\r\n 5\r\n\r\nwhole", "whole", true},
	"value above 127 and with tab": {http.MethodGet, "HTTP/1.1 200 OK\r\nX-A: \xff\tb\r\nX-B:\r\nContent-Length: 0\r\n\r\n", "", true},
	"lines without CR":             {http.MethodGet, "HTTP/1.1 200 OK\nContent-Length: 5\n\nwhole", "whole", true},
}

// readAll reads the response to a request with the method, and its body.
func readAll(r *Reader, method string) (*Response, string, error) {
	response, err := r.ReadResponse(method)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}

// TestWholeResponse checks that a response is read as net/http reads it, however it
// arrives, and that the response after it is found.
func TestWholeResponse(t *testing.T) {
	arrivals := map[string]func(io.Reader) io.Reader{
		"at once":      func(r io.Reader) io.Reader { return r },
		"byte by byte": iotest.OneByteReader,
	}
	for name, tt := range wholeResponses {
		for arrival, arrives := range arrivals {
			t.Run(name+"/"+arrival, func(t *testing.T) {
				input := tt.response
				if tt.keepAlive {
					input += next
				}
				r := NewReader(arrives(strings.NewReader(input)), maxHeadBytes)
				response, body, err := readAll(r, tt.method)
				require.NoError(t, err)
				require.Equal(t, tt.body, body)
				require.Equal(t, tt.keepAlive, response.KeepAlive)
				requireAgreement(t, response, body, tt.method, input)
				if tt.keepAlive {
					_, body, err = readAll(r, http.MethodGet)
					require.NoError(t, err)
					require.Equal(t, "next", body)
				}
			})
		}
	}
}

// requireAgreement checks that net/http reads the same response from the input.
func requireAgreement(t *testing.T, response *Response, body, method, input string) {
	want, err := http.ReadResponse(bufio.NewReader(strings.NewReader(input)), &http.Request{Method: method})
	require.NoError(t, err)
	wantBody, err := io.ReadAll(want.Body)
	require.NoError(t, err)
	require.Equal(t, want.StatusCode, response.Status)
	require.Equal(t, want.ContentLength, response.Length)
	require.Equal(t, string(wantBody), body)
	// net/http removes these fields, and adds Cache-Control to Pragma.
	for _, name := range []string{"Connection", "Trailer", "Pragma", "Cache-Control"} {
		want.Header.Del(name)
		response.Header.Del(name)
	}
	require.Equal(t, want.Header, response.Header)
}

// TestResponseThatBreaksOff cuts responses anywhere. No cut one may pass for a whole
// one, unless its end is that of the connection.
func TestResponseThatBreaksOff(t *testing.T) {
	for name, tt := range wholeResponses {
		t.Run(name, func(t *testing.T) {
			bodyStart := strings.Index(tt.response, "\r\n\r\n") + len("\r\n\r\n")
			for cut := range len(tt.response) {
				response, _, err := readAll(NewReader(strings.NewReader(tt.response[:cut]), maxHeadBytes), tt.method)
				endsWithConnection := response != nil && response.Length < 0 && !strings.Contains(tt.response, "chunked") && !strings.Contains(tt.response, "Chunked")
				if endsWithConnection && cut >= bodyStart {
					require.NoError(t, err)
					continue
				}
				require.Error(t, err, "cut after %q", tt.response[:cut])
			}
		})
	}
}

// TestStatus checks which of all numbers of three digits are statuses.
func TestStatus(t *testing.T) {
	for status := range 1000 {
		input := fmt.Sprintf("HTTP/1.1 %03d Reason\r\nContent-Length: 0\r\n\r\n", status)
		response, _, err := readAll(NewReader(strings.NewReader(input), maxHeadBytes), http.MethodGet)
		if status < 100 || status > 599 || status == http.StatusSwitchingProtocols {
			require.ErrorIs(t, err, ErrMalformed, status)
			continue
		}
		require.NoError(t, err, status)
		require.Equal(t, status, response.Status)
		require.Equal(t, status >= 200, IsFinalStatus(status))
	}
}

// FuzzReader checks that what is read without an error is what net/http reads.
func FuzzReader(f *testing.F) {
	for _, tt := range wholeResponses {
		f.Add(tt.method, []byte(tt.response+next))
	}
	f.Fuzz(func(t *testing.T, method string, input []byte) {
		response, body, err := readAll(NewReader(bytes.NewReader(input), maxHeadBytes), method)
		if err != nil {
			return
		}
		requireAgreement(t, response, body, method, string(input))
	})
}
