// Package cmdutil provides helpers that the commands share.
package cmdutil

import (
	"flag"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/vanillabarrow/vanillabarrow/pkg/iostreams"
)

// EnvPrefix is the prefix of the environment variables that set flags.
const EnvPrefix = "VANILLABARROW"

const (
	// httpTimeout limits a request to one node.
	httpTimeout = 5 * time.Second
	// MaxResponseHeaderBytes is the maximum size of a node's response header.
	MaxResponseHeaderBytes = 256 << 10
)

// Factory holds the external dependencies of the commands.
type Factory struct {
	IO       *iostreams.IOStreams
	HTTP     *http.Client
	ReadFile func(name string) ([]byte, error)
	Version  string
}

// NewFactory returns a factory with the streams and files of the process. The
// version is the one that the program prints.
func NewFactory(version string) *Factory {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxResponseHeaderBytes = MaxResponseHeaderBytes
	return &Factory{
		IO:       iostreams.System(),
		HTTP:     &http.Client{Transport: transport, Timeout: httpTimeout},
		ReadFile: os.ReadFile,
		Version:  version,
	}
}

// NewFlagSet returns a flag set that returns parse errors and prints nothing.
func NewFlagSet(name string) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(io.Discard)
	return fs
}

// ParseOptions returns the parse options of all commands: a flag that is not
// given is set from its environment variable.
func ParseOptions() []ff.Option {
	return []ff.Option{ff.WithEnvVarPrefix(EnvPrefix)}
}

// ReadInput reads the named file, or standard input if the name is
// StandardInput.
func (f *Factory) ReadInput(name string) ([]byte, error) {
	if name == StandardInput {
		return io.ReadAll(f.IO.In)
	}
	return f.ReadFile(name)
}

// NewGroup returns a command that only has subcommands. The example is one
// command line.
func NewGroup(name, short, example string, subcommands ...*ffcli.Command) *ffcli.Command {
	return &ffcli.Command{
		Name:        name,
		ShortUsage:  "vanillabarrow " + name + " <command> [flags]",
		ShortHelp:   short,
		LongHelp:    "Examples:\n  " + example,
		FlagSet:     NewFlagSet(name),
		Options:     ParseOptions(),
		Subcommands: subcommands,
		Exec:        ExecGroup,
	}
}
