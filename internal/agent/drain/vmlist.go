package drain

import (
	"github.com/hyssoptiller/hyssoptiller/internal/clients/vmlist"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/directory"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

// CloseWhileLeaving returns a callback for directory.Options.OnRead. After each
// read of the VM list, the callback closes the gate if the VM is marked as
// leaving, and otherwise removes that reason. If the VM is not on the list, the
// gate stays as it is, because the list may lag.
func CloseWhileLeaving(gate *Gate, vm ident.VM) func(*directory.View) {
	return func(view *directory.View) {
		for _, row := range view.VMs {
			if row.ID == vm {
				gate.SetReason(ReasonVMList, row.State == vmlist.StateLeaving)
			}
		}
	}
}
