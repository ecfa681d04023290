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

// watchInterval is how often the settings file is looked at, since it may
// change without a signal.
const watchInterval = time.Second

// notifyHangups returns a channel that gets SIGHUP from now on.
func notifyHangups() chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// reloader takes over changed settings.
type reloader interface {
	Reload(s settings.Settings)
}

// watcher reads the settings file again when it changes or SIGHUP comes.
type watcher struct {
	opts   *Options
	node   reloader
	logger *slog.Logger
	last   []byte
	// hangups gets SIGHUP. It is never unregistered: without a receiver the
	// signal would end a process that is finishing its work.
	hangups chan os.Signal
}

func newWatcher(opts *Options, node reloader, logger *slog.Logger, hangups chan os.Signal) *watcher {
	last, err := opts.ReadFile(opts.SettingsFile)
	if err != nil {
		logger.Warn(logging.EventSettingsUnreadable, "file", opts.SettingsFile, "error", err)
	}
	return &watcher{opts: opts, node: node, logger: logger, last: last, hangups: hangups}
}

func (w *watcher) run(ctx context.Context) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-w.hangups:
			w.look()
		case <-ticker.C:
			w.look()
		case <-ctx.Done():
			return
		}
	}
}

// look takes over the settings if the file changed. A file that is wrong
// changes nothing.
func (w *watcher) look() {
	b, err := w.opts.ReadFile(w.opts.SettingsFile)
	if err != nil {
		w.logger.Warn(logging.EventSettingsUnreadable, "file", w.opts.SettingsFile, "error", err)
		return
	}
	if bytes.Equal(b, w.last) {
		return
	}
	w.last = b
	s, err := load(w.opts)
	if err != nil {
		w.logger.Warn(logging.EventSettingsRejected, "error", err)
		return
	}
	w.node.Reload(s)
}
