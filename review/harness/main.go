// Command harness runs the scripted cases of the review. It starts the node
// processes of a small deployment with the command of the deploy file, and plays
// the platform's store, the upstreams and the clients itself, all on loopback
// addresses.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// errNotRun reports why a case could not run.
type errNotRun struct{ reason string }

func (e errNotRun) Error() string { return e.reason }

// scenarios maps the names of the cases to their code. A scenario returns the
// number of violations of its rule.
var scenarios = map[string]func(d *deployment, trouble bool) (int, error){
	"twice":   runTwice,
	"prefix":  runPrefix,
	"readers": runReaders,
	"cut":     runCutWatch,
	"silent":  runSilent,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: harness SCENARIO RECORD")
		return exitNotRun
	}
	scenario, ok := scenarios[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown scenario "+os.Args[1])
		return exitNotRun
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	trouble := os.Getenv("TROUBLE") != "0"
	r.add("scenario %s, disruption %v", os.Args[1], trouble)
	violations, err := play(r, scenario, trouble)
	switch {
	case err != nil:
		r.add("could not run: %v", err)
		return exitNotRun
	case violations > 0:
		r.add("RULE BROKEN: %d violations", violations)
		return exitBroken
	}
	r.add("rule held")
	return exitHeld
}

// play runs a scenario on a deployment of its own.
func play(r *record, scenario func(d *deployment, trouble bool) (int, error), trouble bool) (int, error) {
	d, err := newDeployment(r)
	if err != nil {
		return 0, err
	}
	defer d.close()
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, os.Interrupt, syscall.SIGTERM)
	type outcome struct {
		violations int
		err        error
	}
	done := make(chan outcome, 1)
	go func() {
		if err := d.start(); err != nil {
			done <- outcome{err: err}
			return
		}
		violations, err := scenario(d, trouble)
		done <- outcome{violations, err}
	}()
	select {
	case o := <-done:
		return o.violations, o.err
	case s := <-interrupts:
		return 0, errNotRun{"interrupted by " + s.String()}
	}
}
