// Package show implements "vanillabarrow config show".
package show

import (
	"context"
	"maps"
	"slices"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/route"
	"github.com/vanillabarrow/vanillabarrow/pkg/cmdutil"
)

// Options are the inputs of the command.
type Options struct {
	cmdutil.ConfigOptions
	Files []string
	JSON  bool
}

// NewCmdShow returns the command. If runF is not nil, it replaces the action, so
// that a test can check the options.
func NewCmdShow(f *cmdutil.Factory, runF func(ctx context.Context, opts *Options) error) *ffcli.Command {
	opts := &Options{ConfigOptions: cmdutil.NewConfigOptions(f)}
	fs := cmdutil.NewFlagSet("show")
	fs.BoolVar(&opts.JSON, "json", false, "print JSON")
	return &ffcli.Command{
		Name:       "show",
		ShortUsage: "vanillabarrow config show <file>... [flags]",
		ShortHelp:  "Show the targets and routes of the compiled configuration",
		LongHelp: `Examples:
  vanillabarrow config show inventory.yaml rules.yaml
  vanillabarrow config show inventory.yaml rules.yaml -json`,
		FlagSet: fs,
		Options: cmdutil.ParseOptions(),
		Exec:    cmdutil.Exec(fs, opts, cmdutil.SetFiles(&opts.Files), run, runF),
	}
}

func run(_ context.Context, opts *Options) error {
	snapshot, err := opts.Compile(1, opts.Files)
	if err != nil {
		return err
	}
	if opts.JSON {
		return cmdutil.PrintJSON(opts.IO, snapshot)
	}
	return write(opts, snapshot)
}

func write(opts *Options, s *vanillabarrow.Snapshot) error {
	table := cmdutil.NewTable(opts.IO, "SERVICE", "TARGET", "DATA CENTRE", "ADDRESS", "SLOTS", "STATE", "ROUTES")
	routes := routesByService(s)
	for _, name := range slices.Sorted(maps.Keys(s.Services)) {
		for _, targetName := range s.Services[name].Targets {
			t := s.Targets[targetName]
			state := "in"
			if t.OutOfService {
				state = "out"
			}
			table.AddRow(name, t.Name, s.VMs[t.VM].DataCentre, t.Address, t.Slots, state, strings.Join(routes[name], ","))
		}
	}
	return table.Print()
}

// routesByService returns the host and path prefix of the routes to each service.
// A route with a split is listed for each of its services.
func routesByService(s *vanillabarrow.Snapshot) map[string][]string {
	routes := map[string][]string{}
	for _, list := range s.Routes {
		for _, r := range list {
			for _, service := range route.Services(r) {
				routes[service] = append(routes[service], r.Host+r.PathPrefix)
			}
		}
	}
	return routes
}
