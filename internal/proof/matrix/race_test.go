//go:build race

package matrix_test

import "time"

// sampleEvery runs one cell of so many: the race detector makes a cell several
// times dearer, and the cells share their code.
const sampleEvery = 23

// probeEvery is the time between two probes of a change.
const probeEvery = 4 * time.Second
