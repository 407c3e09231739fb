package placement

import (
	"runtime"
	"testing"
)

// BenchmarkMemory reports the heap bytes of a placer after one request of every
// adapter, each with a response and its own prefix. The placer has targetEndpoints endpoints
// and there are targetAdapters adapters.
func BenchmarkMemory(b *testing.B) {
	jobs := targetJobs()
	for b.Loop() {
		before := heapBytes()
		p := targetPlacer()
		for i, job := range jobs {
			job.Prefix = uint64(i + 1)
			vm := p.Choose(start, job)[0]
			p.RecordResponse(start, vm, job, "boot", Load{Capacity: 16})
		}
		b.ReportMetric(float64(heapBytes()-before), "bytes/placer")
		runtime.KeepAlive(p)
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
