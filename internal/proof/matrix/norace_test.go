//go:build !race

package matrix_test

import "time"

// sampleEvery is the sampling interval of cells; 1 runs every cell.
const sampleEvery = 1

// probeInterval is the time between two probes of a change.
const probeInterval = 500 * time.Millisecond
