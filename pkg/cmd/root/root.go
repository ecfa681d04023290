// Package root implements the command "vanillabarrow".
package root

import (
	"context"
	"errors"
	"flag"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/vanillabarrow/vanillabarrow/pkg/cmd/config/bundle"
	"github.com/vanillabarrow/vanillabarrow/pkg/cmd/config/check"
	"github.com/vanillabarrow/vanillabarrow/pkg/cmd/config/diff"
	"github.com/vanillabarrow/vanillabarrow/pkg/cmd/config/show"
	"github.com/vanillabarrow/vanillabarrow/pkg/cmd/demo"
	"github.com/vanillabarrow/vanillabarrow/pkg/cmd/explain"
	"github.com/vanillabarrow/vanillabarrow/pkg/cmd/fleet/status"
	"github.com/vanillabarrow/vanillabarrow/pkg/cmd/load"
	"github.com/vanillabarrow/vanillabarrow/pkg/cmd/node/dump"
	"github.com/vanillabarrow/vanillabarrow/pkg/cmd/node/run"
	"github.com/vanillabarrow/vanillabarrow/pkg/cmd/refusals"
	"github.com/vanillabarrow/vanillabarrow/pkg/cmd/trace"
	"github.com/vanillabarrow/vanillabarrow/pkg/cmd/version"
	"github.com/vanillabarrow/vanillabarrow/pkg/cmdutil"
)

// NewCmdRoot returns the root command with all its subcommands.
func NewCmdRoot(f *cmdutil.Factory) *ffcli.Command {
	return &ffcli.Command{
		Name:       "vanillabarrow",
		ShortUsage: "vanillabarrow <command> [flags]",
		ShortHelp:  "Run and operate the nodes of a service mesh",
		LongHelp: `A node runs next to each target. It distributes and applies the published
configuration and forwards requests. The other commands are for operators.

Examples:
  vanillabarrow demo
  vanillabarrow node run -settings node.yaml
  vanillabarrow config check inventory.yaml rules.yaml`,
		FlagSet: cmdutil.NewFlagSet("vanillabarrow"),
		Options: cmdutil.ParseOptions(),
		Exec:    cmdutil.ExecGroup,
		Subcommands: append([]*ffcli.Command{
			cmdutil.NewGroup("node", "Run and inspect a node", "vanillabarrow node run -settings node.yaml",
				run.NewCmdRun(f, nil), dump.NewCmdDump(f, nil)),
			cmdutil.NewGroup("config", "Check and compare inventory and rules", "vanillabarrow config check inventory.yaml rules.yaml",
				check.NewCmdCheck(f, nil), diff.NewCmdDiff(f, nil), show.NewCmdShow(f, nil), bundle.NewCmdBundle(f, nil)),
			cmdutil.NewGroup("fleet", "Inspect the nodes of the fleet", "vanillabarrow fleet status -inventory inventory.yaml",
				status.NewCmdStatus(f, nil)),
			explain.NewCmdExplain(f, nil),
			trace.NewCmdTrace(f, nil),
			refusals.NewCmdRefusals(f, nil),
			load.NewCmdLoad(f, nil),
			demo.NewCmdDemo(f, nil),
			version.NewCmdVersion(f),
		}, experimentCommands(f)...),
	}
}

// Main runs the program and returns its exit code.
func Main(ctx context.Context, f *cmdutil.Factory, args []string) int {
	root := NewCmdRoot(f)
	selected := findCommand(root, args)
	err := root.Parse(args)
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		err = cmdutil.FlagErrorf("%w", err)
	}
	if err == nil {
		err = root.Run(ctx)
	}
	return reportError(f, selected, err)
}

// findCommand returns the command that the arguments select.
func findCommand(c *ffcli.Command, args []string) *ffcli.Command {
	if len(args) == 0 {
		return c
	}
	for _, sub := range c.Subcommands {
		if sub.Name == args[0] {
			return findCommand(sub, args[1:])
		}
	}
	return c
}

// reportError prints the error, or the help that was asked for, and returns the
// exit code.
func reportError(f *cmdutil.Factory, c *ffcli.Command, err error) int {
	var usage *cmdutil.FlagError
	switch {
	case err == nil:
		return cmdutil.ExitOK
	case errors.Is(err, flag.ErrHelp):
		_, _ = fmt.Fprintln(f.IO.Out, ffcli.DefaultUsageFunc(c))
		return cmdutil.ExitOK
	case errors.Is(err, cmdutil.ErrSilent):
		return cmdutil.ExitFailed
	case errors.Is(err, context.Canceled):
		return cmdutil.ExitCancel
	case errors.As(err, &usage):
		_, _ = fmt.Fprintf(f.IO.ErrOut, "error: %v\n\n%s\n", err, ffcli.DefaultUsageFunc(c))
		return cmdutil.ExitUsage
	default:
		_, _ = fmt.Fprintf(f.IO.ErrOut, "error: %v\n", err)
		return cmdutil.ExitFailed
	}
}
