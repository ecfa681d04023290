// Package version implements "vanillabarrow version".
package version

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/vanillabarrow/vanillabarrow/pkg/cmdutil"
)

// NewCmdVersion returns the command.
func NewCmdVersion(f *cmdutil.Factory) *ffcli.Command {
	return &ffcli.Command{
		Name:       "version",
		ShortUsage: "vanillabarrow version",
		ShortHelp:  "Print the version of the program",
		LongHelp:   "Examples:\n  vanillabarrow version",
		FlagSet:    cmdutil.NewFlagSet("version"),
		Exec: func(_ context.Context, args []string) error {
			if err := cmdutil.ExactArgs(args, 0, "no arguments"); err != nil {
				return err
			}
			_, err := fmt.Fprintln(f.IO.Out, "vanillabarrow", f.Version)
			return err
		},
	}
}
