package memorybudget

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1e9, 0)

func testLimits() Limits {
	l := DefaultLimits(1 << 20)
	return l
}

// fill adds a holder of n bytes.
func fill(t *testing.T, b *Budget, c Claim, n int64) *Holder {
	t.Helper()
	h := b.Add(c, start)
	if d := b.Reserve(h, n, start); d.Verdict != Granted {
		t.Fatalf("%d bytes: verdict %d", n, d.Verdict)
	}
	return h
}

func large(org string, expected int64) Claim {
	return Claim{Kind: KindBody, Organisation: org, Address: "balancer", Expected: expected}
}

// A crowd of large bodies must leave room for ordinary requests.
func TestSmallBodyHasRoomBesideLargeOnes(t *testing.T) {
	b := New(testLimits())
	for range 7 {
		fill(t, b, large("a", 1<<20), 128<<10)
	}
	if d := b.Reserve(b.Add(large("a", 1<<20), start), 16<<10, start); d.Verdict == Granted {
		t.Error("a large body got the reserve of small ones")
	}
	for range 8 {
		fill(t, b, large("a", 16<<10), 16<<10)
	}
	h := b.Add(large("a", 16<<10), start)
	if d := b.Reserve(h, 16<<10, start); d.Verdict != Wait || len(d.Yield) != 1 || d.Yield[0].Held() != 128<<10 {
		t.Errorf("decision beyond the reserve: %+v, want that a large body yields", d)
	}
}

// Bodies that stop just short of their end must not hold their memory against a body that goes on.
func TestStalledBodyYields(t *testing.T) {
	b := New(testLimits())
	for range 7 {
		fill(t, b, large("a", 128<<10+1), 128<<10)
	}
	h := b.Add(large("a", 1<<20), start)
	if d := b.Reserve(h, 4<<10, start); d.Verdict != Wait || len(d.Yield) > 0 {
		t.Errorf("decision %+v, want that nearly complete bodies do not yield at once", d)
	}
	later := start.Add(testLimits().Stall)
	h = b.Add(large("a", 1<<20), later)
	d := b.Reserve(h, 4<<10, later)
	if d.Verdict != Wait || len(d.Yield) != 1 {
		t.Fatalf("decision %+v, want that one stalled body yields", d)
	}
	if again := b.Reserve(h, 4<<10, later); len(again.Yield) > 0 {
		t.Error("another body yields before the first has returned its bytes")
	}
	b.Remove(d.Yield[0])
	if d := b.Reserve(h, 4<<10, later); d.Verdict != Granted {
		t.Errorf("verdict %d after the bytes were returned", d.Verdict)
	}
}

// Bytes that trickle in must not keep a body from counting as stalled.
func TestTricklingBodyIsStalled(t *testing.T) {
	b := New(testLimits())
	h := fill(t, b, large("a", 1<<20), 16<<10)
	for i := range 100 {
		b.Progress(h, 1, start.Add(time.Duration(i)*100*time.Millisecond))
	}
	if !b.stalled(h, start.Add(10*time.Second)) {
		t.Error("a body of ten bytes a second is not stalled")
	}
}

// An organisation that holds much must not keep another one from its share.
func TestOrganisationThatHoldsMuchYields(t *testing.T) {
	b := New(testLimits())
	for range 7 {
		fill(t, b, large("greedy", 200<<10), 128<<10)
	}
	d := b.Reserve(b.Add(large("modest", 1<<20), start), 16<<10, start)
	if len(d.Yield) != 1 || d.Yield[0].Organisation != "greedy" {
		t.Errorf("decision %+v, want that the organisation with most bytes yields", d)
	}
}

// A request that is being served, or a response that is read, must not lose its bytes.
func TestServedRequestDoesNotYield(t *testing.T) {
	b := New(testLimits())
	for range 7 {
		b.Complete(fill(t, b, large("a", 128<<10), 128<<10))
	}
	later := start.Add(time.Minute)
	h := b.Add(large("b", 1<<20), later)
	if d := b.Reserve(h, 16<<10, later); d.Verdict != Wait || len(d.Yield) > 0 {
		t.Errorf("decision %+v, want a wait", d)
	}
	if d := b.Reserve(h, 16<<10, later.Add(testLimits().Wait)); d.Verdict != Refused {
		t.Errorf("verdict %d after the longest wait", d.Verdict)
	}
}

// TestInvariants plays random reservations and checks the bounds, the sums, and that two holders do not yield to each other.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := testLimits()
		b, now := New(l), start
		var all []*Holder
		pick := func() *Holder { return all[rapid.IntRange(0, len(all)-1).Draw(t, "holder")] }
		remove := func(h *Holder) {
			b.Remove(h)
			for i := range all {
				if all[i] == h {
					all = append(all[:i], all[i+1:]...)
					return
				}
			}
		}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			step := rapid.IntRange(0, 9).Draw(t, "step")
			switch {
			case len(all) == 0 || step < 2:
				all = append(all, b.Add(Claim{
					Kind:         rapid.SampledFrom([]Kind{KindBody, KindBody, KindResponse}).Draw(t, "kind"),
					Organisation: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "org"),
					Address:      rapid.SampledFrom([]string{"x", "y"}).Draw(t, "address"),
					Expected:     rapid.Int64Range(0, 400<<10).Draw(t, "expected"),
				}, now))
			case step == 2:
				remove(pick())
			case step == 3:
				if h := pick(); h.Kind == KindBody && !h.yielded {
					b.Complete(h)
				}
			case step == 4:
				b.Release(pick(), rapid.Int64Range(0, 100<<10).Draw(t, "released"))
			case step == 5:
				if h := pick(); h.Kind == KindResponse {
					b.SetWriting(h, rapid.Bool().Draw(t, "writing"), now)
				}
			default:
				h := pick()
				d := b.Reserve(h, rapid.Int64Range(1, 100<<10).Draw(t, "bytes"), now)
				for _, v := range d.Yield {
					if v.Kind == KindRequest || v.Kind == KindResponse && !b.stalled(v, now) {
						t.Fatalf("%+v yields", v)
					}
					remove(v)
				}
			}
			sum, largeSum, waiting := int64(0), int64(0), 0
			for _, h := range all {
				sum += h.held
				if !b.small(h, 0) {
					largeSum += h.held
				}
				if !h.waitsSince.IsZero() {
					waiting++
				}
				for _, v := range all {
					if v != h && !b.stalled(v, now) && !b.stalled(h, now) && b.yields(v, h, 1, now) && b.yields(h, v, 1, now) {
						t.Fatalf("%+v and %+v yield to each other", v, h)
					}
				}
			}
			if sum != b.Total() || sum > l.Total || largeSum != b.large || largeSum > l.Total-l.Reserve || waiting != b.waiting {
				t.Fatalf("held %d, by holders %d; large %d, by holders %d; waiting %d, by holders %d; limits %+v",
					b.Total(), sum, b.large, largeSum, b.waiting, waiting, l)
			}
		}
	})
}
