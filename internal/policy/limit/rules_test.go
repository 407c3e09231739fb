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

// accountAt returns an account whose first share moves from one member to
// another when the members change.
func accountAt(before, after Generation, from, to Member) ShareID {
	for i := 0; ; i++ {
		id := ShareID{Account: Account(fmt.Sprintf("organisation-%d", i))}
		if before.Holder(id) == from && after.Holder(id) == to {
			return id
		}
	}
}

func ask(gen Generation, id ShareID, name string, want Parts) Request {
	return Request{
		Generation: gen.Number, Share: id, Terms: testTerms, ID: ReservationID(name), Want: want, Least: 1, Pending: true,
	}
}

// drained returns two members of generation 1; all of one share is with askers.
func drained(t *testing.T) (Generation, *Holder, *Holder, ShareID) {
	t.Helper()
	gen := Generation{Number: 1, Members: []Member{first, second}}
	after := Generation{Number: 2, Members: []Member{second}, Previous: gen.Members}
	a, b := NewHolder(first, start), NewHolder(second, start)
	a.Found(start, gen)
	b.Found(start, gen)
	id := accountAt(gen, after, first, second)
	if got := a.Reserve(start, ask(gen, id, "all", testBurst)).Amount; got != testBurst {
		t.Fatalf("full share gave %d parts", got)
	}
	return after, a, b, id
}

func TestShareOfLostHolderRestartsFromZeroAfterItsLastAnswers(t *testing.T) {
	after, _, b, id := drained(t)
	b.Install(start, after)
	if got := b.Reserve(start, ask(after, id, "early", 1)); got.Status != StatusAwaiting {
		t.Fatalf("status %v while the hand-over is awaited", got.Status)
	}
	b.Beat(start.Add(2 * time.Second))
	b.Gone(start.Add(2*time.Second), first)
	b.Reserve(start.Add(2*time.Second), ask(after, id, "at once", 1))
	restart := start.Add(2*time.Second + GrantLifetime)
	if got := b.Reserve(restart.Add(-1), ask(after, id, "wait", 1)); got.Amount != 0 {
		t.Fatalf("gave %d parts while answers of the lost holder may be under way", got.Amount)
	}
	if got := b.Reserve(restart.Add(500*time.Millisecond), ask(after, id, "then", testBurst)); got.Amount != testRate/2 {
		t.Fatalf("gave %d parts half a second after the restart", got.Amount)
	}
}

func TestLaterHolderWaitsOutWhatItsGiverWaitedFor(t *testing.T) {
	gen := Generation{Number: 3, Members: []Member{second}, Previous: []Member{first, second}}
	next := Generation{Number: 4, Members: []Member{third}, Previous: gen.Members}
	b, c := NewHolder(second, start), NewHolder(third, start)
	b.Install(start, gen)
	b.Gone(start, first)
	b.Install(start, next)
	c.Install(start, next)
	c.Receive(start, *b.Outgoing()[0])
	id := ShareID{Account: "organisation-1"}
	if got := c.Reserve(start.Add(GrantLifetime-1), ask(next, id, "early", 1)); got.Amount != 0 {
		t.Fatalf("gave %d parts while answers of the lost holder may be under way", got.Amount)
	}
	at := start.Add(GrantLifetime + time.Second)
	if got := c.Reserve(at, ask(next, id, "then", testBurst)); got.Amount != testRate {
		t.Fatalf("gave %d parts one second after the restart", got.Amount)
	}
}

func TestHandOverCarriesClaims(t *testing.T) {
	after, a, b, id := drained(t)
	a.Install(start, after)
	b.Install(start, after)
	handover := a.Outgoing()[0]
	if got := b.Receive(start, *handover); got != ReceiptTaken {
		t.Fatalf("receipt %v", got)
	}
	soon := start.Add(GrantLifetime)
	if got := b.Reserve(soon, ask(after, id, "early", testBurst)); got.Amount != 0 {
		t.Fatalf("gave %d parts while all of the burst may be under way", got.Amount)
	}
	b.Settle(soon, id, "all", 30)
	if got := b.Reserve(soon, ask(after, id, "refund", testBurst)); got.Amount != 10 {
		t.Fatalf("gave %d parts after 10 came back", got.Amount)
	}
}

