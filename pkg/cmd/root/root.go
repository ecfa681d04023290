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
	"github.com/vanillabarrow/vanillabarrow/pkg/cmd/fleet/status"
	"github.com/vanillabarrow/vanillabarrow/pkg/cmd/load"
	"github.com/vanillabarrow/vanillabarrow/pkg/cmd/node/dump"
	"github.com/vanillabarrow/vanillabarrow/pkg/cmd/node/run"
	"github.com/vanillabarrow/vanillabarrow/pkg/cmd/version"
	"github.com/vanillabarrow/vanillabarrow/pkg/cmdutil"
)

// NewCmdRoot returns the command with all its subcommands.
func NewCmdRoot(f *cmdutil.Factory) *ffcli.Command {
	return &ffcli.Command{
		Name:       "vanillabarrow",
		ShortUsage: "vanillabarrow <command> [flags]",
		ShortHelp:  "Distribute configuration in a service mesh and carry its requests",
		FlagSet:    cmdutil.NewFlagSet("vanillabarrow"),
		Options:    cmdutil.Options(),
		Exec:       cmdutil.ExecGroup,
		Subcommands: []*ffcli.Command{
			cmdutil.Group("node", "Run and inspect a node", run.NewCmdRun(f, nil), dump.NewCmdDump(f, nil)),
			cmdutil.Group("config", "Check and compare inventory and rules",
				check.NewCmdCheck(f, nil), diff.NewCmdDiff(f, nil), show.NewCmdShow(f, nil), bundle.NewCmdBundle(f, nil)),
			cmdutil.Group("fleet", "Look at all nodes", status.NewCmdStatus(f, nil)),
			load.NewCmdLoad(f, nil),
			demo.NewCmdDemo(f, nil),
			version.NewCmdVersion(f),
		},
	}
}

// Main runs the program and returns its exit code.
func Main(ctx context.Context, f *cmdutil.Factory, args []string) int {
	root := NewCmdRoot(f)
	if err := root.Parse(args); err != nil {
		return exit(f, asUsage(err))
	}
	return exit(f, root.Run(ctx))
}

// asUsage marks errors of the flag parser, except the request for help.
func asUsage(err error) error {
	if errors.Is(err, flag.ErrHelp) {
		return err
	}
	return cmdutil.FlagErrorf("%w", err)
}

// exit prints the error and returns the exit code for it.
func exit(f *cmdutil.Factory, err error) int {
	var usage *cmdutil.FlagError
	switch {
	case err == nil:
		return cmdutil.ExitOK
	case errors.Is(err, flag.ErrHelp):
		// The help itself was printed by the command.
		return cmdutil.ExitUsage
	case errors.Is(err, cmdutil.ErrSilent):
		return cmdutil.ExitFailed
	case errors.Is(err, context.Canceled):
		return cmdutil.ExitCancel
	case errors.As(err, &usage):
		_, _ = fmt.Fprintf(f.IO.ErrOut, "error: %v\nrun with -h for help\n", err)
		return cmdutil.ExitUsage
	default:
		_, _ = fmt.Fprintf(f.IO.ErrOut, "error: %v\n", err)
		return cmdutil.ExitFailed
	}
}
