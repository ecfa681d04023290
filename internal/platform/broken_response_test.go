package platform

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
	"github.com/vanillabarrow/vanillabarrow/internal/standin"
)

// TestBrokenValue checks that no value is taken from a broken response, and that its
// connection is not used again.
func TestBrokenValue(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRevision: 7\r\n"
	tests := map[string]struct {
		response string
		// whole is set for a response with a value.
		whole bool
	}{
		"length":                   {head + "Content-Length: 5\r\n\r\nvalue", true},
		"chunks":                   {head + "Transfer-Encoding: chunked\r\n\r\n5\r\nvalue\r\n0\r\n\r\n", true},
		"breaks off in its head":   {head, false},
		"breaks off in its body":   {head + "Content-Length: 6\r\n\r\nvalue", false},
		"breaks off in a chunk":    {head + "Transfer-Encoding: chunked\r\n\r\n6\r\nvalue", false},
		"breaks off after a chunk": {head + "Transfer-Encoding: chunked\r\n\r\n5\r\nvalue\r\n", false},
		"malformed trailer":        {head + "Transfer-Encoding: chunked\r\n\r\n5\r\nvalue\r\n0\r\nX-Field\r\n\r\n", false},
		"ends with its connection": {head + "\r\nvalue", false},
		"status 000":               {"HTTP/1.1 000 None\r\nRevision: 7\r\nContent-Length: 5\r\n\r\nvalue", false},
		"status 600":               {"HTTP/1.1 600 High\r\nRevision: 7\r\nContent-Length: 5\r\n\r\nvalue", false},
		"blank in a name":          {head + "X Field: a\r\nContent-Length: 5\r\n\r\nvalue", false},
		"blank after the length":   {head + "Content-Length : 3\r\n\r\nvalue", false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			service, err := standin.NewRawServer(standin.RawConfig{Response: tt.response})
			require.NoError(t, err)
			defer func() { _ = service.Close() }()
			client := New("http://"+service.Address(), "dc", kernel.NewTraffic())
			defer client.Close()
			for range 2 {
				value, err := client.Read(t.Context(), "config")
				require.Equal(t, tt.whole, err == nil, err)
				if tt.whole {
					require.Equal(t, "value", string(value.Bytes))
				}
			}
			require.Equal(t, 2, service.Dialed(), "connections")
		})
	}
}
