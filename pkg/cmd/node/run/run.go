// Package run implements "vanillabarrow node run".
package run

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/build"
	"github.com/vanillabarrow/vanillabarrow/internal/logging"
	"github.com/vanillabarrow/vanillabarrow/internal/node"
	"github.com/vanillabarrow/vanillabarrow/internal/settings"
	"github.com/vanillabarrow/vanillabarrow/pkg/cmdutil"
	"github.com/vanillabarrow/vanillabarrow/pkg/iostreams"
	"github.com/vanillabarrow/vanillabarrow/platform"
)

// gcPercent is below Go's default of 100: it trades some CPU time for a smaller
// heap, because the node shares its VM with the target.
const gcPercent = 50

// Options are the inputs of the command.
type Options struct {
	IO       *iostreams.IOStreams
	ReadFile func(name string) ([]byte, error)

	SettingsFile string
	// The following fields, up to GracePeriod, override the settings of the
	// file unless they are empty.
	VM              string
	DataCentre      string
	Target          string
	CallerAddress   string
	PeerAddress     string
	OperatorAddress string
	PlatformURL     string
	LogLevel        string
	// The bounds of the deployment are durations such as 2s.
	ConfigApply     string
	Drain           string
	StabilityWindow string
	GracePeriod     string
	// MemoryMB and FileDescriptors state what the VM gives the process.
	MemoryMB        string
	FileDescriptors string
	CheckOnly       bool
}

// NewCmdRun returns the command. If runF is not nil, it replaces the action, so
// that a test can check the options.
func NewCmdRun(f *cmdutil.Factory, runF func(ctx context.Context, opts *Options) error) *ffcli.Command {
	opts := &Options{IO: f.IO, ReadFile: f.ReadFile}
	fs := cmdutil.NewFlagSet("run")
	fs.StringVar(&opts.SettingsFile, "settings", "", "read settings from `file`")
	fs.StringVar(&opts.VM, "vm", "", "`name` of the VM")
	fs.StringVar(&opts.DataCentre, "data-centre", "", "`name` of the data centre")
	fs.StringVar(&opts.Target, "target", "", "`name` of the target on the VM")
	fs.StringVar(&opts.CallerAddress, "listen-caller", "", "`address` to listen on for callers")
	fs.StringVar(&opts.PeerAddress, "listen-peer", "", "`address` to listen on for other nodes")
	fs.StringVar(&opts.OperatorAddress, "listen-operator", "", "`address` to listen on for operators")
	fs.StringVar(&opts.PlatformURL, "platform-url", "", "`URL` of the platform's configuration service")
	fs.StringVar(&opts.LogLevel, "log-level", "", "log `level`: debug, info, warn or error")
	fs.StringVar(&opts.ConfigApply, "config-apply", "", "`time` within which a change of the configuration is in force, such as 2s")
	fs.StringVar(&opts.Drain, "drain", "", "`time` after which a removed target gets no more requests")
	fs.StringVar(&opts.StabilityWindow, "stability-window", "", "`time` after a disruption from which on the bounds hold again")
	fs.StringVar(&opts.GracePeriod, "grace-period", "", "`time` from SIGTERM until the process is killed")
	fs.StringVar(&opts.MemoryMB, "memory-mb", "", "memory of the process in `MiB`")
	fs.StringVar(&opts.FileDescriptors, "file-descriptors", "", "`number` of descriptors that the process may open")
	fs.BoolVar(&opts.CheckOnly, "check", false, "check the settings and exit")
	return &ffcli.Command{
		Name:       "run",
		ShortUsage: "vanillabarrow node run -settings <file> [flags]",
		ShortHelp:  "Run the node of a target",
		LongHelp: `Runs a node until it receives SIGTERM or SIGINT. The node then announces its
shutdown, waits for the requests in flight and exits.

Flags and environment variables (such as VANILLABARROW_LISTEN_PEER) take
precedence over the settings file.

Examples:
  vanillabarrow node run -settings node.yaml
  vanillabarrow node run -settings node.yaml -log-level debug`,
		FlagSet: fs,
		Options: cmdutil.ParseOptions(),
		Exec: func(ctx context.Context, args []string) error {
			if err := cmdutil.ExactArgs(args, 0, "no arguments"); err != nil {
				return err
			}
			if opts.SettingsFile == "" {
				opts.SettingsFile = os.Getenv(platform.SettingsVariable)
			}
			if opts.SettingsFile == "" {
				return cmdutil.FlagErrorf("-settings is required: give the path of the settings file")
			}
			if runF != nil {
				return runF(ctx, opts)
			}
			return run(ctx, opts)
		},
	}
}

