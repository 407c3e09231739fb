package connections

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1e9, 0)

func add(t *testing.T, table *Table, address string, s State, at time.Time) *Conn {
	t.Helper()
	c, _ := table.Add(address, at)
	if c == nil {
		t.Fatal("connection refused")
	}
	table.SetState(c, s, at)
	return c
}

// Header sections that are not sent to their end must not take the connections of callers that are served or idle.
func TestConnectionWithoutProgressIsClosedFirst(t *testing.T) {
	table := NewTable(Limits{Connections: 4})
	add(t, table, "balancer", Serving, start)
	add(t, table, "balancer", Idle, start.Add(8*time.Second))
	add(t, table, "balancer", Receiving, start.Add(10*time.Second))
	slow := add(t, table, "balancer", Receiving, start.Add(8*time.Second))
	table.Progress(slow, 1, start.Add(11*time.Second))
	if _, evicted := table.Add("balancer", start.Add(12*time.Second)); evicted != slow {
		t.Errorf("closed %+v, want %+v", evicted, slow)
	}
}

// One address with most of the connections must not push out those of others.
func TestAddressWithMostConnectionsYields(t *testing.T) {
	table := NewTable(Limits{Connections: 4})
	add(t, table, "modest", Idle, start)
	for range 3 {
		add(t, table, "greedy", Idle, start.Add(time.Second))
	}
	if _, evicted := table.Add("modest", start.Add(2*time.Second)); evicted == nil || evicted.address != "greedy" {
		t.Errorf("closed %+v, want one of the address with most connections", evicted)
	}
}

// Requests whose bodies have stopped must not keep others from being taken; served ones do.
func TestStalledRequestYields(t *testing.T) {
	table := NewTable(Limits{Unfinished: 2})
	var conns []*Conn
	for range 2 {
		c := add(t, table, "a", Receiving, start)
		table.Begin(c, start)
		conns = append(conns, c)
	}
	later := start.Add(stall)
	c := add(t, table, "a", Receiving, later)
	if evicted, ok := table.Begin(c, later); !ok || evicted == nil {
		t.Errorf("evicted %+v, taken %t; want a stalled one", evicted, ok)
	}
	for _, v := range conns {
		table.SetState(v, Serving, start)
	}
	if _, ok := table.Begin(add(t, table, "a", Receiving, later), later); ok {
		t.Error("a request was taken beyond the limit, while the others are served")
	}
}

// TestInvariants plays random connections and checks the limits and the counts.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, now := NewTable(Limits{Connections: 5, Unfinished: 3}), start
		var all []*Conn
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond)
			step := rapid.IntRange(0, 5).Draw(t, "step")
			if step < 2 || len(all) == 0 {
				c, evicted := table.Add(rapid.SampledFrom([]string{"x", "y"}).Draw(t, "address"), now)
				if evicted != nil && evicted.state == Serving {
					t.Fatal("a served request was closed")
				}
				if c == nil {
					for v := range table.conns {
						if v.state != Serving {
							t.Fatal("refused although a connection is not served")
						}
					}
					continue
				}
				all = append(all, c)
				continue
			}
			c := all[rapid.IntRange(0, len(all)-1).Draw(t, "conn")]
			switch step {
			case 2:
				table.Remove(c)
			case 3:
				if !c.unfinished {
					table.Begin(c, now)
				}
			case 4:
				table.End(c)
			default:
				table.SetState(c, State(rapid.IntRange(0, 2).Draw(t, "state")), now)
			}
			unfinished, addresses := 0, 0
			for c := range table.conns {
				if c.unfinished {
					unfinished++
				}
			}
			for _, n := range table.byAddress {
				addresses += n
			}
			if table.Len() > 5 || unfinished > 3 || unfinished != table.Unfinished() || addresses != table.Len() {
				t.Fatalf("%d connections, %d by address, %d unfinished, %d counted", table.Len(), addresses, unfinished, table.Unfinished())
			}
		}
	})
}
