//go:build race

package matrix_test

import "time"

// sampleEvery is the sampling interval of cells. The race detector makes a cell
// several times slower, and the cells share their code.
const sampleEvery = 23

// probeInterval is the time between two probes of a change.
const probeInterval = 4 * time.Second
