//go:build race

package matrix_test

// sampleEvery runs one cell of so many: the race detector makes a cell several
// times dearer, and the cells share their code.
const sampleEvery = 9
