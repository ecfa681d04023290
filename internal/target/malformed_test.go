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
			require.Nil(t, response)
			requireTargetFailed(t, err)
			response, err = e.Execute(t.Context(), attemptWithID("two", []byte("body")))
			require.NoError(t, err)
			require.Equal(t, "ok", string(response.Body))
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
