// Package trace implements "vanillabarrow trace".
package trace

import (
	"context"
	"fmt"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/vanillabarrow/vanillabarrow/internal/trace"
	"github.com/vanillabarrow/vanillabarrow/pkg/cmdutil"
	"github.com/vanillabarrow/vanillabarrow/pkg/iostreams"
)

// defaultAround is how long before a request state changes are listed by default.
// It is one second longer than the 4 s for which a node may go without a
// confirmation by the platform.
const defaultAround = 5 * time.Second

// Options are the inputs of the command.
type Options struct {
	IO     *iostreams.IOStreams
	Read   func(name string) ([]byte, error)
	ID     string
	Files  []string
	Around time.Duration
	JSON   bool
}

// NewCmdTrace returns the command. If runF is not nil, it replaces the action, so
// that a test can check the options.
func NewCmdTrace(f *cmdutil.Factory, runF func(ctx context.Context, opts *Options) error) *ffcli.Command {
	opts := &Options{IO: f.IO, Read: f.ReadInput}
	fs := cmdutil.NewFlagSet("trace")
	fs.DurationVar(&opts.Around, "around", defaultAround, "list state changes from this `time` before the request")
	fs.BoolVar(&opts.JSON, "json", false, "print JSON")
	return &ffcli.Command{
		Name:       "trace",
		ShortUsage: "vanillabarrow trace <id> <file>... [flags]",
		ShortHelp:  "Trace one request through the logs of nodes",
		LongHelp: `The files hold the logs of any number of nodes, in any order; "-" stands for
standard input. Prefixes that a log collector put before the lines are skipped.

Lists the decisions about the request in chronological order (kind "request"),
with the changes in the state of targets, nodes and the platform that the nodes
on its path recorded shortly before (kind "belief"). The exit code is 1 if no
line has the id.

Examples:
  vanillabarrow trace 9c41d07be2a35f68 node-1.log node-2.log
  cat logs/* | vanillabarrow trace 9c41d07be2a35f68 - -around 30s`,
		FlagSet: fs,
		Options: cmdutil.ParseOptions(),
		Exec: func(ctx context.Context, args []string) error {
			args, err := cmdutil.Positional(fs, args)
			if err != nil {
				return err
			}
			if err := cmdutil.MinArgs(args, 2, "a request id and at least one file"); err != nil {
				return err
			}
			if opts.Around < 0 {
				return cmdutil.FlagErrorf("-around must not be negative")
			}
			if err := cmdutil.CheckInputs(args[1:]); err != nil {
				return err
			}
			opts.ID, opts.Files = args[0], args[1:]
			if runF != nil {
				return runF(ctx, opts)
			}
			return run(opts)
		},
	}
}

func run(opts *Options) error {
	collector := trace.New(opts.ID, opts.Around)
	lines := 0
	err := trace.ReadFiles(opts.Files, opts.Read, func(l *trace.Line) {
		lines++
		collector.Add(l)
	})
	if err != nil {
		return err
	}
	timeline := collector.Timeline()
	if !timeline.Found() {
		return fmt.Errorf("no log entry for request %s in %d lines of %d files: "+
			"successful requests are not logged, and above an event's rate limit only one request in 16 is", opts.ID, lines, len(opts.Files))
	}
	if opts.JSON {
		return cmdutil.PrintJSON(opts.IO, timeline)
	}
	return write(opts, timeline)
}

func write(opts *Options, timeline *trace.Timeline) error {
	table := cmdutil.NewTable(opts.IO, "TIME", "VM", "KIND", "EVENT", "DETAILS")
	for _, entry := range timeline.Entries {
		table.AddRow(entry.Time.Format("15:04:05.000"), entry.VM, entry.Kind, entry.Event, entry.String())
	}
	if err := table.Print(); err != nil {
		return err
	}
	if timeline.DroppedLines > 0 {
		if _, err := fmt.Fprintf(opts.IO.ErrOut, "warning: the nodes dropped %d log lines around this time, the timeline may be incomplete\n", timeline.DroppedLines); err != nil {
			return err
		}
	}
	if refusal := timeline.Refusal(); refusal != nil && opts.IO.IsTerminal() {
		_, err := fmt.Fprintf(opts.IO.Out, "\nrefused: %s (%s) %s\n", refusal.Get("reason"), refusal.Get("verdict"), refusal.Get("detail"))
		return err
	}
	return nil
}
