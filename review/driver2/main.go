// Command driver2 runs one case of the second review: it starts the project's programs as processes, with stand-ins for the
// platform's store, runners and clients on loopback, and checks one rule.
//
// It exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// maxRun bounds a case, with the end of its processes.
const maxRunSeconds = 115

var scenarios = map[string]func(*fleet){
	"version-slow": versionSlow,
	"parts-kill":   partsKill,
	"parts-cut":    partsCut,
	"long-prompts": longPrompts,
	"endless-head": endlessHead,
}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: driver2 SCENARIO RECORD-FILE; TROUBLE=0 leaves the disruption out")
		os.Exit(exitCannotRun)
	}
	f, err := newFleet(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCannotRun)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		f.end(exitCannotRun, "interrupted")
	}()
	f.limitTime(maxRunSeconds)
	scenarios[os.Args[1]](f)
	f.end(exitCannotRun, "the case gave no verdict")
}
