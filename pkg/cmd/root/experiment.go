//go:build !node

package root

import (
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/vanillabarrow/vanillabarrow/pkg/cmd/experiment/fleet"
	"github.com/vanillabarrow/vanillabarrow/pkg/cmd/experiment/plot"
	"github.com/vanillabarrow/vanillabarrow/pkg/cmdutil"
)

// experiments returns the commands that measure fleets. Builds with the tag
// node leave them out, because their libraries need memory in every node.
func experiments(f *cmdutil.Factory) []*ffcli.Command {
	return []*ffcli.Command{cmdutil.NewGroup("experiment", "Measure fleets on one machine",
		"vanillabarrow experiment fleet -nodes 25,50 > fleet.csv",
		fleet.NewCmdFleet(f, nil), plot.NewCmdPlot(f, nil))}
}
