package dispatch

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssoptiller/hyssoptiller/internal/fleet/directory"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/wire"
	"github.com/hyssoptiller/hyssoptiller/internal/platform/vmlist"
)

// Rendezvous orders the endpoints of a job by rendezvous hashing over the VM
// list, so that one adapter meets the same few endpoints.
type Rendezvous struct {
	Directory *directory.Directory
}

// Candidates implements Endpoints.
func (r *Rendezvous) Candidates(job wire.Job) []vmlist.VM {
	view := r.Directory.View()
	vms := view.Engines(job.Base)
	if job.Service != "" {
		vms = view.Plain(job.Service)
	}
	live := vms[:0]
	for _, vm := range vms {
		if vm.State == vmlist.StateLive {
			live = append(live, vm)
		}
	}
	key := string(job.Adapter)
	if job.Service != "" {
		key = string(job.Request)
	}
	sort.Slice(live, func(i, j int) bool { return score(key, live[i]) > score(key, live[j]) })
	return live
}

// Observe implements Endpoints; rendezvous hashing alone learns nothing.
func (r *Rendezvous) Observe(Observation) {}

func score(key string, vm vmlist.VM) uint64 {
	return xxhash.Sum64String(key + "\x00" + string(vm.ID))
}
