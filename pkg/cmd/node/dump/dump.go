// Package dump implements "vanillabarrow node dump".
package dump

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/vanillabarrow/vanillabarrow/pkg/cmdutil"
	"github.com/vanillabarrow/vanillabarrow/pkg/iostreams"
)

// Options are the inputs of the command.
type Options struct {
	IO      *iostreams.IOStreams
	HTTP    *http.Client
	Address string
}

// NewCmdDump returns the command. If runF is not nil, it replaces the action, so
// that a test can check the options.
func NewCmdDump(f *cmdutil.Factory, runF func(ctx context.Context, opts *Options) error) *ffcli.Command {
	opts := &Options{IO: f.IO, HTTP: f.HTTP}
	return &ffcli.Command{
		Name:       "dump",
		ShortUsage: "vanillabarrow node dump <operator address>",
		ShortHelp:  "Print the internal state of a node as JSON",
		LongHelp: `Examples:
  vanillabarrow node dump 127.0.0.1:9003
  vanillabarrow node dump 127.0.0.1:9003 | jq .gate`,
		FlagSet: cmdutil.NewFlagSet("dump"),
		Options: cmdutil.ParseOptions(),
		Exec: func(ctx context.Context, args []string) error {
			if err := cmdutil.ExactArgs(args, 1, "the operator address of one node"); err != nil {
				return err
			}
			opts.Address = args[0]
			if runF != nil {
				return runF(ctx, opts)
			}
			return run(ctx, opts)
		},
	}
}

func run(ctx context.Context, opts *Options) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+opts.Address+"/dump", nil)
	if err != nil {
		return cmdutil.FlagErrorf("invalid operator address %q: expected host:port", opts.Address)
	}
	response, err := opts.HTTP.Do(request)
	if err != nil {
		return fmt.Errorf("failed to query node %s: %w", opts.Address, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("node %s returned HTTP status %s", opts.Address, response.Status)
	}
	_, err = io.Copy(opts.IO.Out, response.Body)
	return err
}
