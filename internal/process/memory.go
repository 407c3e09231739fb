package process

import "runtime/debug"

const (
	// heapMemoryShare is the fraction of the memory of a VM that is given to Go as
	// its memory limit. Stacks, socket buffers and the runtime use the remainder.
	heapMemoryShare = 0.6
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
		debug.SetMemoryLimit(int64(heapMemoryShare * float64(mb) * (1 << 20)))
	}
}
