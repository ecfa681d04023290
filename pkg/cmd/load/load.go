// Package load implements "vanillabarrow load".
package load

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/vanillabarrow/vanillabarrow/internal/load"
	"github.com/vanillabarrow/vanillabarrow/pkg/cmdutil"
	"github.com/vanillabarrow/vanillabarrow/pkg/iostreams"
)

// Options are the inputs of the command.
type Options struct {
	IO     *iostreams.IOStreams
	Config load.Config
	JSON   bool
}

// NewCmdLoad returns the command. If runF is not nil, it replaces the action, so
// that a test can check the options.
func NewCmdLoad(f *cmdutil.Factory, runF func(ctx context.Context, opts *Options) error) *ffcli.Command {
	opts := &Options{IO: f.IO}
	paths := ""
	fs := cmdutil.NewFlagSet("load")
	fs.StringVar(&paths, "paths", "/", "`paths` to request, separated by commas")
	fs.Float64Var(&opts.Config.Rate, "rate", 100, "`number` of requests per second, sent whether or not earlier ones have ended")
	fs.DurationVar(&opts.Config.Duration, "duration", 10*time.Second, "`time` for which requests are sent")
	fs.Float64Var(&opts.Config.Writes, "writes", 0.5, "`share` of requests that are POST, from 0 to 1")
	fs.Float64Var(&opts.Config.Keyed, "keyed", 0.5, "`share` of POST requests with an idempotency key, from 0 to 1")
	fs.IntVar(&opts.Config.BodyBytes, "body", 512, "size of a POST body in `bytes`")
	fs.DurationVar(&opts.Config.Timeout, "timeout", 10*time.Second, "`time` that a caller waits for a response")
	fs.BoolVar(&opts.JSON, "json", false, "print JSON")
	return &ffcli.Command{
		Name:       "load",
		ShortUsage: "vanillabarrow load <caller address>... [flags]",
		ShortHelp:  "Send requests to nodes at a fixed rate and check the responses",
		LongHelp: `The targets must be the simulated targets of this project, because their
responses can be checked. The exit code is 1 if a response was wrong.

Examples:
  vanillabarrow load 127.0.0.1:9001 127.0.0.1:9101 -rate 500 -paths /returns,/ledgers`,
		FlagSet: fs,
		Options: cmdutil.ParseOptions(),
		Exec: func(ctx context.Context, args []string) error {
			args, err := cmdutil.Positional(fs, args)
			if err != nil {
				return err
			}
			if err := cmdutil.MinArgs(args, 1, "at least one caller address"); err != nil {
				return err
			}
			if opts.Config.Rate <= 0 || opts.Config.Duration <= 0 {
				return cmdutil.FlagErrorf("-rate and -duration must be above zero")
			}
			opts.Config.Addresses, opts.Config.Paths = args, strings.Split(paths, ",")
			if runF != nil {
				return runF(ctx, opts)
			}
			return run(ctx, opts)
		},
	}
}

func run(ctx context.Context, opts *Options) error {
	result := load.New(opts.Config).Run(ctx)
	if err := write(opts, result); err != nil {
		return err
	}
	if result.WrongResponses > 0 {
		return cmdutil.ErrSilent
	}
	return nil
}

func write(opts *Options, r *load.Result) error {
	if opts.JSON {
		return cmdutil.PrintJSON(opts.IO, r)
	}
	table := cmdutil.NewTable(opts.IO, "MEASURE", "VALUE")
	table.AddRow("offered", r.Offered)
	table.AddRow("finished", r.Finished)
	table.AddRow("refused not-run", r.NotRun)
	table.AddRow("may-have-run", r.MayHaveRun)
	table.AddRow("no verdict", r.NoVerdict)
	table.AddRow("wrong answers", r.WrongResponses)
	table.AddRow("not sent, too many open", r.Skipped)
	table.AddRow("latency p50", r.P50)
	table.AddRow("latency p99", r.P99)
	table.AddRow("latency max", r.Max)
	for _, reason := range slices.Sorted(maps.Keys(r.Reasons)) {
		table.AddRow(reason, r.Reasons[reason])
	}
	return table.Print()
}
