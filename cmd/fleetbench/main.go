// Command fleetbench starts fleets of node processes beside a platform
// stand-in and measures them. It prints CSV.
package main

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"strconv"
	"strings"
	"syscall"

	"github.com/vanillabarrow/vanillabarrow/internal/fleetbench"
)

func main() {
	os.Exit(run())
}

func run() int {
	binary := flag.String("binary", "bin/vanillabarrow", "node `program` to start")
	sizes := flag.String("nodes", "25,50,100,200", "fleet `sizes`, separated by commas")
	phases := flag.String("phases", "", "measure only these `phases`, separated by commas")
	draw := flag.String("draw", "", "draw the measurements in this CSV `file` instead of measuring")
	shape := fleetbench.FullShape()
	flag.IntVar(&shape.Targets, "targets", shape.Targets, "`number` of targets in the inventory")
	flag.IntVar(&shape.Services, "services", shape.Services, "`number` of services in the inventory")
	flag.IntVar(&shape.DataCentres, "data-centres", shape.DataCentres, "`number` of data centres")
	flag.Parse()
	if *draw != "" {
		if err := plots(*draw); err != nil {
			fmt.Fprintf(os.Stderr, "error: %v\n", err)
			return 1
		}
		return 0
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	fmt.Println(fleetbench.Header)
	for size := range strings.SplitSeq(*sizes, ",") {
		n, err := strconv.Atoi(size)
		if err != nil || n < 1 || n > shape.Targets {
			fmt.Fprintf(os.Stderr, "error: %q is no fleet size from 1 to %d\n", size, shape.Targets)
			return 2
		}
		_, err = fleetbench.Run(ctx, fleetbench.Config{
			Binary: *binary, Nodes: n, Shape: shape, Phases: selected(*phases),
			Log: func(format string, args ...any) { fmt.Printf(format+"\n", args...) },
		})
		if err != nil {
			fmt.Fprintf(os.Stderr, "error: %d nodes: %v\n", n, err)
			return 1
		}
	}
	return 0
}

// selected returns the named phases, all for an empty list.
func selected(names string) []fleetbench.Phase {
	all := fleetbench.Phases()
	if names == "" {
		return all
	}
	return slices.DeleteFunc(all, func(p fleetbench.Phase) bool {
		return !slices.Contains(strings.Split(names, ","), p.Name)
	})
}

// plots draws convergence and costs beside the CSV file.
func plots(file string) error {
	b, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	base := strings.TrimSuffix(file, ".csv")
	err = fleetbench.Plot(bytes.NewReader(b), "changes", "convergence at 4,300 changes a day, ms",
		[]string{"convergeP50Ms", "convergeP99Ms", "convergeMaxMs"}, base+"-convergence.svg")
	if err != nil {
		return err
	}
	return fleetbench.Plot(bytes.NewReader(b), "idle", "idle cost of a node",
		[]string{"cpuPercentPerNode", "memoryMBPerNode"}, base+"-cost.svg")
}
