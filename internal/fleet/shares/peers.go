package shares

import (
	"sync"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/fleet/directory"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/members"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

// peersFor is how long a list of the entries is used before it is read again.
const peersFor = 500 * time.Millisecond

// Peers tells where the entries of the fleet are.
type Peers interface {
	// Address returns the fleet address of an entry.
	Address(vm ident.VM) (string, bool)
	// VMs returns the entries on the VM list.
	VMs() []ident.VM
}

// FromView returns the Peers that a view of the members shows.
func FromView(view members.View) Peers {
	return &cachedPeers{read: func() []peer {
		var out []peer
		for _, m := range view.Entries() {
			if m.State != members.StateGone {
				out = append(out, peer{m.VM, m.Address})
			}
		}
		return out
	}}
}

// FromDirectory returns the Peers of a process that knows only the VM list.
func FromDirectory(d *directory.Directory) Peers {
	return &cachedPeers{read: func() []peer {
		var out []peer
		for _, row := range d.View().Entries() {
			out = append(out, peer{row.ID, row.Address})
		}
		return out
	}}
}

type peer struct {
	vm      ident.VM
	address string
}

// cachedPeers keeps a list for a while, since each call needs one address.
type cachedPeers struct {
	read func() []peer

	mu        sync.Mutex
	at        time.Time
	vms       []ident.VM
	addresses map[ident.VM]string
}

// Address implements Peers.
func (p *cachedPeers) Address(vm ident.VM) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refresh()
	address := p.addresses[vm]
	return address, address != ""
}

// VMs implements Peers.
func (p *cachedPeers) VMs() []ident.VM {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refresh()
	return append([]ident.VM(nil), p.vms...)
}

func (p *cachedPeers) refresh() {
	if !p.at.IsZero() && time.Since(p.at) < peersFor {
		return
	}
	p.at = time.Now()
	p.vms = nil
	p.addresses = make(map[ident.VM]string)
	for _, one := range p.read() {
		p.vms = append(p.vms, one.vm)
		p.addresses[one.vm] = one.address
	}
}
