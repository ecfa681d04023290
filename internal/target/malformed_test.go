package target

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// malformedResponses are no responses of HTTP/1.1, each with a body that looks like a
// response of its own.
var malformedResponses = map[string]string{
	"status 000":                 "HTTP/1.1 000 \r\n\r\n" + matching,
	"status 000 with a length":   "HTTP/1.1 000 None\r\nX-Id: ID\r\nContent-Length: 46\r\n\r\n" + matching,
	"status 099":                 "HTTP/1.1 099 Low\r\n\r\n" + matching,
	"status 600":                 "HTTP/1.1 600 High\r\nX-Id: ID\r\nContent-Length: 46\r\n\r\n" + matching,
	"status 999":                 "HTTP/1.1 999 High\r\nX-Id: ID\r\nContent-Length: 46\r\n\r\n" + matching,
	"status with a sign":         "HTTP/1.1 +99 OK\r\n\r\n" + matching,
	"status of two digits":       "HTTP/1.1 20 OK\r\n\r\n" + matching,
	"status of four digits":      "HTTP/1.1 2000 OK\r\n\r\n" + matching,
	"no status":                  "HTTP/1.1\r\n\r\n" + matching,
	"status 000 after 100":       "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 None\r\n\r\n" + matching,
	"protocol not requested":     "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n" + matching,
	"version of HTTP/2":          "HTTP/2.0 200 OK\r\nX-Id: ID\r\nContent-Length: 46\r\n\r\n" + matching,
	"version of HTTP/0":          "HTTP/0.9 200 OK\r\nX-Id: ID\r\nContent-Length: 46\r\n\r\n" + matching,
	"empty line before the head": "\r\n" + matching,
	"blank in a name":            "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX Field: a\r\nContent-Length: 46\r\n\r\n" + matching,
	"blank after a name":         "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Field : a\r\nContent-Length: 46\r\n\r\n" + matching,
	"blank after the length":     "HTTP/1.1 200 OK\r\nX-Id: ID\r\nContent-Length : 2\r\n\r\nok" + matching,
	"blank after the coding":     "HTTP/1.1 200 OK\r\nX-Id: ID\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"tab after a name":           "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Field\t: a\r\nContent-Length: 46\r\n\r\n" + matching,
	"control byte in a name":     "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-\x01Field: a\r\nContent-Length: 46\r\n\r\n" + matching,
	"NUL in a name":              "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-\x00Field: a\r\nContent-Length: 46\r\n\r\n" + matching,
	"DEL in a name":              "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-\x7fField: a\r\nContent-Length: 46\r\n\r\n" + matching,
	"name above 127":             "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-\xe9Field: a\r\nContent-Length: 46\r\n\r\n" + matching,
	"delimiter in a name":        "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX(Field): a\r\nContent-Length: 46\r\n\r\n" + matching,
	"no name":                    "HTTP/1.1 200 OK\r\nX-Id: ID\r\n: a\r\nContent-Length: 46\r\n\r\n" + matching,
	"no colon":                   "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Field\r\nContent-Length: 46\r\n\r\n" + matching,
	"fold before the first name": "HTTP/1.1 200 OK\r\n X-Id: ID\r\nContent-Length: 46\r\n\r\n" + matching,
	"control byte in a value":    "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Field: a\rX-Other: b\r\nContent-Length: 46\r\n\r\n" + matching,
	"length and coding":          "HTTP/1.1 200 OK\r\nX-Id: ID\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"coding and length":          "HTTP/1.1 200 OK\r\nX-Id: ID\r\nTransfer-Encoding: chunked\r\nContent-Length: 46\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"coding in HTTP/1.0":         "HTTP/1.0 200 OK\r\nX-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"unknown coding":             "HTTP/1.1 200 OK\r\nX-Id: ID\r\nTransfer-Encoding: gzip\r\n\r\nok",
	"two codings":                "HTTP/1.1 200 OK\r\nX-Id: ID\r\nTransfer-Encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"coding twice":               "HTTP/1.1 200 OK\r\nX-Id: ID\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"empty coding":               "HTTP/1.1 200 OK\r\nX-Id: ID\r\nTransfer-Encoding:\r\n\r\nok",
	"different lengths":          "HTTP/1.1 200 OK\r\nX-Id: ID\r\nContent-Length: 2\r\nContent-Length: 46\r\n\r\n" + matching,
	"length with a sign":         "HTTP/1.1 200 OK\r\nX-Id: ID\r\nContent-Length: +2\r\n\r\nok",
	"negative length":            "HTTP/1.1 200 OK\r\nX-Id: ID\r\nContent-Length: -1\r\n\r\nok",
	"length that is no number":   "HTTP/1.1 200 OK\r\nX-Id: ID\r\nContent-Length: 2x\r\n\r\nok",
	"empty length":               "HTTP/1.1 200 OK\r\nX-Id: ID\r\nContent-Length:\r\n\r\nok",
	"length out of range":        "HTTP/1.1 200 OK\r\nX-Id: ID\r\nContent-Length: 9223372036854775808\r\n\r\nok",
	"blank in a name after 103":  "HTTP/1.1 103 Early Hints\r\nLi nk: a\r\n\r\n" + matching,
}