func TestHandOverIsTakenOnceAndByItsTargetOnly(t *testing.T) {
	after, a, b, id := drained(t)
	a.Install(start, after)
	b.Install(start, after)
	handover := *a.Outgoing()[0]
	handover.Shares[0].Balance = int64(5 * unitsPerPart)
	other := handover
	other.ID.To = Member{VM: second.VM, Incarnation: second.Incarnation + 1}
	if got := b.Receive(start, other); got != ReceiptRefused {
		t.Fatalf("receipt %v for another life's hand-over", got)
	}
	for range 2 {
		b.Receive(start, handover)
		b.Reserve(start, ask(after, id, "five", 5))
	}
	if got := b.Reserve(start, ask(after, id, "again", 5)); got.Amount != 0 {
		t.Fatalf("a repeated hand-over gave %d parts", got.Amount)
	}
}

func TestRefundGivesNoMoreThanItsClaim(t *testing.T) {
	s := newShare(testTerms, testTerms.burst(), start)
	s.reserve(start, "half", testBurst/2, 1, false)
	later := start.Add(400 * time.Millisecond) // Half of the claim is refilled by then.
	s.advance(later)
	if got := s.reserve(later, "rest", testBurst, 1, false); got != 30 {
		t.Fatalf("%d parts after 10 were refilled", got)
	}
	for range 2 {
		s.settle(later, "half", 0)
	}
	if s.available() != 10 {
		t.Fatalf("%d parts came back of a claim of 10", s.available())
	}
}

func TestNextGenerationWaitsForAllThatMayBeAlive(t *testing.T) {
	gen := Generation{Number: 5, Members: []Member{first, second}}
	join := Change{Join: []Member{third}}
	report := func(m Member, number uint64, settled bool) Report { return Report{m, number, settled} }
	cases := []struct {
		name    string
		change  Change
		reports []Report
		want    bool
	}{
		{"all settled", join, []Report{report(first, 5, true), report(second, 5, true)}, true},
		{"one silent", join, []Report{report(first, 5, true)}, false},
		{"one behind", join, []Report{report(first, 5, true), report(second, 4, true)}, false},
		{"one handing over", join, []Report{report(first, 5, true), report(second, 5, false)}, false},
		{"the silent one gone", Change{Gone: []Member{second}}, []Report{report(first, 5, true)}, true},
		{"nothing changes", Change{}, []Report{report(first, 5, true), report(second, 5, true)}, false},
		{
			"the silent one replaced",
			Change{Join: []Member{{VM: second.VM, Incarnation: 9}}},
			[]Report{report(first, 5, true)},
			true,
		},
	}
	for _, c := range cases {
		if _, ok := gen.Next(c.change, c.reports); ok != c.want {
			t.Errorf("%s: made %v, want %v", c.name, ok, c.want)
		}
	}
}

func TestHolderThatMissedAGenerationForgetsItsShares(t *testing.T) {
	_, a, _, id := drained(t)
	a.Settle(start, id, "all", 0)
	late := Generation{Number: 3, Members: []Member{first, second}, Previous: []Member{first, second}}
	a.Install(start, late)
	if got := a.Reserve(start, ask(late, id, "early", 1)); got.Amount != 0 {
		t.Fatalf("gave %d parts of a share that may have been elsewhere", got.Amount)
	}
}

func TestPausedHolderGivesNothingUntilItsGenerationIsConfirmed(t *testing.T) {
	_, a, _, id := drained(t)
	awake := start.Add(PauseLimit + time.Second)
	gen := a.Generation()
	if got := a.Reserve(awake, ask(gen, id, "early", 1)); got.Status != StatusUnsure {
		t.Fatalf("status %v after a pause", got.Status)
	}
	a.Beat(awake)
	if !a.Unsure(awake) {
		t.Fatal("a beat ended the doubt")
	}
	a.Confirm(awake, gen.Number+1)
	if !a.Unsure(awake) {
		t.Fatal("another generation ended the doubt")
	}
	a.Confirm(awake, gen.Number)
	if got := a.Reserve(awake, ask(gen, id, "then", 1)); got.Amount != 1 {
		t.Fatalf("gave %d parts after the generation was confirmed", got.Amount)
	}
}

func TestPermitsComeBackAndExpire(t *testing.T) {
	terms := Terms{Burst: 8, Permits: true}
	s := newShare(terms, terms.burst(), start)
	for i := range 8 {
		s.reserve(start, ReservationID(fmt.Sprint(i)), 1, 1, true)
	}
	if s.reserve(start, "ninth", 1, 1, true) != 0 {
		t.Fatal("a ninth permit was given")
	}
	s.settle(start, "0", 1)
	if s.reserve(start, "ninth", 1, 1, true) != 1 {
		t.Fatal("a returned permit was not given again")
	}
	s.advance(start.Add(PermitLifetime - 1))
	if s.available() != 0 {
		t.Fatal("a permit was free before its lifetime ended")
	}
	s.advance(start.Add(PermitLifetime))
	if s.available() != 8 {
		t.Fatalf("%d permits free after all have expired", s.available())
	}
}

