// Command vanillabarrow runs the nodes of a service mesh and provides tools for
// their operators.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/vanillabarrow/vanillabarrow/internal/build"
	"github.com/vanillabarrow/vanillabarrow/pkg/cmd/root"
	"github.com/vanillabarrow/vanillabarrow/pkg/cmdutil"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return root.Main(ctx, cmdutil.NewFactory(build.Info()), os.Args[1:])
}
