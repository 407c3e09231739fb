package process

import "runtime/debug"

const (
	// goMemoryShare is the fraction of the memory of a VM that is given to Go as
	// its memory limit, which includes goroutine stacks and the Go runtime. Socket
	// buffers of the kernel and other processes use the remainder.
	goMemoryShare = 0.6
	// gcPercent is the growth of the heap, in percent, that starts a garbage
	// collection.
	gcPercent = 150
)

// LimitMemory sets the garbage collection percentage of the process. It also sets
// the memory limit of the Go runtime for a VM with mb MB (of 2^20 bytes) of
// memory, unless mb is 0.
func LimitMemory(mb int) {
	debug.SetGCPercent(gcPercent)
	if mb > 0 {
		debug.SetMemoryLimit(int64(goMemoryShare * float64(mb) * (1 << 20)))
	}
}
