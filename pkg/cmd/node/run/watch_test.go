package run

import (
	"context"
	"errors"
	"log/slog"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillabarrow/vanillabarrow/internal/settings"
)

// reloads keeps the services of the settings taken over.
type reloads struct {
	services []string
}

func (r *reloads) Reload(s settings.Settings) { r.services = append(r.services, s.Node.Service) }

func TestLook(t *testing.T) {
	good := "node: {vm: v, dataCentre: a, target: t, service: new}\n" +
		"listen: {caller: \"127.0.0.1:1\", peer: \"127.0.0.1:2\"}\nplatform: {url: \"http://127.0.0.1:3\"}\n"
	tests := map[string]struct {
		content string
		err     error
		want    []string
	}{
		"changed":       {good, nil, []string{"new"}},
		"unchanged":     {"old", nil, nil},
		"wrong":         {"node: {vm: v}\n", nil, nil},
		"can't be read": {"", errors.New("gone"), nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			node := &reloads{}
			content, failure := "old", error(nil)
			opts := &Options{SettingsFile: "node.yaml", ReadFile: func(string) ([]byte, error) { return []byte(content), failure }}
			w := newWatcher(opts, node, slog.New(slog.DiscardHandler), nil)
			content, failure = tt.content, tt.err
			w.look()
			w.look()
			require.Equal(t, tt.want, node.services, "each change is taken over once")
		})
	}
}

// TestHangupWhileStopping sends SIGHUP to a process whose watcher has ended
// because the node stops. The process goes on.
func TestHangupWhileStopping(t *testing.T) {
	var reads atomic.Int64
	opts := &Options{ReadFile: func(string) ([]byte, error) {
		reads.Add(1)
		return nil, nil
	}}
	hangups := notifyHangups()
	w := newWatcher(opts, &reloads{}, slog.New(slog.DiscardHandler), hangups)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	w.run(ctx)
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	select {
	case <-hangups:
	case <-time.After(10 * time.Second):
		require.Fail(t, "the signal was not received")
	}
}
