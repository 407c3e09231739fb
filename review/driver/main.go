//go:build review

package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxDuration ends a case that hangs.
const maxDuration = 115 * time.Second

// cases are the plays by name. Each returns whether the rule was broken.
var cases = map[string]func(*fleet) bool{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: driver CASE FOLDER")
		os.Exit(exitNotRun)
	}
	out, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	f := newFleet(out, os.Getenv("TROUBLE") != "0")
	code := exitNotRun
	go func() {
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
		select {
		case <-signals:
		case <-time.After(maxDuration):
		}
		f.record("case given up")
		f.stopAll()
		os.Exit(exitNotRun)
	}()
	func() {
		defer func() {
			if r := recover(); r != nil {
				f.record("case could not run: %v", r)
				code = exitNotRun
			}
		}()
		code = exitHeld
		if cases[os.Args[1]](f) {
			code = exitBroken
		}
	}()
	f.stopAll()
	f.record("exit code %d (0 held, 1 broken, 2 not run)", code)
	fmt.Printf("%s: exit code %d\n", os.Args[1], code)
	_ = out.Close()
	os.Exit(code)
}
