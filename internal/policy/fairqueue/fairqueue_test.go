package fairqueue

import (
	"flag"
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hyssoptiller/hyssoptiller/internal/ident"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/slots"
)

func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "300", "rapid.nofailfile": "true"} {
		if flag.Lookup(name) != nil {
			_ = flag.Set(name, value)
		}
	}
}

const (
	testMaxTokens = 500
	testMaxLead   = 1000
)

var start = time.Unix(1000, 0)

func testConfig() Config {
	return Config{
		MaxItems: 64, Concurrency: 4, AgingStep: time.Second, MaxBypass: 3,
		MaxLead: testMaxLead, MaxLag: 1e9, RateHalfLife: 10 * time.Second,
	}
}

func org(i int) ident.Organisation {
	return ident.Organisation(fmt.Sprintf("org-%d", i))
}

func buildOf(i int) slots.Build {
	return slots.Build{Adapter: ident.Adapter(fmt.Sprintf("a%d", i)), Version: "v1"}
}

func ready(Item) Fit { return Ready }

// Within one organisation and class, a later attempt runs first only by overtaking the
// next one in order. Each attempt is overtaken at most MaxBypass times while it is next.
func TestBypassIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(testConfig())
		n := rapid.IntRange(2, 40).Draw(t, "attempts")
		for i := range n {
			q.Push(start, Item{
				ID: ID(i), Organisation: org(0), Weight: 1, ReservedTokens: 10,
				Build: buildOf(rapid.IntRange(0, 3).Draw(t, "build")),
			})
		}
		waiting := make([]bool, n)
		overtaken := make([]int, n)
		for i := range waiting {
			waiting[i] = true
		}
		for range n {
			runningBuild := buildOf(rapid.IntRange(0, 3).Draw(t, "running build"))
			item, ok := q.Pop(start, func(i Item) Fit {
				if i.Build == runningBuild {
					return Preferred
				}
				return Ready
			})
			if !ok {
				t.Fatal("Pop() returned no attempt although all are ready")
			}
			waiting[item.ID] = false
			for earlier := range int(item.ID) {
				if waiting[earlier] {
					overtaken[earlier]++
				}
			}
		}
		for i, times := range overtaken {
			if bound := testConfig().MaxBypass * (i + 1); times > bound {
				t.Fatalf("attempt %d was overtaken %d times, want at most %d", i, times, bound)
			}
		}
	})
}

// Organisations with a constant backlog are served in proportion to their weights,
// measured in used tokens. The difference is bounded by MaxLead and one attempt of each
// organisation, even if only the build of the first one is running.
func TestSharesFollowWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(testConfig())
		orgs := rapid.IntRange(2, 4).Draw(t, "organisations")
		weights := rapid.SliceOfN(rapid.IntRange(1, 8), orgs, orgs).Draw(t, "weights")
		// Organisation i uses one of every reservedPerUsed[i] tokens that it reserves.
		reservedPerUsed := rapid.SliceOfN(rapid.IntRange(1, 5), orgs, orgs).Draw(t, "reserves")
		served := make([]float64, orgs)
		id := ID(0)
		push := func(i int) {
			id++
			q.Push(start, Item{
				ID: id, Organisation: org(i), Weight: weights[i],
				ReservedTokens: int64(rapid.IntRange(1, testMaxTokens).Draw(t, "tokens")),
				Build:          buildOf(i),
			})
		}
		for i := range orgs {
			for range 4 {
				push(i)
			}
		}
		runningBuild := buildOf(0)
		for range 300 {
			item, ok := q.Pop(start, func(i Item) Fit {
				if i.Build == runningBuild {
					return Preferred
				}
				return Ready
			})
			if !ok {
				t.Fatal("Pop() returned no attempt although all are ready")
			}
			var i int
			_, _ = fmt.Sscanf(string(item.Organisation), "org-%d", &i)
			used := max(item.ReservedTokens/int64(reservedPerUsed[i]), 1)
			q.Release(start, item, used)
			served[i] += float64(used)
			push(i)
		}
		for i := range orgs {
			for j := range orgs {
				lead := served[i]/float64(weights[i]) - served[j]/float64(weights[j])
				if bound := testMaxLead + 2.0*testMaxTokens; lead > bound {
					t.Fatalf("served tokens %v with weights %v: "+
						"organisation %d leads organisation %d by %g tokens divided by weight, want at most %g",
						served, weights, i, j, lead, bound)
				}
			}
		}
	})
}

