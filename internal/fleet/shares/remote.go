package shares

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoptiller/hyssoptiller/internal/fleet/directory"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/members"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/rpc"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/transport"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

// Errors of this package.
const (
	// ErrUnreachable says that a process did not answer.
	ErrUnreachable = errors.ConstError("process unreachable")
	// ErrNoGeneration says that the process knows no generation yet, so that
	// it cannot tell who holds a share.
	ErrNoGeneration = errors.ConstError("no generation of share holders known yet")
)

const (
	// askTimeout bounds one call to a holder.
	askTimeout = 150 * time.Millisecond
	// controlTimeout bounds one call that moves shares or members.
	controlTimeout = 2 * time.Second
)

// Peers tells where the entries of the fleet are.
type Peers interface {
	// Address returns the fleet address of an entry.
	Address(vm ident.VM) (string, bool)
	// VMs returns the entries on the VM list.
	VMs() []ident.VM
}

// FromView returns the Peers that a view of the members shows.
func FromView(view members.View) Peers {
	return viewPeers{view}
}

type viewPeers struct {
	view members.View
}

// Address implements Peers.
func (p viewPeers) Address(vm ident.VM) (string, bool) {
	for _, m := range p.view.Entries() {
		if m.VM == vm {
			return m.Address, m.Address != ""
		}
	}
	return "", false
}

// VMs implements Peers.
func (p viewPeers) VMs() []ident.VM {
	var out []ident.VM
	for _, m := range p.view.Entries() {
		if m.State != members.StateGone {
			out = append(out, m.VM)
		}
	}
	return out
}

// FromDirectory returns the Peers of a process that knows only the VM list.
func FromDirectory(d *directory.Directory) Peers {
	return listPeers{d}
}

type listPeers struct {
	directory *directory.Directory
}

// Address implements Peers.
func (p listPeers) Address(vm ident.VM) (string, bool) {
	for _, row := range p.directory.View().Entries() {
		if row.ID == vm {
			return row.Address, row.Address != ""
		}
	}
	return "", false
}

// VMs implements Peers.
func (p listPeers) VMs() []ident.VM {
	var out []ident.VM
	for _, row := range p.directory.View().Entries() {
		out = append(out, row.ID)
	}
	return out
}

// remote calls other processes.
type remote struct {
	client *transport.Client
	peers  Peers
}

// to returns a stub for the entry on vm.
func (r remote) to(vm ident.VM) (rpc.Shares, error) {
	address, ok := r.peers.Address(vm)
	if !ok {
		return nil, ErrUnreachable
	}
	return rpc.NewSharesProtobufClient(r.client.URL(address, ""), r.client.HTTP), nil
}

// call runs f with a stub for the entry on vm and a bounded time.
func (r remote) call(ctx context.Context, vm ident.VM, timeout time.Duration, f func(context.Context, rpc.Shares) error) error {
	stub, err := r.to(vm)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := f(ctx, stub); err != nil {
		return errors.WithType(err, ErrUnreachable)
	}
	return nil
}
