// Command standins2 holds the stand-ins of the scripts below review/ and plays one
// case: it starts the nodes as processes, and the store, the upstreams and the clients
// itself.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases holds the cases by name. They return whether the rule was broken.
var cases = map[string]func(rec *record, trouble bool) (broken bool, err error){
	"pipeline": playPipeline,
	"stop":     playStop,
	"late":     playLate,
	"queued":   playQueued,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins2 <case> <folder of the case>")
		os.Exit(exitNotRun)
	}
	rec := newRecord()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	done := make(chan int, 1)
	go func() { done <- play(rec, os.Args[1]) }()
	code := exitNotRun
	select {
	case code = <-done:
	case <-interrupted:
		// The nodes end with this process.
	}
	if err := rec.write(filepath.Join(os.Args[2], "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = exitNotRun
	}
	os.Exit(code)
}

// play plays a case and returns the exit code.
func play(rec *record, name string) int {
	trouble := os.Getenv("TROUBLE") != "0"
	broken, err := cases[name](rec, trouble)
	switch {
	case err != nil:
		rec.add("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return exitNotRun
	case broken:
		fmt.Println("the rule was broken")
		return exitBroken
	default:
		fmt.Println("the rule held")
		return exitHeld
	}
}
