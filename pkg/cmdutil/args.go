package cmdutil

import (
	"flag"
	"strings"
)

// Positional parses the flags among the arguments and returns the positional
// arguments. The flag package stops parsing at the first positional argument, so
// the flags that follow it are parsed here.
func Positional(fs *flag.FlagSet, args []string) ([]string, error) {
	var positional []string
	for len(args) > 0 {
		if args[0] == "-" || !strings.HasPrefix(args[0], "-") {
			positional = append(positional, args[0])
			args = args[1:]
			continue
		}
		if err := fs.Parse(args); err != nil {
			return nil, FlagErrorf("%w", err)
		}
		if fs.NArg() == len(args) {
			return append(positional, args...), nil
		}
		args = fs.Args()
	}
	return positional, nil
}
