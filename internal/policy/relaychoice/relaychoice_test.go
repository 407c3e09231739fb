package relaychoice

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Pattern: hundreds of processes start, and each would read the store itself. In any fleet, one router
// of each failure domain that has routers reads the store, and all other processes of the domain choose
// it, also those that know the routers in another order.
func TestOneProcessOfEachFailureDomainReadsTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		domains := rapid.IntRange(1, 6).Draw(t, "domains")
		var relays []Relay
		for i := range rapid.IntRange(1, 60).Draw(t, "routers") {
			relays = append(relays, Relay{
				VM: fmt.Sprint("entry-", i), Address: fmt.Sprint("10.0.0.", i, ":1"),
				FailureDomain: fmt.Sprint(rapid.IntRange(0, domains-1).Draw(t, "domain")),
			})
		}
		chosen := map[string]string{}
		direct := map[string]int{}
		for _, self := range relays {
			c := NewChooser(self.VM, self.FailureDomain)
			for _, r := range rapid.Permutation(relays).Draw(t, "order") {
				c.Set(r)
			}
			r, ok := c.Choose(now)
			if !ok {
				direct[self.FailureDomain]++
				r = self
			}
			if r.FailureDomain != self.FailureDomain {
				t.Fatalf("%+v reads from %+v, want one of its own failure domain", self, r)
			}
			if former := chosen[self.FailureDomain]; former != "" && former != r.VM {
				t.Fatalf("processes of %s read from %s and %s, want one", self.FailureDomain, former, r.VM)
			}
			chosen[self.FailureDomain] = r.VM
		}
		for domain, n := range direct {
			if n != 1 {
				t.Fatalf("processes of failure domain %s that read the store = %d, want 1", domain, n)
			}
		}
		if len(direct) != len(chosen) {
			t.Fatalf("failure domains with a reader of the store: %v, want one in each of %v", direct, chosen)
		}
	})
}

// A relay that failed is not chosen for the given time. A process whose relays all failed reads the
// store.
func TestExcludedRelayIsNotChosen(t *testing.T) {
	now := time.Unix(1000, 0)
	c := NewChooser("", "a")
	if _, ok := c.Choose(now); ok {
		t.Fatal("chooser without relays chose one")
	}
	c.Set(Relay{VM: "1", FailureDomain: "a"})
	c.Set(Relay{VM: "2", FailureDomain: "a"})
	c.Set(Relay{VM: "3", FailureDomain: "b"})
	first, _ := c.Choose(now)
	c.Exclude(first.VM, now.Add(LostDelay))
	second, ok := c.Choose(now.Add(LostDelay - 1))
	if !ok || second.VM == first.VM || second.FailureDomain != "a" {
		t.Errorf("choice after the failure of %+v = %+v, want the other one of its failure domain", first, second)
	}
	c.Exclude(second.VM, now.Add(LostDelay))
	if r, ok := c.Choose(now); ok {
		t.Errorf("choice after both failed = %+v, want none", r)
	}
	if r, _ := c.Choose(now.Add(LostDelay)); r != first {
		t.Errorf("choice after the delay = %+v, want %+v", r, first)
	}
	c.Remove("1")
	c.Remove("2")
	if r, ok := c.Choose(now); !ok || r.VM != "3" {
		t.Errorf("choice without relays in the failure domain = %+v, want the one of another", r)
	}
}

// The process that can relay the most reads for the others, whatever the order in which they are known. Routers
// of a former build, whose capacity is unknown, come last; of equal ones the hash decides.
func TestRouterOfHighestCapacityReadsTheStore(t *testing.T) {
	now := time.Unix(1000, 0)
	relays := []Relay{
		{VM: "former", FailureDomain: "a"},
		{VM: "slow-1", FailureDomain: "a", Capacity: Capacity(10, 0.144)},
		{VM: "slow-2", FailureDomain: "a", Capacity: Capacity(10, 0.144)},
		{VM: "fast", FailureDomain: "a", Capacity: Capacity(200, 0.8)},
		{VM: "elsewhere", FailureDomain: "b", Capacity: Capacity(1000, 1)},
	}
	rapid.Check(t, func(t *rapid.T) {
		c := NewChooser("", "a")
		for _, r := range rapid.Permutation(relays).Draw(t, "order") {
			c.Set(r)
		}
		var order []string
		for {
			r, ok := c.Choose(now)
			if !ok {
				break
			}
			order = append(order, r.VM)
			c.Exclude(r.VM, now.Add(time.Second))
		}
		if len(order) != 4 || order[0] != "fast" || order[3] != "former" {
			t.Fatalf("order = %v, want fast, the two slow ones and former", order)
		}
	})
}

// The capacity is bounded by the link and by the processor; what is unknown does not count.
func TestCapacityIsThatOfTheTighterLimit(t *testing.T) {
	for _, tc := range []struct{ link, cpu, want float64 }{
		{10, 0.144, 10}, {200, 0.8, 200}, {2000, 0.5, 200}, {10, 0, 10}, {0, 0.5, 200}, {0, 0, 0}, {-1, -1, 0}, {-5, 0.5, 200},
	} {
		if got := Capacity(tc.link, tc.cpu); got != tc.want {
			t.Errorf("capacity of a link of %g Mbit/s and %g of a core = %g, want %g", tc.link, tc.cpu, got, tc.want)
		}
	}
}
