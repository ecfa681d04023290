// Package build tells which build this is.
package build

import "runtime/debug"

// Version is set by the linker for releases.
var Version = ""

// Info returns the version, or the one that the module system recorded.
func Info() string {
	if Version != "" {
		return Version
	}
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		return info.Main.Version
	}
	return "(devel)"
}
