package cmdutil

import (
	"github.com/vanillabarrow/vanillabarrow/internal/inventory"
)

// ReadConfigFiles reads the named configuration files, which are not parsed yet.
func ReadConfigFiles(read func(name string) ([]byte, error), names []string) ([]inventory.File, error) {
	files := make([]inventory.File, 0, len(names))
	for _, name := range names {
		b, err := read(name)
		if err != nil {
			return nil, err
		}
		files = append(files, inventory.File{Name: name, Bytes: b})
	}
	return files, nil
}
