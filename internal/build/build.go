// Package build reports the version of the binary.
package build

import "runtime/debug"

// Version is set with the linker flag -X in releases.
var Version = ""

// Info returns Version, or the module version in the build information if
// Version is empty.
func Info() string {
	if Version != "" {
		return Version
	}
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		return info.Main.Version
	}
	return "(devel)"
}
