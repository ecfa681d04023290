// Package fleet implements "vanillabarrow experiment fleet".
package fleet

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/vanillabarrow/vanillabarrow/internal/experiment"
	"github.com/vanillabarrow/vanillabarrow/pkg/cmdutil"
	"github.com/vanillabarrow/vanillabarrow/pkg/iostreams"
)

// Options are the inputs of the command.
type Options struct {
	IO *iostreams.IOStreams

	Binary string
	// Sizes lists the numbers of nodes, each of which is measured in a run of
	// its own.
	Sizes         []int
	Phases        []experiment.Phase
	InventorySize experiment.InventorySize
}

// NewCmdFleet returns the command. If runF is not nil, it replaces the action, so
// that a test can check the options.
func NewCmdFleet(f *cmdutil.Factory, runF func(ctx context.Context, opts *Options) error) *ffcli.Command {
	opts := &Options{IO: f.IO, InventorySize: experiment.FullInventorySize()}
	sizes, phases := "", ""
	fs := cmdutil.NewFlagSet("fleet")
	fs.StringVar(&opts.Binary, "binary", "", "node `program` to start (default: this program)")
	fs.StringVar(&sizes, "nodes", "25,50,100,200", "fleet `sizes`, separated by commas")
	fs.StringVar(&phases, "phases", "", "measure only these `phases`, separated by commas")
	fs.IntVar(&opts.InventorySize.Targets, "targets", opts.InventorySize.Targets, "`number` of targets in the inventory")
	fs.IntVar(&opts.InventorySize.Services, "services", opts.InventorySize.Services, "`number` of services in the inventory")
	fs.IntVar(&opts.InventorySize.DataCentres, "data-centres", opts.InventorySize.DataCentres, "`number` of data centres")
	return &ffcli.Command{
		Name:       "fleet",
		ShortUsage: "vanillabarrow experiment fleet [flags]",
		ShortHelp:  "Measure fleets of node processes",
		LongHelp: `Runs node processes on this machine with a simulated platform, which publishes
an inventory and changes to it. Prints the measurements as CSV.

Examples:
  vanillabarrow experiment fleet -nodes 25,50 > fleet.csv
  vanillabarrow experiment fleet -nodes 25 -phases idle`,
		FlagSet: fs,
		Options: cmdutil.ParseOptions(),
		Exec: func(ctx context.Context, args []string) error {
			if err := cmdutil.ExactArgs(args, 0, "no arguments"); err != nil {
				return err
			}
			if err := opts.parse(sizes, phases); err != nil {
				return err
			}
			if runF != nil {
				return runF(ctx, opts)
			}
			return run(ctx, opts)
		},
	}
}

// parse sets the options that are lists from the values of their flags.
func (o *Options) parse(sizes, phases string) error {
	for text := range strings.SplitSeq(sizes, ",") {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > o.InventorySize.Targets {
			return cmdutil.FlagErrorf("-nodes: invalid fleet size %q: expected a number from 1 to %d, the number of targets", text, o.InventorySize.Targets)
		}
		o.Sizes = append(o.Sizes, n)
	}
	all := experiment.Phases()
	if phases == "" {
		o.Phases = all
		return nil
	}
	for name := range strings.SplitSeq(phases, ",") {
		i := slices.IndexFunc(all, func(p experiment.Phase) bool { return p.Name == name })
		if i < 0 {
			return cmdutil.FlagErrorf("-phases: unknown phase %q", name)
		}
		o.Phases = append(o.Phases, all[i])
	}
	return nil
}

func run(ctx context.Context, opts *Options) error {
	binary := opts.Binary
	if binary == "" {
		var err error
		if binary, err = os.Executable(); err != nil {
			return err
		}
	}
	if _, err := fmt.Fprintln(opts.IO.Out, experiment.Header); err != nil {
		return err
	}
	for _, n := range opts.Sizes {
		_, err := experiment.Run(ctx, experiment.Config{
			Binary:        binary,
			Nodes:         n,
			InventorySize: opts.InventorySize,
			Phases:        opts.Phases,
			Log:           func(format string, args ...any) { _, _ = fmt.Fprintf(opts.IO.Out, format+"\n", args...) },
		})
		if err != nil {
			return fmt.Errorf("%d nodes: %w", n, err)
		}
	}
	return nil
}
