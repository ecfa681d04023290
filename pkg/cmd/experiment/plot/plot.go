// Package plot implements "vanillabarrow experiment plot".
package plot

import (
	"bytes"
	"context"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/vanillabarrow/vanillabarrow/internal/experiment"
	"github.com/vanillabarrow/vanillabarrow/pkg/cmdutil"
)

// Options are the inputs of the command.
type Options struct {
	ReadFile func(name string) ([]byte, error)
	File     string
}

// NewCmdPlot returns the command. If runF is not nil, it replaces the action, so
// that a test can check the options.
func NewCmdPlot(f *cmdutil.Factory, runF func(ctx context.Context, opts *Options) error) *ffcli.Command {
	opts := &Options{ReadFile: f.ReadFile}
	return &ffcli.Command{
		Name:       "plot",
		ShortUsage: "vanillabarrow experiment plot <csv file>",
		ShortHelp:  "Plot the measurements of fleets",
		LongHelp: `Writes two SVG files next to the CSV file: the convergence time of changes, and
the CPU and memory use of idle nodes.

Examples:
  vanillabarrow experiment plot docs/measurements/fleet.csv`,
		FlagSet: cmdutil.NewFlagSet("plot"),
		Options: cmdutil.ParseOptions(),
		Exec: func(ctx context.Context, args []string) error {
			if err := cmdutil.ExactArgs(args, 1, "one CSV file"); err != nil {
				return err
			}
			opts.File = args[0]
			if runF != nil {
				return runF(ctx, opts)
			}
			return run(opts)
		},
	}
}

func run(opts *Options) error {
	b, err := opts.ReadFile(opts.File)
	if err != nil {
		return err
	}
	base := strings.TrimSuffix(opts.File, ".csv")
	err = experiment.Plot(bytes.NewReader(b), "changes", "convergence at 4,300 changes a day, ms",
		[]string{"convergeP50Ms", "convergeP99Ms", "convergeMaxMs"}, base+"-convergence.svg")
	if err != nil {
		return err
	}
	return experiment.Plot(bytes.NewReader(b), "idle", "idle cost of a node",
		[]string{"cpuPercentPerNode", "memoryMBPerNode"}, base+"-cost.svg")
}
