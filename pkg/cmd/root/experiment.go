//go:build !node

package root

import (
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/vanillabarrow/vanillabarrow/pkg/cmd/experiment/fleet"
	"github.com/vanillabarrow/vanillabarrow/pkg/cmd/experiment/plot"
	"github.com/vanillabarrow/vanillabarrow/pkg/cmd/experiment/restore"
	"github.com/vanillabarrow/vanillabarrow/pkg/cmdutil"
)

// experimentCommands returns the commands that measure fleets. They are left out
// of builds with the tag node, because their libraries would take memory in every
// node.
func experimentCommands(f *cmdutil.Factory) []*ffcli.Command {
	return []*ffcli.Command{cmdutil.NewGroup("experiment", "Measure fleets of nodes on one machine",
		"vanillabarrow experiment fleet -nodes 25,50 > fleet.csv",
		fleet.NewCmdFleet(f, nil), plot.NewCmdPlot(f, nil), restore.NewCmdRestore(f, nil))}
}
