//go:build race

package harness

import "runtime"

// init limits tests to one thread under the race detector. Go 1.26 runs the
// timers of a synctest bubble on several threads under one race context, and
// the race detector's internal checks then fail.
func init() {
	runtime.GOMAXPROCS(1)
}
