package trace

import (
	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/logging"
)

// noVersion is the version that nodes without a configuration log.
const noVersion = "0"

// configFilter selects the lines about the configuration that concern a request:
// those about the versions that it used and about the targets that it tried. A
// request without a version or a target may have been refused because of any of
// them, so it allows all.
type configFilter struct {
	versions map[string]bool
	targets  map[string]bool
}

func newConfigFilter(requestLines []Line) configFilter {
	f := configFilter{versions: map[string]bool{}, targets: map[string]bool{}}
	for _, l := range requestLines {
		if version := l.Get("version"); version != "" && version != noVersion {
			f.versions[version] = true
		}
		for _, key := range []string{"target", "hedgeTarget"} {
			if target := l.Get(key); target != "" {
				f.targets[target] = true
			}
		}
	}
	return f
}

// allows reports whether the line concerns the request or is not about the
// configuration.
func (f configFilter) allows(l *Line) bool {
	switch l.Event {
	case logging.EventConfigApplied:
		return isEmptyOrHas(f.versions, l.Get("asOf"))
	case logging.EventVersionApplied:
		// Versions of the VM list are not those that requests name.
		return l.Get("topic") != string(vanillabarrow.TopicConfig) || isEmptyOrHas(f.versions, l.Get("version"))
	case logging.EventTargetAdded, logging.EventTargetRemoved, logging.EventTargetDraining, logging.EventTargetExpired:
		return isEmptyOrHas(f.targets, l.Get("target"))
	default:
		return true
	}
}

func isEmptyOrHas(set map[string]bool, value string) bool { return len(set) == 0 || set[value] }
