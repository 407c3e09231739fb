// Package directory polls the platform for the VM list and stores the last
// reading. While polls fail, the last reading stays in use.
package directory

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hyssoptiller/hyssoptiller/internal/clients/vmlist"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

// Options configures New.
type Options struct {
	List     vmlist.List
	Interval time.Duration // Time between two polls.
	Log      *logrus.Entry
	OnRead   func(*View) // Called with each new reading, always from the goroutine of Serve; may be nil.
}

// Directory stores the last reading of the VM list. It is safe for concurrent
// use.
type Directory struct {
	opts        Options
	view        atomic.Pointer[View]
	unreachable atomic.Pointer[time.Time] // Time since which polls fail; nil if the last poll succeeded.
}

// View is one reading of the VM list. It is immutable.
type View struct {
	VMs    []vmlist.VM
	ReadAt time.Time // Time of the reading; zero before the first one.
}

// New returns a Directory with an empty view.
func New(opts Options) *Directory {
	d := &Directory{opts: opts}
	d.view.Store(&View{})
	return d
}

// View returns the last reading; an empty View before the first one.
func (d *Directory) View() *View {
	return d.view.Load()
}

// Engines returns the VMs that run engines of the given base model.
func (v *View) Engines(base ident.BaseModel) []vmlist.VM {
	return v.filter(func(vm vmlist.VM) bool {
		return vm.Role == vmlist.RoleEngine && vm.Base == base
	})
}

// PlainEndpoints returns the VMs that run endpoints of the given plain service.
func (v *View) PlainEndpoints(service ident.Service) []vmlist.VM {
	return v.filter(func(vm vmlist.VM) bool {
		return vm.Role == vmlist.RolePlain && vm.Service == service
	})
}

// Entries returns the VMs that run entries.
func (v *View) Entries() []vmlist.VM {
	return v.filter(func(vm vmlist.VM) bool { return vm.Role == vmlist.RoleEntry })
}

func (v *View) filter(keep func(vmlist.VM) bool) []vmlist.VM {
	var out []vmlist.VM
	for _, vm := range v.VMs {
		if keep(vm) {
			out = append(out, vm)
		}
	}
	return out
}

// Serve polls the list until ctx ends. It implements suture.Service.
func (d *Directory) Serve(ctx context.Context) error {
	ticker := time.NewTicker(d.opts.Interval)
	defer ticker.Stop()
	for {
		d.poll(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// poll reads the VM list once and publishes the reading.
func (d *Directory) poll(ctx context.Context) {
	vms, err := d.opts.List.VMs(ctx)
	if err != nil {
		d.setUnreachable(true)
		return
	}
	d.setUnreachable(false)
	view := &View{VMs: vms, ReadAt: time.Now()}
	d.view.Store(view)
	if d.opts.OnRead != nil {
		d.opts.OnRead(view)
	}
}

// UnreachableSince returns the time since which polls of the platform fail. It
// returns false if the last poll succeeded.
func (d *Directory) UnreachableSince() (time.Time, bool) {
	since := d.unreachable.Load()
	if since == nil {
		return time.Time{}, false
	}
	return *since, true
}

// setUnreachable records whether the last poll failed, and logs each change.
func (d *Directory) setUnreachable(unreachable bool) {
	if unreachable == (d.unreachable.Load() != nil) {
		return
	}
	if unreachable {
		now := time.Now()
		d.unreachable.Store(&now)
		d.opts.Log.Warn("VM list lost: reading it failed, the last reading stays in use")
		return
	}
	d.unreachable.Store(nil)
	d.opts.Log.Info("VM list regained: reading it succeeded again")
}
