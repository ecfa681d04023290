//go:build node

package root

import (
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/vanillabarrow/vanillabarrow/pkg/cmdutil"
)

func experimentCommands(*cmdutil.Factory) []*ffcli.Command { return nil }
