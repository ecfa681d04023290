// Package trace implements "vanillabarrow trace".
package trace

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/vanillabarrow/vanillabarrow/internal/trace"
	"github.com/vanillabarrow/vanillabarrow/pkg/cmdutil"
	"github.com/vanillabarrow/vanillabarrow/pkg/iostreams"
)

// defaultAround is the time before a request from which changes of belief are
// told: a second more than the platform's last word may be old.
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

// NewCmdTrace returns the command. Tests give runF to stop before the run.
func NewCmdTrace(f *cmdutil.Factory, runF func(ctx context.Context, opts *Options) error) *ffcli.Command {
	opts := &Options{IO: f.IO, Read: f.ReadInput}
	fs := cmdutil.NewFlagSet("trace")
	fs.DurationVar(&opts.Around, "around", defaultAround, "tell changes of belief from this `time` before the request")
	fs.BoolVar(&opts.JSON, "json", false, "print JSON")
	return &ffcli.Command{
		Name:       "trace",
		ShortUsage: "vanillabarrow trace <id> <file>... [flags]",
		ShortHelp:  "Put the story of one request together from logs of nodes",
		LongHelp: `The files hold logs of any number of nodes, in any order; "-" reads the input.
Text that a log collector put before the lines is skipped. The decisions about
the request are listed in the order of time, with what the nodes on its way came
to believe shortly before. The exit code is 1 when no line has the id.

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
			if err := cmdutil.MinArgs(args, 2, "an id and at least one file"); err != nil {
				return err
			}
			if opts.Around < 0 {
				return cmdutil.FlagErrorf("-around: must not be below zero")
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
	for _, name := range opts.Files {
		b, err := opts.Read(name)
		if err != nil {
			return err
		}
		if _, err := trace.Read(bytes.NewReader(b), func(l *trace.Line) {
			lines++
			collector.Add(l)
		}); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	story := collector.Timeline()
	if !story.Found() {
		return fmt.Errorf("no line tells about request %s: %d lines in %d files; "+
			"requests that ended well are not logged, and over its bound only one request in 16 is", opts.ID, lines, len(opts.Files))
	}
	if opts.JSON {
		return cmdutil.PrintJSON(opts.IO, story)
	}
	return write(opts, story)
}

func write(opts *Options, story *trace.Timeline) error {
	table := cmdutil.NewTable(opts.IO, "TIME", "VM", "KIND", "EVENT", "DETAILS")
	for _, step := range story.Entries {
		table.AddRow(step.Time.Format("15:04:05.000"), step.VM, step.Kind, step.Event, step.String())
	}
	if err := table.Print(); err != nil {
		return err
	}
	if story.DroppedLines > 0 {
		if _, err := fmt.Fprintf(opts.IO.ErrOut, "the nodes left out %d lines around this time: the story may have gaps\n", story.DroppedLines); err != nil {
			return err
		}
	}
	if end := story.Refusal(); end != nil && opts.IO.IsTerminal() {
		_, err := fmt.Fprintf(opts.IO.Out, "\nrefused: %s (%s) %s\n", end.Get("reason"), end.Get("verdict"), end.Get("detail"))
		return err
	}
	return nil
}
