package drain

import (
	"context"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/ident"
	"github.com/hyssoptiller/hyssoptiller/internal/platform/vmlist"
)

const (
	minPoll     = 3 * time.Second
	rowBytes    = 200  // Of one row on the wire.
	listPerNode = 1000 // Bytes a second that one agent may read of the list.
)

// PollInterval returns the time between two readings of a list with the given
// number of rows. It grows with the list, so that a node's share of control
// traffic stays the same at any size; the entries stop sending to a leaving VM
// by themselves, and the agent's reading is the second way.
func PollInterval(rows int) time.Duration {
	spread := time.Duration(rows) * rowBytes * time.Second / listPerNode
	return max(spread, minPoll)
}

// Listed closes a Gate while the VM list says that the VM is leaving. A VM
// that is not on the list is not leaving: the list lags. It is a
// suture.Service.
type Listed struct {
	Gate *Gate
	List vmlist.List
	VM   ident.VM
}

// String names the service in the supervisor's events.
func (l *Listed) String() string {
	return "vm list"
}

// Serve reads the list until ctx ends.
func (l *Listed) Serve(ctx context.Context) error {
	for {
		timer := time.NewTimer(l.poll(ctx))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
	}
}

func (l *Listed) poll(ctx context.Context) time.Duration {
	vms, err := l.List.VMs(ctx)
	if err != nil {
		return minPoll // The last word of the list stays in force.
	}
	for _, vm := range vms {
		if vm.ID == l.VM {
			l.Gate.Set(ReasonVMList, vm.State == vmlist.StateLeaving)
		}
	}
	return PollInterval(len(vms))
}
