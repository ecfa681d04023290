// Package kernel provides what all plug-ins use: the plug-in registry, the
// worker pool with its timers, the locks of shared tables, and HTTP listeners.
package kernel

import (
	"fmt"
	"sort"
	"sync"

	"go.uber.org/fx"
)

// Plugin is one component of a node. Its options provide constructors and
// lifecycle hooks.
type Plugin struct {
	Name string
	// Profile restricts the plug-in to nodes of that profile, empty for all.
	Profile string
	Options fx.Option
}

var registry = struct {
	mu      sync.Mutex
	plugins map[string]Plugin
}{plugins: map[string]Plugin{}}

// Register adds a plug-in. It is called from init functions and panics if the
// name is already registered, because that is a programming error.
func Register(p Plugin) {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	if _, ok := registry.plugins[p.Name]; ok {
		panic(fmt.Sprintf("kernel: plug-in %q registered twice", p.Name))
	}
	registry.plugins[p.Name] = p
}

// Plugins returns the registered plug-ins, sorted by name.
func Plugins() []Plugin {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	plugins := make([]Plugin, 0, len(registry.plugins))
	for _, p := range registry.plugins {
		plugins = append(plugins, p)
	}
	sort.Slice(plugins, func(i, j int) bool { return plugins[i].Name < plugins[j].Name })
	return plugins
}

// Options returns the options of the plug-ins that apply to a profile.
func Options(profile string) fx.Option {
	var options []fx.Option
	for _, p := range Plugins() {
		if p.Profile != "" && p.Profile != profile {
			continue
		}
		options = append(options, fx.Module(p.Name, p.Options))
	}
	return fx.Options(options...)
}

// Tags of the fx value groups that plug-ins contribute to.
const (
	// GroupStates is the tag of the group of StateSource values.
	GroupStates = `group:"states"`
	// GroupDrainers is the tag of the group of Drainer values.
	GroupDrainers = `group:"drainers"`
)

// StateSource provides one table of the state dump.
type StateSource struct {
	Name  string
	State func() any
}

// Drainer holds the callbacks of a plug-in for a graceful shutdown, in the
// order in which they are called.
type Drainer struct {
	Name string
	// Drain is called when the shutdown begins. It may be nil.
	Drain func()
	// Refuse is called shortly before Close, so that other nodes choose other
	// targets before the listeners close. It may be nil.
	Refuse func()
	// Close is called after callers and nodes have had time to switch to other
	// nodes, before the listeners close. It may be nil.
	Close func()
	// Withdraw is called when requests may no longer wait for a slot, while their
	// callers have time left to send them to other nodes. It may be nil.
	Withdraw func()
	// Abort is called when the drain timeout has passed. It ends the requests still in
	// flight, so that their refusals and the responses behind them can be written
	// before the listeners close their connections. It may be nil.
	Abort func()
}

// ProvideState returns an option that adds the constructor's StateSource to
// GroupStates.
func ProvideState(constructor any) fx.Option {
	return fx.Provide(fx.Annotate(constructor, fx.ResultTags(GroupStates)))
}

// ProvideDrainer returns an option that adds the constructor's Drainer to
// GroupDrainers.
func ProvideDrainer(constructor any) fx.Option {
	return fx.Provide(fx.Annotate(constructor, fx.ResultTags(GroupDrainers)))
}
