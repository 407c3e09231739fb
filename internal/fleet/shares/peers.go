package shares

import (
	"sync"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/fleet/directory"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/members"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

// peerCacheTTL is how long a list of the entries is used before it is read
// again.
const peerCacheTTL = 500 * time.Millisecond

// Peers provides the entries of the fleet and their addresses.
type Peers interface {
	// Address returns the fleet address of an entry, and false if it is not
	// known.
	Address(vm ident.VM) (string, bool)
	// VMs returns the entries on the VM list.
	VMs() []ident.VM
}

// PeersFromView returns the Peers of a members.View, without members in StateExpired.
func PeersFromView(view members.View) Peers {
	return &cachedPeers{read: func() []peer {
		var out []peer
		for _, m := range view.Entries() {
			if m.State != members.StateExpired {
				out = append(out, peer{m.VM, m.Address})
			}
		}
		return out
	}}
}

// PeersFromDirectory returns the Peers of a process that has only the VM list.
func PeersFromDirectory(d *directory.Directory) Peers {
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

// cachedPeers caches the list of entries, because each call looks up an
// address.
type cachedPeers struct {
	read func() []peer

	mu        sync.Mutex
	readAt    time.Time
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

// refresh reads the list again if the cache has expired. p.mu must be held.
func (p *cachedPeers) refresh() {
	if !p.readAt.IsZero() && time.Since(p.readAt) < peerCacheTTL {
		return
	}
	p.readAt = time.Now()
	p.vms = nil
	p.addresses = make(map[ident.VM]string)
	for _, entry := range p.read() {
		p.vms = append(p.vms, entry.vm)
		p.addresses[entry.vm] = entry.address
	}
}