func TestPermitsOfALostHolderWaitForTheirLifetime(t *testing.T) {
	after, _, b, id := drained(t)
	b.Install(start, after)
	b.Gone(start, first)
	req := ask(after, id, "permit", 1)
	req.Terms = Terms{Burst: 8, Permits: true}
	free := start.Add(GrantLifetime + PermitLifetime)
	for now := start; now.Before(free); now = now.Add(time.Second) {
		b.Beat(now)
		if got := b.Reserve(now, req); got.Amount != 0 {
			t.Fatalf("gave a permit %s after the loss", now.Sub(start))
		}
	}
	b.Beat(free)
	if got := b.Reserve(free, req); got.Amount != 1 {
		t.Fatal("no permit after all of the lost holder's have expired")
	}
}

func TestLowerBurstTakesEffectAtOnce(t *testing.T) {
	s := newShare(testTerms, testTerms.burst(), start)
	s.setTerms(Terms{Rate: 10, Burst: 10, Revision: 2}, start)
	s.setTerms(Terms{Rate: 10, Burst: 1000, Revision: 1}, start.Add(time.Minute))
	if s.available() != 10 {
		t.Fatalf("%d parts after the burst was lowered to 10", s.available())
	}
}

func TestAnswersAtTheEndOfTheirLifetimeAdmitNothing(t *testing.T) {
	gen, holders := manyMembers(2)
	plan := NewPlan(gen, "organisation-1", testTerms, "plan", testBurst)
	for a, ok := plan.Next(Member{}); ok; a, ok = plan.Next(Member{}) {
		plan.Take(start, start, a, holders[a.Holder].Reserve(start, a.Request))
	}
	if !plan.Admit(start.Add(GrantLifetime - 1)) {
		t.Fatal("not admitted within the answers' lifetime")
	}
	if plan.Admit(start.Add(GrantLifetime)) {
		t.Fatal("admitted at the end of the answers' lifetime")
	}
}

func TestUseGivesBackExactlyWhatWasNotUsed(t *testing.T) {
	parts := []Part{{Amount: 3}, {Amount: 40}, {Amount: 1}, {Amount: 16}}
	for tokens := range int64(20) {
		sum := Parts(0)
		for i, used := range Use(parts, tokens) {
			if used < 0 || used > parts[i].Amount {
				t.Fatalf("used %d of a part of %d", used, parts[i].Amount)
			}
			sum += used
		}
		if want := min(PartsOf(tokens), 60); sum != want {
			t.Fatalf("%d parts used of %d tokens", sum, tokens)
		}
	}
}

func TestRetryAfterIsWhenTheTokensAreThere(t *testing.T) {
	gen := First(first)
	h := NewHolder(first, start)
	h.Found(start, gen)
	reserve := func(now time.Time, name string, tokens int64) (*Plan, bool) {
		plan := NewPlan(gen, "organisation-1", testTerms, ReservationID(name), tokens)
		for a, ok := plan.Next(first); ok; a, ok = plan.Next(first) {
			plan.Take(now, now, a, h.Reserve(now, a.Request))
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
		t.Fatal("the whole burst was refused")
	}
	h.Beat(start)
	plan, ok := reserve(start, "more", testRate)
	wait, known := plan.RetryAfter()
	if ok || !known || wait < time.Second || wait > time.Second+GrantLifetime {
		t.Fatalf("admitted %v, retry after %s", ok, wait)
	}
	at := start.Add(wait + GrantLifetime)
	if _, ok := reserve(at, "then", testRate); !ok {
		t.Fatalf("refused after %s", wait+GrantLifetime)
	}
}

// TestFirstGenerationReadBackIsFull installs the generation that this life has
// written as a watch of the store brings it, before the write is answered.
func TestFirstGenerationReadBackIsFull(t *testing.T) {
	self := Member{VM: "entry-1", Incarnation: 7}
	for _, c := range []struct {
		name    string
		founder Member
		want    Parts
	}{
		{"written by this life", self, PartsOf(40) / Shares},
		{"written by a former life", Member{VM: "entry-1", Incarnation: 6}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := NewHolder(self, start)
			h.Install(start, First(c.founder))
			answer := h.Reserve(start, Request{
				Generation: 1, Share: ShareID{Account: "a", Index: 0}, Terms: Terms{Rate: 1, Burst: 40, Revision: 1},
				ID: "r", Want: PartsOf(40) / Shares, Least: 1,
			})
			if answer.Amount != c.want {
				t.Errorf("status %d, amount %d, want %d", answer.Status, answer.Amount, c.want)
			}
		})
	}
}
