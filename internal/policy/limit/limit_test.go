package limit

import (
	"fmt"
	"testing"
	"time"
)

var (
	start  = time.Unix(5000, 0)
	first  = Member{VM: "entry-1", Incarnation: 1}
	second = Member{VM: "entry-2", Incarnation: 2}
	third  = Member{VM: "entry-3", Incarnation: 3}
)

// movingShare returns an account whose first share moves from one member to
// another when the members change.
func movingShare(before, after Generation, from, to Member) ShareID {
	for i := 0; ; i++ {
		id := ShareID{Account: Account(fmt.Sprintf("organisation-%d", i))}
		if before.Holder(id) == from && after.Holder(id) == to {
			return id
		}
	}
}

func newRequest(gen Generation, id ShareID, name string, want Parts) Request {
	return Request{
		Generation: gen.Number, Share: id, Terms: testTerms, ID: ReservationID(name), Max: want, Min: 1, AwaitsAdmission: true,
	}
}

// exhaustedShare returns the second generation, the two holders of the first, and
// a share of the first holder whose whole burst is reserved. The second
// generation moves that share to the second holder.
func exhaustedShare(t *testing.T) (Generation, *Holder, *Holder, ShareID) {
	t.Helper()
	gen := Generation{Number: 1, Members: []Member{first, second}}
	after := Generation{Number: 2, Members: []Member{second}, Previous: gen.Members}
	a, b := NewHolder(first, start), NewHolder(second, start)
	a.StartFirstGeneration(start, gen)
	b.StartFirstGeneration(start, gen)
	id := movingShare(gen, after, first, second)
	if got := a.Reserve(start, newRequest(gen, id, "all", testBurst)).Amount; got != testBurst {
		t.Fatalf("Reserve() of a full share took %d parts, want the whole burst", got)
	}
	return after, a, b, id
}

// Guards against tokens spent twice: responses of the removed holder are valid
// for ResponseLifetime, so its share must stay empty for that time.
func TestShareOfRemovedHolderRestartsFromZeroAfterResponseLifetime(t *testing.T) {
	after, _, b, id := exhaustedShare(t)
	b.Install(start, after)
	if got := b.Reserve(start, newRequest(after, id, "early", 1)); got.Status != StatusAwaitingHandover {
		t.Fatalf("Reserve() before the handover arrived: status %v, want StatusAwaitingHandover", got.Status)
	}
	b.Heartbeat(start.Add(2 * time.Second))
	b.MemberRemoved(start.Add(2*time.Second), first)
	b.Reserve(start.Add(2*time.Second), newRequest(after, id, "at once", 1))
	restart := start.Add(2*time.Second + ResponseLifetime)
	if got := b.Reserve(restart.Add(-1), newRequest(after, id, "wait", 1)); got.Amount != 0 {
		t.Fatalf("Reserve() took %d parts while responses of the removed holder may be in flight, want 0", got.Amount)
	}
	if got := b.Reserve(restart.Add(500*time.Millisecond), newRequest(after, id, "then", testBurst)); got.Amount != testRate/2 {
		t.Fatalf("Reserve() half a second after the restart took %d parts, want half a second of refill", got.Amount)
	}
}

// Guards against a handover that drops the delay after a removal. The second
// holder waits for responses of the first; the third must wait equally long.
func TestHandoverKeepsRefillDelayOfUntouchedShares(t *testing.T) {
	gen := Generation{Number: 3, Members: []Member{second}, Previous: []Member{first, second}}
	next := Generation{Number: 4, Members: []Member{third}, Previous: gen.Members}
	b, c := NewHolder(second, start), NewHolder(third, start)
	b.Install(start, gen)
	b.MemberRemoved(start, first)
	b.Install(start, next)
	c.Install(start, next)
	c.Receive(start, *b.OutgoingHandovers()[0])
	id := ShareID{Account: "organisation-1"}
	if got := c.Reserve(start.Add(ResponseLifetime-1), newRequest(next, id, "early", 1)); got.Amount != 0 {
		t.Fatalf("Reserve() took %d parts while responses of the removed holder may be in flight, want 0", got.Amount)
	}
	at := start.Add(ResponseLifetime + time.Second)
	if got := c.Reserve(at, newRequest(next, id, "then", testBurst)); got.Amount != testRate {
		t.Fatalf("Reserve() one second after the restart took %d parts, want one second of refill", got.Amount)
	}
}

