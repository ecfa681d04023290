package cmdutil

import (
	"context"
	"flag"
	"strings"
)

// flagTerminator ends the flags: all arguments after it are positional.
const flagTerminator = "--"

// Positional parses the flags among the arguments that fs has left over, and
// returns the positional arguments. The flag package stops parsing at the first
// positional argument, so the flags that follow it are parsed here.
func Positional(fs *flag.FlagSet, args []string) ([]string, error) {
	if len(args) > 0 && isFlag(args[0]) {
		// The flag package leaves over a flag only after a terminator.
		return args, nil
	}
	var positional []string
	for len(args) > 0 {
		if !isFlag(args[0]) {
			positional = append(positional, args[0])
			args = args[1:]
			continue
		}
		if err := fs.Parse(args); err != nil {
			return nil, FlagErrorf("%w", err)
		}
		parsed := len(args) - fs.NArg()
		if args[parsed-1] == flagTerminator {
			return append(positional, fs.Args()...), nil
		}
		args = fs.Args()
	}
	return positional, nil
}

// isFlag reports whether the flag package takes the argument for a flag or for
// the terminator. StandardInput is neither.
func isFlag(arg string) bool { return arg != StandardInput && strings.HasPrefix(arg, "-") }

// Exec returns the action of a command whose flags may follow its positional
// arguments. SetArgs checks the positional arguments and keeps them in the
// options. The action is run, or runF if that is not nil.
func Exec[Options any](
	fs *flag.FlagSet,
	opts *Options,
	setArgs func(args []string) error,
	run, runF func(ctx context.Context, opts *Options) error,
) func(ctx context.Context, args []string) error {
	if runF != nil {
		run = runF
	}
	return func(ctx context.Context, args []string) error {
		args, err := Positional(fs, args)
		if err != nil {
			return err
		}
		if err := setArgs(args); err != nil {
			return err
		}
		return run(ctx, opts)
	}
}

// SetFiles returns a function that sets files to the arguments, of which there has
// to be at least one.
func SetFiles(files *[]string) func(args []string) error {
	return func(args []string) error {
		*files = args
		if err := MinArgs(args, 1, "at least one file"); err != nil {
			return err
		}
		return CheckInputs(args)
	}
}
