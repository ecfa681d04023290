// Package diff implements "vanillabarrow config diff".
package diff

import (
	"context"
	"slices"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/vanillabarrow/vanillabarrow/internal/inventory"
	"github.com/vanillabarrow/vanillabarrow/pkg/cmdutil"
)

// Options are the inputs of the command.
type Options struct {
	cmdutil.ConfigOptions
	// Old and New each list the files of one version.
	Old  []string
	New  []string
	JSON bool
}

// NewCmdDiff returns the command. If runF is not nil, it replaces the action, so
// that a test can check the options.
func NewCmdDiff(f *cmdutil.Factory, runF func(ctx context.Context, opts *Options) error) *ffcli.Command {
	opts := &Options{ConfigOptions: cmdutil.NewConfigOptions(f)}
	fs := cmdutil.NewFlagSet("diff")
	fs.BoolVar(&opts.JSON, "json", false, "print JSON")
	return &ffcli.Command{
		Name:       "diff",
		ShortUsage: "vanillabarrow config diff <old> <new> [flags]",
		ShortHelp:  "Compare two versions of the configuration",
		LongHelp: `If a version consists of several files, separate their names by commas.

Examples:
  vanillabarrow config diff old.yaml new.yaml
  vanillabarrow config diff inventory.yaml,rules.yaml inventory.yaml,rules-2.yaml`,
		FlagSet: fs,
		Options: cmdutil.ParseOptions(),
		Exec:    cmdutil.Exec(fs, opts, opts.setArgs, run, runF),
	}
}

// setArgs checks the arguments and keeps them in the options.
func (o *Options) setArgs(args []string) error {
	if err := cmdutil.ExactArgs(args, 2, "an old and a new version"); err != nil {
		return err
	}
	o.Old, o.New = strings.Split(args[0], ","), strings.Split(args[1], ",")
	return cmdutil.CheckInputs(slices.Concat(o.Old, o.New))
}

func run(_ context.Context, opts *Options) error {
	from, err := opts.Compile(1, opts.Old)
	if err != nil {
		return err
	}
	to, err := opts.Compile(2, opts.New)
	if err != nil {
		return err
	}
	changes := inventory.Diff(from, to)
	if opts.JSON {
		return cmdutil.PrintJSON(opts.IO, changes)
	}
	table := cmdutil.NewTable(opts.IO, "CHANGE", "ELEMENT", "NAME", "FIELDS")
	for _, c := range changes {
		table.AddRow(c.Kind, c.Element, c.Name, strings.Join(c.Fields, ","))
	}
	return table.Print()
}