// TestMalformedResponse checks that a malformed response is not passed on, neither
// itself nor what follows it, that it leaves open whether the request ran, and that
// its connection is not used again.
func TestMalformedResponse(t *testing.T) {
	for name, malformed := range malformedResponses {
		t.Run(name, func(t *testing.T) {
			target := &rawTarget{responses: []string{malformed, matching}}
			e := startRawTarget(t, target)
			response, err := e.Execute(t.Context(), attemptWithID("one", []byte("body")))
			require.Error(t, err, response)
			requireTargetFailed(t, err)
			response, err = e.Execute(t.Context(), attemptWithID("two", []byte("body")))
			require.NoError(t, err)
			require.Equal(t, "ok", string(response.Body))
			require.EqualValues(t, 2, target.dialed.Load(), "connections")
		})
	}
}

// malformedBodies are bodies of responses in chunks that are malformed.
var malformedBodies = map[string]string{
	"size of a chunk":              "x\r\nok\r\n0\r\n\r\n",
	"negative size":                "-2\r\nok\r\n0\r\n\r\n",
	"end of a chunk":               "2\r\nokay\r\n0\r\n\r\n",
	"blank in a name of a trailer": "2\r\nok\r\n0\r\nX Field: a\r\n\r\n",
	"blank after a trailer's name": "2\r\nok\r\n0\r\nX-Field : a\r\n\r\n",
	"control byte in a trailer":    "2\r\nok\r\n0\r\nX-\x01Field: a\r\n\r\n",
	"no colon in a trailer":        "2\r\nok\r\n0\r\nX-Field\r\n\r\n",
	"no trailer":                   "2\r\nok\r\n0\r\n" + matching,
}

// TestMalformedBody checks that a response with a malformed body is not passed on, that
// it leaves open whether the request ran, and that its connection is not used again.
func TestMalformedBody(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, malformed := range malformedBodies {
		t.Run(name, func(t *testing.T) {
			target := &rawTarget{responses: []string{head + malformed, matching}}
			e := startRawTarget(t, target)
			_, err := e.Execute(t.Context(), attemptWithID("one", []byte("body")))
			require.Error(t, err)
			requireTargetFailed(t, err)
			_, err = e.Execute(t.Context(), attemptWithID("two", []byte("body")))
			require.NoError(t, err)
			require.EqualValues(t, 2, target.dialed.Load(), "connections")
		})
	}
}

// TestMalformedHealthResponse checks that a malformed response to a health check is
// none of a healthy target.
func TestMalformedHealthResponse(t *testing.T) {
	for name, malformed := range malformedResponses {
		t.Run(name, func(t *testing.T) {
			e := startRawTarget(t, &rawTarget{responses: []string{malformed}})
			setHealthPath(e)
			_, err := e.Check(t.Context())
			require.Error(t, err)
		})
	}
}
