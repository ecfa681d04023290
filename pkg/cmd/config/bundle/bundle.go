// Package bundle implements "vanillabarrow config bundle".
package bundle

import (
	"context"
	"os"
	"path/filepath"

	"github.com/peterbourgon/ff/v3/ffcli"
	"gopkg.in/yaml.v3"

	"github.com/vanillabarrow/vanillabarrow/internal/inventory"
	"github.com/vanillabarrow/vanillabarrow/pkg/cmdutil"
)

const (
	dirMode  = 0o755
	fileMode = 0o644
)

// Options are the inputs of the command.
type Options struct {
	cmdutil.ConfigOptions
	Files []string
	Dir   string
}

// NewCmdBundle returns the command. If runF is not nil, it replaces the action, so
// that a test can check the options.
func NewCmdBundle(f *cmdutil.Factory, runF func(ctx context.Context, opts *Options) error) *ffcli.Command {
	opts := &Options{ConfigOptions: cmdutil.NewConfigOptions(f)}
	fs := cmdutil.NewFlagSet("bundle")
	fs.StringVar(&opts.Dir, "out", "", "`directory` to write the files to")
	return &ffcli.Command{
		Name:       "bundle",
		ShortUsage: "vanillabarrow config bundle <file>... -out <directory>",
		ShortHelp:  "Write the manifest and parts of a version to publish",
		LongHelp: `Checks the files and writes each of them as a part to config/parts/<digest>,
and a manifest that names the parts to config/manifest.

Publish each part under the key that is its path, then the manifest under the
key config. The manifest must come last, so that no node sees a version whose
parts are missing.

Examples:
  vanillabarrow config bundle rules.yaml sk-west-a.yaml sk-west-b.yaml -out values`,
		FlagSet: fs,
		Options: cmdutil.ParseOptions(),
		Exec:    cmdutil.Exec(fs, opts, opts.setArgs, run, runF),
	}
}

// setArgs checks the arguments and the flags, and keeps the arguments in the
// options.
func (o *Options) setArgs(args []string) error {
	if err := cmdutil.SetFiles(&o.Files)(args); err != nil {
		return err
	}
	if o.Dir == "" {
		return cmdutil.FlagErrorf("-out is required: give the directory to write to")
	}
	return nil
}

func run(_ context.Context, opts *Options) error {
	files, err := opts.ReadFiles(opts.Files)
	if err != nil {
		return err
	}
	if _, err := inventory.CompileFiles(1, files); err != nil {
		return err
	}
	manifest, parts := inventory.BuildManifest(files)
	content, err := yaml.Marshal(manifest)
	if err != nil {
		return err
	}
	table := cmdutil.NewTable(opts.IO, "KEY", "BYTES")
	for _, p := range parts {
		if err := writeValue(opts.Dir, p.Key, p.Bytes); err != nil {
			return err
		}
		table.AddRow(p.Key, len(p.Bytes))
	}
	if err := writeValue(opts.Dir, "config/manifest", content); err != nil {
		return err
	}
	table.AddRow("config/manifest", len(content))
	return table.Print()
}

func writeValue(dir, key string, content []byte) error {
	name := filepath.Join(dir, filepath.FromSlash(key))
	if err := os.MkdirAll(filepath.Dir(name), dirMode); err != nil {
		return err
	}
	return os.WriteFile(name, content, fileMode)
}