// Runs random operations. The queue's counts must match those of a plain list, the
// queue must not exceed MaxItems, and each refusal must carry a positive RetryAfter.
func TestCountsAndMaxItems(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := testConfig()
		config.MaxItems = 6
		q := New(config)
		now := start
		queued := make(map[ID]Item)
		var running []Item
		id := ID(0)
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				id++
				item := Item{
					ID: id, Organisation: org(rapid.IntRange(0, 2).Draw(t, "organisation")), Weight: 1,
					Priority:       rapid.IntRange(0, 2).Draw(t, "class"),
					ReservedTokens: int64(rapid.IntRange(1, testMaxTokens).Draw(t, "tokens")),
				}
				result := q.Push(now, item)
				if result.Refusal != Accepted {
					if result.RetryAfter <= 0 {
						t.Fatalf("Push() refused attempt %d with RetryAfter %v, want a positive one", id, result.RetryAfter)
					}
					return
				}
				queued[id] = item
				if result.Displaced != nil {
					if result.Displaced.Organisation == item.Organisation {
						t.Fatalf("Push() of attempt %d displaced attempt %d of the same organisation", id, result.Displaced.ID)
					}
					delete(queued, result.Displaced.ID)
				}
			},
			"pop": func(t *rapid.T) {
				item, ok := q.Pop(now, ready)
				if ok != (len(queued) > 0) {
					t.Fatalf("Pop() found an attempt: %t, want %t with %d waiting attempts", ok, len(queued) > 0, len(queued))
				}
				if ok {
					delete(queued, item.ID)
					running = append(running, item)
				}
			},
			"release": func(t *rapid.T) {
				if len(running) == 0 {
					t.Skip("no attempt is running")
				}
				q.Release(now, running[0], running[0].ReservedTokens)
				running = running[1:]
			},
			"cancel": func(t *rapid.T) {
				cancelID := ID(rapid.IntRange(1, int(id)+1).Draw(t, "id"))
				_, wasQueued := queued[cancelID]
				if _, ok := q.Cancel(cancelID); ok != wasQueued {
					t.Fatalf("Cancel() of attempt %d returned %v, want %v", cancelID, ok, wasQueued)
				}
				delete(queued, cancelID)
			},
			"time passes": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				var tokens int64
				for _, item := range queued {
					tokens += item.ReservedTokens
				}
				if q.Len() != len(queued) || q.ReservedTokens() != tokens || q.Len() > config.MaxItems {
					t.Fatalf("queue has %d attempts and %d tokens, want %d and %d, and at most %d attempts",
						q.Len(), q.ReservedTokens(), len(queued), tokens, config.MaxItems)
				}
			},
		})
	})
}

// An organisation that fills the queue is refused, and its newest attempt is displaced
// by an attempt of another organisation.
func TestFullQueueAcceptsOtherOrganisations(t *testing.T) {
	q := New(testConfig())
	for i := range q.config.MaxItems {
		q.Push(start, Item{ID: ID(i), Organisation: org(0), Weight: 1, ReservedTokens: 10})
	}
	result := q.Push(start, Item{ID: 1000, Organisation: org(0), Weight: 1, ReservedTokens: 10})
	if result.Refusal != RefusedFull {
		t.Fatalf("Push() for the organisation that fills the queue = %v, want RefusedFull", result)
	}
	result = q.Push(start, Item{ID: 1001, Organisation: org(1), Weight: 1, ReservedTokens: 10})
	if result.Refusal != Accepted || result.Displaced == nil || result.Displaced.Organisation != org(0) {
		t.Fatalf("Push() for another organisation = %+v, want it accepted and an attempt of org-0 displaced", result)
	}
	if result.DisplacedRetryAfter <= 0 {
		t.Fatalf("DisplacedRetryAfter = %v, want a positive duration", result.DisplacedRetryAfter)
	}
}

