//go:build !race

package matrix_test

// sampleEvery runs every cell.
const sampleEvery = 1
