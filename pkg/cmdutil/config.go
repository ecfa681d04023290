package cmdutil

import (
	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/inventory"
	"github.com/vanillabarrow/vanillabarrow/pkg/iostreams"
)

// ConfigOptions are the options of all commands that read configuration files.
type ConfigOptions struct {
	IO   *iostreams.IOStreams
	Read func(name string) ([]byte, error)
}

// NewConfigOptions returns the options with the streams and files of the factory.
func NewConfigOptions(f *Factory) ConfigOptions {
	return ConfigOptions{IO: f.IO, Read: f.ReadInput}
}

// ReadFiles reads the named configuration files, which are not parsed yet.
func (o ConfigOptions) ReadFiles(names []string) ([]inventory.File, error) {
	files := make([]inventory.File, 0, len(names))
	for _, name := range names {
		b, err := o.Read(name)
		if err != nil {
			return nil, err
		}
		files = append(files, inventory.File{Name: name, Bytes: b})
	}
	return files, nil
}

// Compile reads and compiles the named configuration files. Errors in their
// content are of type inventory.Problems.
func (o ConfigOptions) Compile(version vanillabarrow.Version, names []string) (*vanillabarrow.Snapshot, error) {
	files, err := o.ReadFiles(names)
	if err != nil {
		return nil, err
	}
	return inventory.CompileFiles(version, files)
}
