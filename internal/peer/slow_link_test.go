package peer

import (
	"crypto/rand"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/discovery"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
	"github.com/vanillabarrow/vanillabarrow/internal/relay"
	"github.com/vanillabarrow/vanillabarrow/internal/rollout"
)

// slowWriter writes large content in pieces, with a delay before each.
type slowWriter struct {
	http.ResponseWriter
	pieces int
	delay  time.Duration
}

func (w *slowWriter) Write(p []byte) (int, error) {
	size := max(len(p)/w.pieces, 1)
	written := 0
	for written < len(p) {
		if size > 1 {
			time.Sleep(w.delay)
		}
		n, err := w.ResponseWriter.Write(p[written:min(written+size, len(p))])
		written += n
		if err != nil {
			return written, err
		}
		w.Flush()
	}
	return written, nil
}

// Flush implements http.Flusher.
func (w *slowWriter) Flush() { _ = http.NewResponseController(w.ResponseWriter).Flush() }

// startSlowRelay starts a node that holds a version and sends it slowly. It
// returns the node's address.
func startSlowRelay(t *testing.T, pieces int, delay time.Duration) string {
	return startRelay(t, func(w http.ResponseWriter) http.ResponseWriter { return &slowWriter{w, pieces, delay} })
}

// startSlowDiscovery starts a node that holds a large item and sends it slowly.
// It returns the node's address.
func startSlowDiscovery(t *testing.T, pieces int, delay time.Duration) string {
	table := discovery.NewTable("sender", nil)
	table.Merge(&vanillabarrow.Delta{AsOf: 3, Full: true, Items: []vanillabarrow.Item{
		{Key: "routes", Value: []byte(strings.Repeat(rand.Text(), 50)), Revision: 3},
	}}, time.Now())
	server := NewDiscoveryServer(discovery.NewServer(table, vanillabarrow.DefaultBounds(), slog.New(slog.DiscardHandler), tally.NoopScope))
	return startService(t, server, func(w http.ResponseWriter) http.ResponseWriter { return &slowWriter{w, pieces, delay} })
}

// startRelay starts a node that holds a version and writes responses to what
// wrap returns. It returns the node's address.
func startRelay(t *testing.T, wrap func(http.ResponseWriter) http.ResponseWriter) string {
	table := rollout.New()
	_, err := table.Offer(&vanillabarrow.Bundle{
		Topic: vanillabarrow.TopicConfig, Version: 3,
		Root: fmt.Appendf(nil, "kind: config\nschema: 1\nregions: [{name: r}]\n# %s\n", strings.Repeat(rand.Text(), 50)),
	}, time.Now())
	require.NoError(t, err)
	return startService(t, NewRelayServer(relay.NewServer(table)), wrap)
}

// startService starts a node that writes the responses of a service to what wrap
// returns. It returns the node's address.
func startService(t *testing.T, service DistributionService, wrap func(http.ResponseWriter) http.ResponseWriter) string {
	path, handler := service.Mount()
	mux := http.NewServeMux()
	mux.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
		handler.ServeHTTP(wrap(w), r)
	})
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	ts := httptest.NewUnstartedServer(mux)
	ts.Config.Protocols = protocols
	ts.Start()
	t.Cleanup(ts.Close)
	return strings.TrimPrefix(ts.URL, "http://")
}

// TestStreamContinuesWhileAnUpdateArrivesSlowly guards against a stream that ends
// as silent while a large update is being received.
func TestStreamContinuesWhileAnUpdateArrivesSlowly(t *testing.T) {
	t.Parallel()
	const pieces = 8
	address := startSlowRelay(t, pieces, (relay.HeartbeatTimeout+time.Second)/pieces)
	client := NewRelayClient("vm", kernel.NewTraffic())
	defer client.Close()
	stop := errors.New("stop")
	err := client.Watch(t.Context(), address, nil, false, func(vanillabarrow.StreamMessage) error { return stop })
	require.ErrorIs(t, err, stop)
}

// TestDeltaArrivesSlowly guards against a stream or a pull that ends as silent
// while a large delta is being received.
func TestDeltaArrivesSlowly(t *testing.T) {
	t.Parallel()
	const pieces = 8
	tests := map[string]struct {
		delay time.Duration
		err   error
	}{
		"in pieces": {(discovery.HeartbeatTimeout + time.Second) / pieces, nil},
		"silence":   {2 * discovery.HeartbeatTimeout, kernel.ErrNoProgress},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			client := NewDiscoveryClient("vm", kernel.NewTraffic())
			defer client.Close()
			stop := errors.New("stop")
			err := client.Follow(t.Context(), startSlowDiscovery(t, pieces, tt.delay), vanillabarrow.ItemRequest{},
				func(*vanillabarrow.Delta) error { return stop })
			if tt.err == nil {
				tt.err = stop
			}
			require.ErrorIs(t, err, tt.err)
		})
	}
}

// TestStreamEndsWithoutMessages guards against a stream that never ends although
// its peer is silent.
func TestStreamEndsWithoutMessages(t *testing.T) {
	t.Parallel()
	address := startSlowRelay(t, 1, 2*relay.HeartbeatTimeout)
	client := NewRelayClient("vm", kernel.NewTraffic())
	defer client.Close()
	err := client.Watch(t.Context(), address, nil, false, func(vanillabarrow.StreamMessage) error { return nil })
	require.ErrorIs(t, err, kernel.ErrNoProgress)
}

// blockedWriter reports each write that begins, and makes it wait.
type blockedWriter struct {
	http.ResponseWriter
	begun   chan<- struct{}
	proceed <-chan struct{}
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	select {
	case w.begun <- struct{}{}:
	case <-w.proceed:
	}
	<-w.proceed
	return w.ResponseWriter.Write(p)
}

// TestFetchIsCountedUntilItIsSent guards against full copies for more nodes at a
// time than a node allows, since connect sends a response after its handler.
func TestFetchIsCountedUntilItIsSent(t *testing.T) {
	const allowed = 4
	begun, proceed := make(chan struct{}), make(chan struct{})
	address := startRelay(t, func(w http.ResponseWriter) http.ResponseWriter { return &blockedWriter{w, begun, proceed} })
	client := NewRelayClient("vm", kernel.NewTraffic())
	defer client.Close()
	empty := vanillabarrow.TopicState{Topic: vanillabarrow.TopicConfig}
	results := make(chan error)
	fetch := func() {
		_, err := client.Fetch(t.Context(), address, empty)
		results <- err
	}
	for range allowed {
		go fetch()
		<-begun
	}
	go fetch()
	<-begun
	close(proceed)
	refused := 0
	for range allowed + 1 {
		if err := <-results; err != nil {
			require.Equal(t, connect.CodeResourceExhausted, connect.CodeOf(err))
			refused++
		}
	}
	require.Equal(t, 1, refused)
}