// parse decodes the content of the settings file and applies the flags, which
// take precedence.
func parse(opts *Options, content []byte) (settings.Settings, error) {
	s, err := settings.Parse(opts.SettingsFile, content)
	if err != nil {
		return settings.Settings{}, err
	}
	for _, o := range []struct {
		value string
		into  *string
	}{
		{opts.VM, &s.Node.VM},
		{opts.DataCentre, &s.Node.DataCentre},
		{opts.Target, &s.Node.Target},
		{opts.CallerAddress, &s.Listen.Caller},
		{opts.PeerAddress, &s.Listen.Peer},
		{opts.OperatorAddress, &s.Listen.Operator},
		{opts.PlatformURL, &s.Platform.URL},
		{opts.LogLevel, &s.Log.Level},
	} {
		if o.value != "" {
			*o.into = o.value
		}
	}
	if err := applyBounds(opts, &s.Bounds); err != nil {
		return settings.Settings{}, err
	}
	if err := applyLimits(opts, &s.Limits); err != nil {
		return settings.Settings{}, err
	}
	s.ApplyGracePeriod()
	if err := s.Check(); err != nil {
		return settings.Settings{}, fmt.Errorf("%s: %w", opts.SettingsFile, err)
	}
	return s, nil
}

// applyBounds applies the flags of the bounds that are not empty.
func applyBounds(opts *Options, b *vanillabarrow.Bounds) error {
	for _, o := range []struct {
		flag  string
		value string
		into  *time.Duration
	}{
		{"config-apply", opts.ConfigApply, &b.ConfigApply},
		{"drain", opts.Drain, &b.Drain},
		{"stability-window", opts.StabilityWindow, &b.StabilityWindow},
		{"grace-period", opts.GracePeriod, &b.GracePeriod},
	} {
		if o.value == "" {
			continue
		}
		d, err := time.ParseDuration(o.value)
		if err != nil {
			return cmdutil.FlagErrorf("-%s: %q is not a duration such as 2s", o.flag, o.value)
		}
		*o.into = d
	}
	return nil
}

// applyLimits applies the flags of the VM's limits that are not empty.
func applyLimits(opts *Options, l *settings.Limits) error {
	for _, o := range []struct {
		flag  string
		value string
		into  *int
	}{
		{"memory-mb", opts.MemoryMB, &l.MemoryMB},
		{"file-descriptors", opts.FileDescriptors, &l.FileDescriptors},
	} {
		if o.value == "" {
			continue
		}
		n, err := strconv.Atoi(o.value)
		if err != nil {
			return cmdutil.FlagErrorf("-%s: %q is not a whole number", o.flag, o.value)
		}
		*o.into = n
	}
	return nil
}

// newLog returns the log of a node.
func newLog(w io.Writer, level string) *logging.Log {
	var l slog.Level
	// The level was validated with the settings.
	_ = l.UnmarshalText([]byte(level))
	return logging.New(w, l)
}

// memoryLimit returns the memory limit of the Go runtime in bytes, 0 for none. A
// quarter of the VM's memory is left for the program itself and for what exceeds the
// limit for a moment, as it does not bind the runtime strictly.
func memoryLimit(memoryMB int) int64 { return int64(memoryMB) << 20 * 3 / 4 }

func run(ctx context.Context, opts *Options) error {
	hangups := notifyHangups()
	content, err := opts.ReadFile(opts.SettingsFile)
	if err != nil {
		return err
	}
	s, err := parse(opts, content)
	if err != nil {
		return err
	}
	if opts.CheckOnly {
		_, err := fmt.Fprintln(opts.IO.Out, opts.SettingsFile+": ok")
		return err
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if limit := memoryLimit(s.Limits.MemoryMB); limit > 0 && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(limit)
	}
	log := newLog(opts.IO.Out, s.Log.Level)
	defer log.Close()
	logger := log.Logger().With("vm", s.Node.VM)
	targetRef := s.Node.TargetRef()
	logger.Info(logging.EventStarting, "version", build.Info(), "profile", s.Profile, "dataCentre", s.Node.DataCentre,
		"service", s.Node.Service, "target", cmp.Or(targetRef.Name, targetRef.Address), "seeds", len(s.Seeds),
		"configApply", s.Bounds.ConfigApply, "drain", s.Bounds.Drain, "stabilityWindow", s.Bounds.StabilityWindow,
		"leaveNotice", s.LeaveNotice, "waitTimeout", s.WaitTimeout, "drainTimeout", s.DrainTimeout, "abortTimeout", s.AbortTimeout)
	listeners, err := node.Listen(s)
	if err != nil {
		return err
	}
	n, err := node.New(s, listeners, logger)
	if err != nil {
		node.CloseListeners(listeners)
		return err
	}
	if err := n.Start(ctx); err != nil {
		node.CloseListeners(listeners)
		return err
	}
	w := newWatcher(opts, content, n, logger, hangups)
	go w.run(ctx)
	<-ctx.Done()
	logger.Info(logging.EventStopping, "cause", context.Cause(ctx))
	err = n.Stop(context.WithoutCancel(ctx))
	logger.Info(logging.EventStopped, "error", err, "linesLeftOut", log.DroppedLines())
	return err
}