func TestHandoverKeepsClaims(t *testing.T) {
	after, a, b, id := exhaustedShare(t)
	a.Install(start, after)
	b.Install(start, after)
	handover := a.OutgoingHandovers()[0]
	if got := b.Receive(start, *handover); got != ReceiptAccepted {
		t.Fatalf("Receive() = %v, want ReceiptAccepted", got)
	}
	soon := start.Add(ResponseLifetime)
	if got := b.Reserve(soon, newRequest(after, id, "early", testBurst)); got.Amount != 0 {
		t.Fatalf("Reserve() took %d parts while the whole burst may be in flight, want 0", got.Amount)
	}
	b.Settle(soon, id, "all", 30)
	if got := b.Reserve(soon, newRequest(after, id, "refund", testBurst)); got.Amount != 10 {
		t.Fatalf("Reserve() took %d parts after a settlement returned 10, want 10", got.Amount)
	}
}

func TestHandoverIsAcceptedOnceAndOnlyByItsTarget(t *testing.T) {
	after, a, b, id := exhaustedShare(t)
	a.Install(start, after)
	b.Install(start, after)
	handover := *a.OutgoingHandovers()[0]
	handover.Shares[0].Balance = int64(5 * unitsPerPart)
	other := handover
	other.ID.To = Member{VM: second.VM, Incarnation: second.Incarnation + 1}
	if got := b.Receive(start, other); got != ReceiptRefused {
		t.Fatalf("Receive() of a handover to another incarnation = %v, want ReceiptRefused", got)
	}
	for range 2 {
		b.Receive(start, handover)
		b.Reserve(start, newRequest(after, id, "five", 5))
	}
	if got := b.Reserve(start, newRequest(after, id, "again", 5)); got.Amount != 0 {
		t.Fatalf("Reserve() took %d parts after a repeated handover, want 0", got.Amount)
	}
}

// Guards against returning tokens that the refill has already replaced.
func TestSettlementReturnsAtMostTheClaim(t *testing.T) {
	s := newShare(testTerms, testTerms.burst(), start)
	s.reserve(start, "half", testBurst/2, 1, false)
	later := start.Add(400 * time.Millisecond) // The refill has reduced the claim by half.
	s.advance(later)
	if got := s.reserve(later, "rest", testBurst, 1, false); got != 30 {
		t.Fatalf("reserve() took %d parts after a refill of 10, want 30", got)
	}
	for range 2 {
		s.settle(later, "half", 0)
	}
	if s.available() != 10 {
		t.Fatalf("available() = %d parts after settlements of a claim of 10, want 10", s.available())
	}
}

func TestNextGenerationWaitsForMembersThatMayBeRunning(t *testing.T) {
	gen := Generation{Number: 5, Members: []Member{first, second}}
	join := Change{Joined: []Member{third}}
	report := func(m Member, number uint64, settled bool) Report { return Report{m, number, settled} }
	cases := []struct {
		name    string
		change  Change
		reports []Report
		want    bool
	}{
		{"all members settled", join, []Report{report(first, 5, true), report(second, 5, true)}, true},
		{"one member without a report", join, []Report{report(first, 5, true)}, false},
		{"one member at an earlier generation", join, []Report{report(first, 5, true), report(second, 4, true)}, false},
		{"one member with a handover in progress", join, []Report{report(first, 5, true), report(second, 5, false)}, false},
		{"the member without a report removed", Change{Removed: []Member{second}}, []Report{report(first, 5, true)}, true},
		{"no change of members", Change{}, []Report{report(first, 5, true), report(second, 5, true)}, false},
		{
			"the member without a report replaced",
			Change{Joined: []Member{{VM: second.VM, Incarnation: 9}}},
			[]Report{report(first, 5, true)},
			true,
		},
	}
	for _, c := range cases {
		if _, ok := gen.NextAfter(c.change, c.reports); ok != c.want {
			t.Errorf("%s: NextAfter() created a generation: %v, want %v", c.name, ok, c.want)
		}
	}
}

