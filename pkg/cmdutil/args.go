package cmdutil

import (
	"flag"
	"strings"
)

// Positional returns the arguments that are no flags. The flag package stops
// at the first of them, so flags that follow are parsed here.
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
