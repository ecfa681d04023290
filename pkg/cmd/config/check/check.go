// Package check implements "vanillabarrow config check".
package check

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/inventory"
	"github.com/vanillabarrow/vanillabarrow/pkg/cmdutil"
	"github.com/vanillabarrow/vanillabarrow/platform"
)

// Options are the inputs of the command.
type Options struct {
	cmdutil.ConfigOptions
	Files []string
	JSON  bool
	// Profile selects the format of the files.
	Profile string
}

// Report is the result of a check, as printed with -json.
type Report struct {
	OK       bool                `json:"ok"`
	Problems []inventory.Problem `json:"problems,omitempty"`
	Services int                 `json:"services"`
	Targets  int                 `json:"targets"`
	// Routes and Tenants are set for a configuration of the store.
	Routes  int `json:"routes,omitempty"`
	Tenants int `json:"tenants,omitempty"`
}

// NewCmdCheck returns the command. If runF is not nil, it replaces the action, so
// that a test can check the options.
func NewCmdCheck(f *cmdutil.Factory, runF func(ctx context.Context, opts *Options) error) *ffcli.Command {
	opts := &Options{ConfigOptions: cmdutil.NewConfigOptions(f)}
	fs := cmdutil.NewFlagSet("check")
	fs.BoolVar(&opts.JSON, "json", false, "print JSON")
	fs.StringVar(&opts.Profile, "profile", vanillabarrow.ProfileInventory, "`profile` of the nodes: inventory, or store for one configuration as it is written to the store")
	return &ffcli.Command{
		Name:       "check",
		ShortUsage: "vanillabarrow config check <file>... [flags]",
		ShortHelp:  "Check inventory and rules with the compiler of the nodes",
		LongHelp: `Combines the files and checks them with the compiler that nodes use. Lists
every error with its file, line and field. The exit code is 1 if there are
errors.

Rules are the documents in which operators publish routes, request policies and
what is out of service, beside the inventory of VMs, services and targets.

With -profile store, checks one configuration of the store instead: its services,
routes and tenants. Errors never contain a key of a tenant.

Examples:
  vanillabarrow config check inventory.yaml rules.yaml
  vanillabarrow config check -profile store config.json
  generate-inventory | vanillabarrow config check - rules.yaml`,
		FlagSet: fs,
		Options: cmdutil.ParseOptions(),
		Exec:    cmdutil.Exec(fs, opts, cmdutil.SetFiles(&opts.Files), run, runF),
	}
}

func run(_ context.Context, opts *Options) error {
	report, err := check(opts)
	if err != nil {
		return err
	}
	if err := write(opts, report); err != nil {
		return err
	}
	if !report.OK {
		return cmdutil.ErrSilent
	}
	return nil
}

// check returns an error only if the files can't be read.
func check(opts *Options) (Report, error) {
	switch opts.Profile {
	case vanillabarrow.ProfileInventory:
		return checkInventory(opts)
	case vanillabarrow.ProfileStore:
		return checkStore(opts)
	default:
		return Report{}, cmdutil.FlagErrorf("-profile: %q is not one of %s", opts.Profile, strings.Join(vanillabarrow.ProfileNames(), ", "))
	}
}

func checkInventory(opts *Options) (Report, error) {
	snapshot, err := opts.Compile(1, opts.Files)
	if err == nil {
		return Report{OK: true, Services: len(snapshot.Services), Targets: len(snapshot.Targets)}, nil
	}
	var problems inventory.Problems
	if !errors.As(err, &problems) {
		return Report{}, err
	}
	return Report{Problems: problems}, nil
}

// checkStore checks the one value that the store has of the configuration.
func checkStore(opts *Options) (Report, error) {
	if len(opts.Files) != 1 {
		return Report{}, cmdutil.FlagErrorf("expected one file with -profile store")
	}
	files, err := opts.ReadFiles(opts.Files)
	if err != nil {
		return Report{}, err
	}
	summary, err := platform.CheckConfig(files[0].Bytes)
	if err != nil {
		return Report{Problems: inventory.Problems{{File: files[0].Name, Text: err.Error()}}}, nil
	}
	return Report{OK: true, Services: summary.Services, Routes: summary.Routes, Tenants: summary.Tenants}, nil
}

func write(opts *Options, report Report) error {
	if opts.JSON {
		return cmdutil.PrintJSON(opts.IO, report)
	}
	for _, p := range report.Problems {
		if _, err := fmt.Fprintln(opts.IO.ErrOut, p.Error()); err != nil {
			return err
		}
	}
	if !report.OK {
		return nil
	}
	if opts.Profile == vanillabarrow.ProfileStore {
		_, err := fmt.Fprintf(opts.IO.Out, "ok: %d services, %d routes, %d tenants\n", report.Services, report.Routes, report.Tenants)
		return err
	}
	_, err := fmt.Fprintf(opts.IO.Out, "ok: %d services, %d targets\n", report.Services, report.Targets)
	return err
}