// At 100 tokens per second, an attempt behind 400 tokens of its organisation starts
// after 4 s. An attempt of another organisation gets half of the rate.
func TestAttemptThatCannotStartByDeadlineIsRefused(t *testing.T) {
	q := New(testConfig())
	now := start
	id := ID(0)
	push := func(o int, deadline time.Duration) Result {
		id++
		item := Item{ID: id, Organisation: org(o), Weight: 1, ReservedTokens: 100}
		if deadline > 0 {
			item.Deadline = now.Add(deadline)
		}
		return q.Push(now, item)
	}
	push(0, 0)
	item, _ := q.Pop(now, ready)
	for range 60 {
		now = now.Add(time.Second)
		q.Release(now, item, 100)
		push(0, 0)
		item, _ = q.Pop(now, ready)
	}
	for range 3 {
		push(0, 0)
		q.Pop(now, ready)
	}
	for range 4 {
		push(0, 0)
	}
	result := push(0, 2*time.Second)
	if result.Refusal != RefusedTooLate || math.Abs(result.RetryAfter.Seconds()-2) > 0.5 {
		t.Fatalf("Push() with a deadline in 2 s = %+v, want RefusedTooLate with RetryAfter of 2 s", result)
	}
	if result := push(0, 6*time.Second); result.Refusal != Accepted {
		t.Fatalf("Push() with a deadline in 6 s = %+v, want it accepted", result)
	}
	if result := push(1, 2*time.Second); result.Refusal != Accepted {
		t.Fatalf("Push() for an organisation without a backlog = %+v, want it accepted", result)
	}
}

// An attempt moves up one class per AgingStep, so a steady arrival of more urgent attempts
// does not starve it.
func TestWaitingAttemptsMoveUpOneClassPerAgingStep(t *testing.T) {
	q := New(testConfig())
	q.Push(start, Item{ID: 1, Organisation: org(0), Weight: 1, ReservedTokens: 10, Priority: 2})
	for i := range 20 {
		now := start.Add(time.Duration(i) * time.Second)
		q.Push(now, Item{ID: ID(i + 2), Organisation: org(0), Weight: 1, ReservedTokens: 10})
		item, _ := q.Pop(now, ready)
		if item.ID == 1 {
			if i != 2 {
				t.Fatalf("the attempt of class 2 ran after %d s, want 2 s", i)
			}
			return
		}
	}
	t.Fatal("the attempt of class 2 did not run within 20 s")
}

// An attempt whose build is not resident does not block attempts of other builds, and
// its build is listed as wanted.
func TestAttemptThatIsNotReadyDoesNotBlockOthers(t *testing.T) {
	q := New(testConfig())
	q.Push(start, Item{ID: 1, Organisation: org(0), Weight: 1, ReservedTokens: 10, Build: buildOf(0)})
	q.Push(start, Item{ID: 2, Organisation: org(1), Weight: 1, ReservedTokens: 10, Build: buildOf(1)})
	notBuild0 := func(i Item) Fit {
		if i.Build == buildOf(0) {
			return NotReady
		}
		return Ready
	}
	if item, ok := q.Pop(start, notBuild0); !ok || item.ID != 2 {
		t.Fatalf("Pop() = attempt %v, found: %t, want attempt 2", item.ID, ok)
	}
	if wanted := q.WantedBuilds(start, 4); len(wanted) != 1 || wanted[0] != buildOf(0) {
		t.Fatalf("WantedBuilds() = %v, want only the build of attempt 1", wanted)
	}
}

// A build with much waiting work is loaded before a build that was requested slightly
// earlier.
func TestWantedPrefersBuildsWithMoreWaitingWork(t *testing.T) {
	q := New(testConfig())
	q.Push(start, Item{ID: 1, Organisation: org(0), Weight: 1, ReservedTokens: 100, Build: buildOf(0)})
	for i := range 4 {
		q.Push(start, Item{ID: ID(i + 2), Organisation: org(0), Weight: 1, ReservedTokens: 100, Build: buildOf(1)})
	}
	if wanted := q.WantedBuilds(start, 2); len(wanted) != 2 || wanted[0] != buildOf(1) {
		t.Fatalf("WantedBuilds() = %v, want two builds, the one with four attempts first", wanted)
	}
	if wanted := q.WantedBuilds(start, 1); len(wanted) != 1 {
		t.Fatalf("WantedBuilds() = %v, want one build for a limit of 1", wanted)
	}
}
