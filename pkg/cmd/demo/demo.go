// Package demo implements "vanillabarrow demo".
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/vanillabarrow/vanillabarrow/internal/demo"
	"github.com/vanillabarrow/vanillabarrow/internal/standin"
	"github.com/vanillabarrow/vanillabarrow/pkg/cmdutil"
	"github.com/vanillabarrow/vanillabarrow/pkg/iostreams"
)

// Options are the inputs of the command.
type Options struct {
	IO      *iostreams.IOStreams
	Config  demo.Config
	JSON    bool
	Verbose bool
}

// NewCmdDemo returns the command. If runF is not nil, it replaces the action, so
// that a test can check the options.
func NewCmdDemo(f *cmdutil.Factory, runF func(ctx context.Context, opts *Options) error) *ffcli.Command {
	opts := &Options{IO: f.IO, Config: demo.DefaultConfig()}
	fs := cmdutil.NewFlagSet("demo")
	fs.BoolVar(&opts.JSON, "json", false, "print JSON")
	fs.BoolVar(&opts.Verbose, "verbose", false, "write the nodes' logs to standard error")
	fs.Float64Var(&opts.Config.Rate, "rate", opts.Config.Rate, "`number` of requests per second to each deployment")
	fs.DurationVar(&opts.Config.LoadDuration, "load", opts.Config.LoadDuration, "`time` for which requests are sent")
	return &ffcli.Command{
		Name:       "demo",
		ShortUsage: "vanillabarrow demo [flags]",
		ShortHelp:  "Run two deployments with simulated platforms and targets",
		LongHelp: `Runs two deployments in this process, with real nodes on loopback sockets.
Publishes versions of the configuration, sends requests and checks the
responses, and takes a data centre out of service and back. The exit code is 1
if a response was wrong, or if a request was lost, ran twice or was falsely
reported as not run.

Examples:
  vanillabarrow demo
  vanillabarrow demo -json -rate 500`,
		FlagSet: fs,
		Options: cmdutil.ParseOptions(),
		Exec: func(ctx context.Context, args []string) error {
			if err := cmdutil.ExactArgs(args, 0, "no arguments"); err != nil {
				return err
			}
			if opts.Config.Rate <= 0 || opts.Config.LoadDuration < time.Second {
				return cmdutil.FlagErrorf("-rate must be above zero and -load at least 1s")
			}
			if runF != nil {
				return runF(ctx, opts)
			}
			return run(ctx, opts)
		},
	}
}

func run(ctx context.Context, opts *Options) error {
	logs := io.Discard
	if opts.Verbose {
		logs = opts.IO.ErrOut
	}
	logger := slog.New(slog.NewTextHandler(logs, nil))
	deployments := []standin.Deployment{standin.Cenovka(), standin.Visites()}
	runs := make([]*deploymentRun, len(deployments))
	for i, d := range deployments {
		r := &deploymentRun{deployment: d, done: make(chan struct{})}
		runs[i] = r
		if !opts.JSON {
			_, _ = fmt.Fprintf(opts.IO.ErrOut, "running %s: %d data centres\n", d.Name, len(d.DataCentres))
		}
		go r.run(ctx, opts.Config, logger)
	}
	var reports []*demo.Report
	for _, r := range runs {
		<-r.done
	}
	for _, r := range runs {
		if r.err != nil {
			return fmt.Errorf("%s: %w", r.deployment.Name, r.err)
		}
		reports = append(reports, r.report)
	}
	if err := write(opts, reports); err != nil {
		return err
	}
	return checkReports(reports)
}

// deploymentRun is the run of one deployment. The fields report and err are set
// when done is closed.
type deploymentRun struct {
	deployment standin.Deployment
	report     *demo.Report
	err        error
	done       chan struct{}
}

func (r *deploymentRun) run(ctx context.Context, cfg demo.Config, logger *slog.Logger) {
	defer close(r.done)
	r.report, r.err = demo.Run(ctx, r.deployment, cfg, logger)
}

// checkReports returns an error for each failure in the reports.
func checkReports(reports []*demo.Report) error {
	var errs []error
	for _, r := range reports {
		for _, failure := range r.Failures() {
			errs = append(errs, errors.New(failure))
		}
	}
	return errors.Join(errs...)
}

func write(opts *Options, reports []*demo.Report) error {
	if opts.JSON {
		return cmdutil.PrintJSON(opts.IO, reports)
	}
	heading := []string{"MEASURE"}
	for _, r := range reports {
		heading = append(heading, r.Deployment)
	}
	table := cmdutil.NewTable(opts.IO, heading...)
	for _, m := range measures {
		row := []any{m.name}
		for _, r := range reports {
			row = append(row, m.value(r))
		}
		table.AddRow(row...)
	}
	return table.Print()
}

// measures are the rows of the table.
var measures = []struct {
	name  string
	value func(r *demo.Report) any
}{
	{"nodes", func(r *demo.Report) any { return r.Nodes }},
	{"convergence p50", func(r *demo.Report) any { return round(r.ConvergeP50) }},
	{"convergence p99", func(r *demo.Report) any { return round(r.ConvergeP99) }},
	{"convergence max", func(r *demo.Report) any { return round(r.ConvergeMax) }},
	{"control bytes per node and second", func(r *demo.Report) any { return int(r.ControlBytesPerNodeSecond) }},
	{"data centre taken out and back", func(r *demo.Report) any { return r.OutOfServiceDataCentre }},
	{"requests offered", func(r *demo.Report) any { return r.Load.Offered }},
	{"finished", func(r *demo.Report) any { return r.Load.Finished }},
	{"refused not-run", func(r *demo.Report) any { return r.Load.NotRun }},
	{"may-have-run", func(r *demo.Report) any { return r.Load.MayHaveRun }},
	{"no verdict", func(r *demo.Report) any { return r.Load.NoVerdict }},
	{"wrong answers", func(r *demo.Report) any { return r.Load.WrongResponses }},
	{"lost", func(r *demo.Report) any { return r.Violations.Lost }},
	{"run twice", func(r *demo.Report) any { return r.Violations.Twice }},
	{"falsely not-run", func(r *demo.Report) any { return r.Violations.FalseNotRun }},
	{"latency direct p50", func(r *demo.Report) any { return round(r.DirectP50) }},
	{"latency direct p99", func(r *demo.Report) any { return round(r.DirectP99) }},
	{"latency added p50", func(r *demo.Report) any { return round(r.AddedP50()) }},
	{"latency added p99", func(r *demo.Report) any { return round(r.AddedP99()) }},
}

func round(d time.Duration) time.Duration { return d.Round(10 * time.Microsecond) }
