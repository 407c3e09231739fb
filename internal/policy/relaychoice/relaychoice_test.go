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