func TestHolderThatMissedAGenerationDropsItsShares(t *testing.T) {
	_, a, _, id := exhaustedShare(t)
	a.Settle(start, id, "all", 0)
	late := Generation{Number: 3, Members: []Member{first, second}, Previous: []Member{first, second}}
	a.Install(start, late)
	if got := a.Reserve(start, newRequest(late, id, "early", 1)); got.Amount != 0 {
		t.Fatalf("Reserve() took %d parts of a share that another member may have held, want 0", got.Amount)
	}
}

func TestPausedHolderRefusesUntilGenerationIsConfirmed(t *testing.T) {
	_, a, _, id := exhaustedShare(t)
	resumed := start.Add(MaxHeartbeatGap + time.Second)
	gen := a.Generation()
	if got := a.Reserve(resumed, newRequest(gen, id, "early", 1)); got.Status != StatusUnconfirmed {
		t.Fatalf("Reserve() after a pause: status %v, want StatusUnconfirmed", got.Status)
	}
	a.Heartbeat(resumed)
	if !a.NeedsConfirmation(resumed) {
		t.Fatal("NeedsConfirmation() = false after a heartbeat, want true until the generation is confirmed")
	}
	a.ConfirmGeneration(resumed, gen.Number+1)
	if !a.NeedsConfirmation(resumed) {
		t.Fatal("NeedsConfirmation() = false after another generation was confirmed, want true")
	}
	a.ConfirmGeneration(resumed, gen.Number)
	if got := a.Reserve(resumed, newRequest(gen, id, "then", 1)); got.Amount != 1 {
		t.Fatalf("Reserve() took %d parts after the generation was confirmed, want 1", got.Amount)
	}
}

func TestPermitsReturnOnSettlementAndExpiry(t *testing.T) {
	terms := Terms{Burst: 8, Permits: true}
	s := newShare(terms, terms.burst(), start)
	for i := range 8 {
		s.reserve(start, ReservationID(fmt.Sprint(i)), 1, 1, true)
	}
	if s.reserve(start, "ninth", 1, 1, true) != 0 {
		t.Fatal("reserve() gave a ninth permit, want none beyond the burst of 8")
	}
	s.settle(start, "0", 1)
	if s.reserve(start, "ninth", 1, 1, true) != 1 {
		t.Fatal("reserve() gave no permit after one was returned, want 1")
	}
	s.advance(start.Add(PermitLifetime - 1))
	if s.available() != 0 {
		t.Fatal("a permit is available before the lifetime of any has ended, want none")
	}
	s.advance(start.Add(PermitLifetime))
	if s.available() != 8 {
		t.Fatalf("available() = %d permits after all have expired, want 8", s.available())
	}
}

// Guards against more permits than the burst: a removed holder may have given
// all of its permits just before it ended.
func TestPermitsOfRemovedHolderWaitForPermitLifetime(t *testing.T) {
	after, _, b, id := exhaustedShare(t)
	b.Install(start, after)
	b.MemberRemoved(start, first)
	req := newRequest(after, id, "permit", 1)
	req.Terms = Terms{Burst: 8, Permits: true}
	free := start.Add(ResponseLifetime + PermitLifetime)
	for now := start; now.Before(free); now = now.Add(time.Second) {
		b.Heartbeat(now)
		if got := b.Reserve(now, req); got.Amount != 0 {
			t.Fatalf("Reserve() gave a permit %s after the removal, want none before all may have expired", now.Sub(start))
		}
	}
	b.Heartbeat(free)
	if got := b.Reserve(free, req); got.Amount != 1 {
		t.Fatal("Reserve() gave no permit after all permits of the removed holder have expired, want 1")
	}
}

func TestLowerBurstTakesEffectImmediately(t *testing.T) {
	s := newShare(testTerms, testTerms.burst(), start)
	s.setTerms(Terms{Rate: 10, Burst: 10, Revision: 2}, start)
	s.setTerms(Terms{Rate: 10, Burst: 1000, Revision: 1}, start.Add(time.Minute))
	if s.available() != 10 {
		t.Fatalf("available() = %d parts after the burst was lowered to 10, want 10", s.available())
	}
}

