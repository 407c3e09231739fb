//go:build !race

package matrix_test

import "time"

// sampleEvery runs every cell.
const sampleEvery = 1

// probeEvery is the time between two probes of a change.
const probeEvery = 500 * time.Millisecond
