package limit

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

// entriesAtTarget is the number of entries of the largest supported fleet.
const entriesAtTarget = 330

// manyMembers returns n holders in their first generation.
func manyMembers(n int) (Generation, map[Member]*Holder) {
	gen := Generation{Number: 1}
	for i := range n {
		gen.Members = append(gen.Members, Member{VM: ident.VM(fmt.Sprintf("entry-%03d", i)), Incarnation: 1})
	}
	holders := make(map[Member]*Holder, n)
	for _, m := range gen.Members {
		holders[m] = NewHolder(m, start)
		holders[m].StartFirstGeneration(start, gen)
	}
	return gen.WithHashes(), holders
}

// BenchmarkShare measures one reservation and its settlement at a share with
// the given number of outstanding reservations.
func BenchmarkShare(b *testing.B) {
	for _, outstanding := range []int{0, 1000} {
		b.Run(fmt.Sprintf("outstanding=%d", outstanding), func(b *testing.B) {
			terms := Terms{Rate: 1 << 20, Burst: 1 << 30, Revision: 1}
			s := newShare(terms, terms.burst(), start)
			for i := range outstanding {
				s.reserve(start, ReservationID(strconv.Itoa(i)), 100, 100, false)
			}
			now := start
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Microsecond)
				s.advance(now)
				s.reserve(now, "benchmark", 100, 100, true)
				s.settle(now, "benchmark", 50)
			}
		})
	}
}

// BenchmarkPlan measures the CPU time of one reservation at the reserver and
// the holders without network calls, and reports the number of calls.
func BenchmarkPlan(b *testing.B) {
	for _, tokens := range []int64{100, 20000} {
		for _, entries := range []int{4, entriesAtTarget} {
			b.Run(fmt.Sprintf("entries=%d/tokens=%d", entries, tokens), func(b *testing.B) {
				benchmarkPlan(b, entries, tokens)
			})
		}
	}
}

func benchmarkPlan(b *testing.B, entries int, tokens int64) {
	gen, holders := manyMembers(entries)
	terms := Terms{Rate: 1 << 20, Burst: 1 << 18, Revision: 1}
	calls, plans := 0, 0
	b.ReportAllocs()
	for b.Loop() {
		plans++
		self := gen.Members[plans%entries]
		plan := NewPlan(gen, "organisation/smithy", terms, "benchmark", tokens)
		for call, ok := plan.Next(self); ok; call, ok = plan.Next(self) {
			if call.Holder != self {
				calls++
			}
			plan.AddResponse(start, start, call, holders[call.Holder].Reserve(start, call.Request))
		}
		for _, part := range plan.Parts() {
			holders[part.Holder].Settle(start, part.Share, part.ID, 0)
		}
	}
	b.ReportMetric(float64(calls)/float64(plans), "calls/op")
}

// BenchmarkNextGeneration measures the installation of a generation that one
// member has left. The measured holder has the requested shares of all
// organisations whose first share it holds.
func BenchmarkNextGeneration(b *testing.B) {
	const organisations = 10000
	gen, holders := manyMembers(entriesAtTarget)
	self := gen.Members[1]
	next := Generation{Number: 2, Members: gen.Members[1:], Previous: gen.Members}
	for i := range organisations {
		id := ShareID{Account: Account(strconv.Itoa(i))}
		if gen.Holder(id) == self {
			holders[self].Reserve(start, newRequest(gen, id, "one", 1))
		}
	}
	for b.Loop() {
		h := *holders[self]
		h.Install(start, next)
	}
}