func TestResponsesAdmitNothingAtTheEndOfTheirLifetime(t *testing.T) {
	gen, holders := manyMembers(2)
	plan := NewPlan(gen, "organisation-1", testTerms, "plan", testBurst)
	for call, ok := plan.Next(Member{}); ok; call, ok = plan.Next(Member{}) {
		plan.AddResponse(start, start, call, holders[call.Holder].Reserve(start, call.Request))
	}
	if !plan.Admit(start.Add(ResponseLifetime - 1)) {
		t.Fatal("Admit() = false within the lifetime of the responses, want true")
	}
	if plan.Admit(start.Add(ResponseLifetime)) {
		t.Fatal("Admit() = true at the end of the lifetime of the responses, want false")
	}
}

func TestSplitUsedDistributesAllUsedTokens(t *testing.T) {
	parts := []Part{{Amount: 3}, {Amount: 40}, {Amount: 1}, {Amount: 16}}
	for tokens := range int64(20) {
		sum := Parts(0)
		for i, used := range SplitUsed(parts, tokens) {
			if used < 0 || used > parts[i].Amount {
				t.Fatalf("SplitUsed() assigned %d used parts to a part of %d, want between 0 and its amount", used, parts[i].Amount)
			}
			sum += used
		}
		if want := min(PartsOf(tokens), 60); sum != want {
			t.Fatalf("SplitUsed() assigned %d parts in total for %d tokens, want all used parts up to the reserved ones", sum, tokens)
		}
	}
}

func TestRetryAfterPredictsAvailability(t *testing.T) {
	gen := FirstGeneration(first)
	h := NewHolder(first, start)
	h.StartFirstGeneration(start, gen)
	reserve := func(now time.Time, name string, tokens int64) (*Plan, bool) {
		plan := NewPlan(gen, "organisation-1", testTerms, ReservationID(name), tokens)
		for call, ok := plan.Next(first); ok; call, ok = plan.Next(first) {
			plan.AddResponse(now, now, call, h.Reserve(now, call.Request))
		}
		if plan.Admit(now) {
			return plan, true
		}
		for _, part := range plan.Parts() {
			h.Settle(now, part.Share, part.ID, 0)
		}
		return plan, false
	}
	if _, ok := reserve(start, "all", testBurst); !ok {
		t.Fatal("a reservation of the whole burst was refused, want it admitted")
	}
	h.Heartbeat(start)
	plan, ok := reserve(start, "more", testRate)
	wait, known := plan.RetryAfter()
	if ok || !known || wait < time.Second || wait > time.Second+ResponseLifetime {
		t.Fatalf("after the burst was taken: admitted %v, retry after %s; want a refusal and about one second", ok, wait)
	}
	at := start.Add(wait + ResponseLifetime)
	if _, ok := reserve(at, "then", testRate); !ok {
		t.Fatalf("refused after %s, the reported wait plus ResponseLifetime; want it admitted", wait+ResponseLifetime)
	}
}

// A watch of the store can deliver a first generation before its write is
// confirmed. The shares are full only if this incarnation wrote it; a later
// incarnation must not fill them again.
func TestFirstGenerationReadBackIsFull(t *testing.T) {
	self := Member{VM: "entry-1", Incarnation: 7}
	for _, c := range []struct {
		name    string
		founder Member
		want    Parts
	}{
		{"written by this incarnation", self, PartsOf(40) / Shares},
		{"written by a former incarnation", Member{VM: "entry-1", Incarnation: 6}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := NewHolder(self, start)
			h.Install(start, FirstGeneration(c.founder))
			response := h.Reserve(start, Request{
				Generation: 1, Share: ShareID{Account: "a", Index: 0}, Terms: Terms{Rate: 1, Burst: 40, Revision: 1},
				ID: "r", Max: PartsOf(40) / Shares, Min: 1,
			})
			if response.Amount != c.want {
				t.Errorf("Reserve() has status %d and amount %d, want amount %d", response.Status, response.Amount, c.want)
			}
		})
	}
}
