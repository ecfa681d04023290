package load

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillabarrow/vanillabarrow/internal/standin"
)

// TestBrokenResponse checks that a broken response counts neither as finished nor as
// wrong, but as the lack of a verdict.
func TestBrokenResponse(t *testing.T) {
	const (
		verdict = "Vb-Verdict: finished\r\n"
		body    = `{"target":"t1"}` // 15 bytes
	)
	tests := map[string]standin.RawConfig{
		"breaks off in its head":      {Response: "HTTP/1.1 200 OK\r\n" + verdict},
		"breaks off in its body":      {Response: "HTTP/1.1 200 OK\r\n" + verdict + "Content-Length: 16\r\n\r\n" + body},
		"reset beside the upload":     {Response: "HTTP/1.1 200 OK\r\n" + verdict + "\r\n" + body[:7], Early: true, Reset: true},
		"status 000":                  {Response: "HTTP/1.1 000 None\r\n" + verdict + "Content-Length: 15\r\n\r\n" + body},
		"status 600":                  {Response: "HTTP/1.1 600 High\r\n" + verdict + "Content-Length: 15\r\n\r\n" + body},
		"blank in a name":             {Response: "HTTP/1.1 200 OK\r\n" + verdict + "X Field: a\r\nContent-Length: 15\r\n\r\n" + body},
		"blank after the length":      {Response: "HTTP/1.1 200 OK\r\n" + verdict + "Content-Length : 15\r\n\r\n" + body},
		"malformed trailer":           {Response: "HTTP/1.1 200 OK\r\n" + verdict + "Transfer-Encoding: chunked\r\n\r\nf\r\n" + body + "\r\n0\r\nX-Field\r\n\r\n"},
		"refusal that breaks off":     {Response: "HTTP/1.1 503 Busy\r\nVb-Verdict: not-run\r\nContent-Length: 16\r\n\r\n" + body},
		"refusal with a blank":        {Response: "HTTP/1.1 503 Busy\r\nVb-Verdict: not-run\r\nX Field: a\r\nContent-Length: 0\r\n\r\n"},
		"refusal reset in its upload": {Response: "HTTP/1.1 503 Busy\r\nVb-Verdict: not-run\r\n\r\n" + body, Early: true, Reset: true},
	}
	for name, cfg := range tests {
		t.Run(name, func(t *testing.T) {
			server, err := standin.NewRawServer(cfg)
			require.NoError(t, err)
			defer func() { _ = server.Close() }()
			result := New(Config{
				Addresses: []string{server.Address()}, Paths: []string{"/a"}, Rate: 400, Duration: 250 * time.Millisecond,
				Writes: 1, BodyBytes: 4 << 20, Timeout: time.Minute,
			}).Run(t.Context())
			require.Positive(t, result.Offered)
			require.Equal(t, result.Offered, result.NoVerdict, "%s", result)
			require.Zero(t, result.WrongResponses)
		})
	}
}
