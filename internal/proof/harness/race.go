//go:build race

package harness

import "runtime"

// Under the race detector the tests of one bubble run on one thread: Go 1.26
// runs the timers of a bubble on several threads under one race context, and
// the detector then fails its own checks.
func init() {
	runtime.GOMAXPROCS(1)
}
