package relaychoice

import (
	"cmp"
	"slices"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/policy/rendezvous"
)

const (
	// LostDelay is how long a relay that did not respond is not chosen. By then the registration of a
	// router that ended has expired.
	LostDelay = 10 * time.Second
	// StaleDelay is how long a relay that did not reach the store is not chosen.
	StaleDelay = 3 * time.Second
)

// Relay is a process that can relay changes.
type Relay struct {
	VM            string
	Address       string
	FailureDomain string
	Capacity      float64 // Changes that it can relay, in Mbit/s; 0 if unknown.
}

// coreMbps is what one core encodes and sends, in Mbit/s.
const coreMbps = 400

// Capacity returns what a VM can relay by its link and its share of a core. 0 is an unknown link or share.
func Capacity(linkMbps, cpuShare float64) float64 {
	link, cpu := max(linkMbps, 0), max(cpuShare, 0)*coreMbps
	if link == 0 || cpu == 0 {
		return max(link, cpu)
	}
	return min(link, cpu)
}

// Chooser chooses the relay of one process.
type Chooser struct {
	self   Relay // Its VM is "" if the process itself is no relay.
	relays map[string]Relay
	order  []Relay              // Relays of the failure domain, or all if it has none, best first: by capacity, then by hash.
	until  map[string]time.Time // Time before which a relay is not chosen, by VM.
}

// NewChooser returns a Chooser that knows no relays. vm is "" for a process that is no relay.
func NewChooser(vm, failureDomain string) *Chooser {
	return &Chooser{
		self: Relay{VM: vm, FailureDomain: failureDomain}, relays: make(map[string]Relay), until: make(map[string]time.Time),
	}
}

// Set adds or changes a relay. A relay that has a new address has restarted; its failures no longer
// count.
func (c *Chooser) Set(r Relay) {
	if c.relays[r.VM] == r {
		return
	}
	c.relays[r.VM] = r
	delete(c.until, r.VM)
	c.sort()
}

// Remove removes a relay.
func (c *Chooser) Remove(vm string) {
	delete(c.relays, vm)
	delete(c.until, vm)
	c.sort()
}

// Exclude records that a relay failed and is not chosen before until.
func (c *Chooser) Exclude(vm string, until time.Time) {
	if _, known := c.relays[vm]; known {
		c.until[vm] = until
	}
}

// Choose returns the relay to read from. It returns false if the process must read the store itself.
func (c *Chooser) Choose(now time.Time) (Relay, bool) {
	for _, r := range c.order {
		if r.VM == c.self.VM {
			return Relay{}, false
		}
		if !now.Before(c.until[r.VM]) {
			return r, true
		}
	}
	return Relay{}, false
}

// IsReader reports whether the process reads the store for its failure domain, or has no relays.
func (c *Chooser) IsReader() bool { return len(c.order) == 0 || c.order[0].VM == c.self.VM }

// sort orders the relays. All processes of a failure domain have the same order.
func (c *Chooser) sort() {
	c.order = c.order[:0]
	for _, r := range c.relays {
		if r.FailureDomain == c.self.FailureDomain {
			c.order = append(c.order, r)
		}
	}
	if len(c.order) == 0 {
		for _, r := range c.relays {
			c.order = append(c.order, r)
		}
	}
	key := rendezvous.Hash(c.self.FailureDomain)
	score := func(r Relay) uint64 { return rendezvous.Score(key, rendezvous.Hash(r.VM)) }
	slices.SortFunc(c.order, func(a, b Relay) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(score(b), score(a)))
	})
}
