package run

import (
	"bytes"
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/vanillabarrow/vanillabarrow/internal/logging"
	"github.com/vanillabarrow/vanillabarrow/internal/settings"
)

// settingsPollInterval is how often the settings file is read, because it may
// change without a signal.
const settingsPollInterval = time.Second

// notifyHangups returns a channel that receives SIGHUP from now on.
func notifyHangups() chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// reloader applies changed settings.
type reloader interface {
	Reload(s settings.Settings)
}

// watcher reloads the settings file when it changes. It reads the file at
// intervals and on SIGHUP.
type watcher struct {
	opts   *Options
	node   reloader
	logger *slog.Logger
	// last is the content of the file that was last applied or rejected.
	last []byte
	// hangups receives SIGHUP. It is never unregistered: without a receiver, the
	// signal would kill a process that still has requests in flight.
	hangups chan os.Signal
}

// newWatcher returns a watcher for a node that was started with the given content
// of the settings file.
func newWatcher(opts *Options, content []byte, node reloader, logger *slog.Logger, hangups chan os.Signal) *watcher {
	return &watcher{opts: opts, node: node, logger: logger, last: content, hangups: hangups}
}

func (w *watcher) run(ctx context.Context) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-w.hangups:
			w.reloadIfChanged()
		case <-ticker.C:
			w.reloadIfChanged()
		case <-ctx.Done():
			return
		}
	}
}

// reloadIfChanged applies the settings if the file has changed. If the file is
// invalid, the node keeps its settings.
func (w *watcher) reloadIfChanged() {
	b, err := w.opts.ReadFile(w.opts.SettingsFile)
	if err != nil {
		w.logger.Warn(logging.EventSettingsUnreadable, "file", w.opts.SettingsFile, "error", err)
		return
	}
	if bytes.Equal(b, w.last) {
		return
	}
	w.last = b
	s, err := parse(w.opts, b)
	if err != nil {
		w.logger.Warn(logging.EventSettingsRejected, "error", err)
		return
	}
	w.node.Reload(s)
}
