package peer

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/relay"
	"github.com/vanillabarrow/vanillabarrow/internal/rollout"
)

func refuseAll(context.Context, *vanillabarrow.Attempt) (*vanillabarrow.Response, error) {
	return nil, vanillabarrow.NotRun(vanillabarrow.ReasonNoConfig, "")
}

// empty is a configuration before the first.
type empty struct{}

func (empty) Snapshot() *vanillabarrow.Snapshot { return nil }

// TestMet sends an attempt to a node: only one without a configuration notes who
// sent it.
func TestMet(t *testing.T) {
	tests := map[string]struct {
		cfg  vanillabarrow.Configuration
		want []string
	}{
		"without configuration": {empty{}, []string{"127.0.0.1"}},
		"with configuration":    {configured{}, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			gate := &fakeGate{handle: refuseAll}
			saw := &seen{}
			server := NewServer(gate, tt.cfg, saw, slog.New(slog.DiscardHandler))
			ts := httptest.NewServer(server.Handler(NewRelayServer(relay.NewServer(rollout.New()))))
			defer ts.Close()
			request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, ts.URL+"/returns", nil)
			require.NoError(t, err)
			a := &vanillabarrow.Attempt{
				ID: "a", Target: &vanillabarrow.Target{Name: "t"}, Deadline: time.Now().Add(time.Second), Request: &vanillabarrow.Request{},
			}
			writeAttempt(request.Header, a, "vm", time.Now())
			response, err := http.DefaultClient.Do(request)
			require.NoError(t, err)
			require.NoError(t, response.Body.Close())
			require.Equal(t, tt.want, saw.met)
		})
	}
}

// TestMetAddress checks where the news of a node that was met are asked for.
func TestMetAddress(t *testing.T) {
	tests := map[string]struct {
		self string
		want []string
	}{
		"a VM of its own": {"10.1.0.9:7380", []string{"10.1.0.7:7380"}},
		"loopback":        {"127.0.0.1:7380", nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			self, err := net.ResolveTCPAddr("tcp", tt.self)
			require.NoError(t, err)
			r := &hinted{}
			o := &observer{rollout: r, self: self}
			o.Met("10.1.0.7")
			require.Equal(t, tt.want, r.addresses)
		})
	}
}

// hinted keeps the addresses of hints.
type hinted struct {
	vanillabarrow.Rollout
	addresses []string
}

func (h *hinted) Hint(address string) { h.addresses = append(h.addresses, address) }
