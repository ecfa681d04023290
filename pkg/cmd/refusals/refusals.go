// Package refusals implements "vanillabarrow refusals".
package refusals

import (
	"context"
	"fmt"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/vanillabarrow/vanillabarrow/internal/trace"
	"github.com/vanillabarrow/vanillabarrow/pkg/cmdutil"
	"github.com/vanillabarrow/vanillabarrow/pkg/iostreams"
)

// defaultInterval is the default length of the intervals.
const defaultInterval = 2 * time.Second

// Options are the inputs of the command.
type Options struct {
	IO       *iostreams.IOStreams
	Read     func(name string) ([]byte, error)
	Files    []string
	Interval time.Duration
	Causes   bool
	Kinds    bool
	JSON     bool
}

// NewCmdRefusals returns the command. If runF is not nil, it replaces the
// action, so that a test can check the options.
func NewCmdRefusals(f *cmdutil.Factory, runF func(ctx context.Context, opts *Options) error) *ffcli.Command {
	opts := &Options{IO: f.IO, Read: f.ReadInput}
	fs := cmdutil.NewFlagSet("refusals")
	fs.DurationVar(&opts.Interval, "interval", defaultInterval, "count by intervals of this `time`")
	fs.BoolVar(&opts.Causes, "causes", false, "list the causes of all intervals in place of the intervals")
	fs.BoolVar(&opts.Kinds, "kinds", false, "list for each interval the requests by route, verdict and reason")
	fs.BoolVar(&opts.JSON, "json", false, "print JSON")
	return &ffcli.Command{
		Name:       "refusals",
		ShortUsage: "vanillabarrow refusals <file>... [flags]",
		ShortHelp:  "Count refused requests in the logs of nodes",
		LongHelp: `The files hold the logs of any number of nodes, in any order; "-" stands for
standard input. Prefixes that a log collector put before the lines are skipped.

Lists for each interval how many requests callers were refused, how many of them
may have run, how many attempts gates refused, and the most frequent cause. Nodes
log only a part of many refusals; the last column is the number of lines that
they dropped.

Examples:
  vanillabarrow refusals logs/*.log
  vanillabarrow refusals -kinds logs/*.log
  vanillabarrow refusals -causes node-1.log node-2.log`,
		FlagSet: fs,
		Options: cmdutil.ParseOptions(),
		Exec: func(ctx context.Context, args []string) error {
			args, err := cmdutil.Positional(fs, args)
			if err != nil {
				return err
			}
			if err := cmdutil.MinArgs(args, 1, "at least one file"); err != nil {
				return err
			}
			if opts.Interval <= 0 {
				return cmdutil.FlagErrorf("-interval must be greater than zero, is %s", opts.Interval)
			}
			if opts.Causes && opts.Kinds {
				return cmdutil.FlagErrorf("-causes and -kinds exclude each other")
			}
			if err := cmdutil.CheckInputs(args); err != nil {
				return err
			}
			opts.Files = args
			if runF != nil {
				return runF(ctx, opts)
			}
			return run(opts)
		},
	}
}

func run(opts *Options) error {
	counter := trace.NewRefusalCounter(opts.Interval)
	if err := trace.ReadFiles(opts.Files, opts.Read, counter.Add); err != nil {
		return err
	}
	summary := counter.Summary()
	if opts.JSON {
		return cmdutil.PrintJSON(opts.IO, summary)
	}
	if opts.Causes {
		return writeCauses(opts, summary)
	}
	if opts.Kinds {
		return writeKinds(opts, summary)
	}
	return writeIntervals(opts, summary)
}

func writeKinds(opts *Options, summary *trace.RefusalSummary) error {
	table := cmdutil.NewTable(opts.IO, "TIME", "ROUTE", "REQUESTS", "VERDICT", "REASON")
	for _, interval := range summary.Intervals {
		for _, c := range interval.Causes {
			table.AddRow(interval.Start.Format("15:04:05.000"), c.Route, c.Requests, c.Verdict, c.Reason)
		}
	}
	return table.Print()
}

func writeIntervals(opts *Options, summary *trace.RefusalSummary) error {
	table := cmdutil.NewTable(opts.IO, "TIME", "REQUESTS", "MAY HAVE RUN", "ATTEMPTS", "MOST FREQUENT CAUSE", "LINES DROPPED")
	for _, interval := range summary.Intervals {
		cause := ""
		if len(interval.Causes) > 0 {
			c := interval.Causes[0]
			cause = fmt.Sprintf("%s %s, route %s: %d", c.Verdict, c.Reason, c.Route, c.Requests)
		}
		table.AddRow(interval.Start.Format("15:04:05.000"), interval.Requests, interval.MayHaveRun, interval.Attempts, cause, interval.DroppedLines)
	}
	return table.Print()
}

func writeCauses(opts *Options, summary *trace.RefusalSummary) error {
	table := cmdutil.NewTable(opts.IO, "REQUESTS", "VERDICT", "REASON", "ROUTE")
	for _, c := range summary.Causes {
		table.AddRow(c.Requests, c.Verdict, c.Reason, c.Route)
	}
	return table.Print()
}
