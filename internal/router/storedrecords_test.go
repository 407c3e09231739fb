package router

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/hyssoptiller/hyssoptiller/internal/crashrecords"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/quarantine"
	"github.com/hyssoptiller/hyssoptiller/platform"
)

// fakeItem is an item of a store.
type fakeItem struct {
	mu            sync.Mutex
	value         []byte
	revision      int64
	epoch         int64
	down          bool // Calls are not carried out.
	loseResponses int  // Writes that are carried out without a response.
	reads, writes int
}

func (i *fakeItem) ReadCrashRecords(context.Context) ([]byte, platform.ItemPosition, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.reads++
	if i.down {
		return nil, platform.ItemPosition{}, errors.New("down")
	}
	return i.value, platform.ItemPosition{Epoch: i.epoch, Revision: i.revision}, nil
}

func (i *fakeItem) WriteCrashRecords(_ context.Context, value []byte, last platform.ItemPosition) (platform.ItemPosition, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.writes++
	switch {
	case i.down:
		return platform.ItemPosition{}, errors.New("down")
	case last != platform.ItemPosition{Epoch: i.epoch, Revision: i.revision}:
		return platform.ItemPosition{}, platform.ErrConflict
	}
	i.value, i.revision = value, i.revision+1
	if i.loseResponses > 0 {
		i.loseResponses--
		return platform.ItemPosition{}, errors.New("no response")
	}
	return platform.ItemPosition{Epoch: i.epoch, Revision: i.revision}, nil
}

func (i *fakeItem) Epoch() int64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.epoch
}

func (i *fakeItem) set(change func(*fakeItem)) {
	i.mu.Lock()
	defer i.mu.Unlock()
	change(i)
}

// calls returns how many calls were made.
func (i *fakeItem) calls() (reads, writes int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.reads, i.writes
}

// stored returns the value.
func (i *fakeItem) stored() string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return string(i.value)
}

// holds reports whether a process that starts now would hold a part in quarantine.
func (i *fakeItem) holds(part string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	stored, err := crashrecords.DecodeStored(i.value)
	if err != nil {
		return false
	}
	for _, p := range stored.Records(time.Now()).Parts {
		if p.Part == part && p.State == quarantine.PartQuarantined {
			return true
		}
	}
	return false
}

// recordsRouter is what storedRecords needs of a router.
type recordsRouter struct {
	*storedRecords
	mu      sync.Mutex
	tracker *quarantine.PartTracker
	alone   bool // It reaches no other router.
}

// startRecords starts the stored records of a router, which ends with the context.
func startRecords(ctx context.Context, item *fakeItem, rank int) *recordsRouter {
	log := logrus.New()
	log.SetOutput(io.Discard)
	r := &recordsRouter{
		storedRecords: newStoredRecords(item, logrus.NewEntry(log)), tracker: quarantine.NewPartTracker(quarantine.DefaultPartLimits()),
	}
	r.records = func() crashrecords.Records {
		r.mu.Lock()
		defer r.mu.Unlock()
		return crashrecords.Records{Parts: crashrecords.EncodeParts(r.tracker.Known(time.Now()))}
	}
	r.adopt = func(_ string, in crashrecords.Records) {
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, p := range in.Parts {
			r.tracker.Apply(p.Decode(), time.Now())
		}
	}
	r.rank = func() int { return rank }
	r.isolated = func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.alone
	}
	r.await()
	go func() { _ = r.run(ctx) }() // Ends with ctx.
	return r
}

// hold puts a part in quarantine, and returns its state.
func (r *recordsRouter) hold(part string) quarantine.HeldPart {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tracker.Suspect(quarantine.Suspicion{Part: part, Since: time.Now()}, time.Now())
	var held []quarantine.HeldPart
	for len(held) == 0 {
		held = r.tracker.RecordTrialCrash([]string{part}, time.Now())
	}
	r.notify()
	return held[0]
}

// suspect makes a part a suspect.
func (r *recordsRouter) suspect(part string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tracker.Suspect(quarantine.Suspicion{Part: part, Since: time.Now()}, time.Now())
	r.notify()
}

// state returns the state of a part, "" if it is not known.
func (r *recordsRouter) state(part string) quarantine.PartState {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range r.tracker.States([]string{part}, time.Now()) {
		return h.State
	}
	return ""
}

func (r *recordsRouter) set(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
}

func (r *recordsRouter) apply(h quarantine.HeldPart) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tracker.Apply(h, time.Now())
	r.notify()
}

// Guards against records that are not in the store when all processes end: whichever store and routers fail in between, a
// part in quarantine is stored soon, with a bounded number of calls.
func TestCrashRecordsReachTheStore(t *testing.T) {
	for _, c := range []struct {
		name     string
		before   func(*fakeItem) // Before the part is found.
		after    func(*fakeItem) // A second after it.
		noFirst  bool            // The first writer does nothing.
		within   time.Duration
		maxCalls int // Reads and writes from when the part is found.
	}{
		{"usual", nil, nil, false, 200 * time.Millisecond, 3},
		{"first writer cannot write", nil, nil, true, 3 * time.Second, 3},
		{"another record was written", func(i *fakeItem) { i.revision, i.value = 7, []byte(`{"parts":[]}`) }, nil, false, time.Second, 6},
		{"a broken value", func(i *fakeItem) { i.value = []byte("odd") }, nil, false, time.Second, 3},
		{"store away", func(i *fakeItem) { i.down = true }, func(i *fakeItem) { i.down = false }, false, 3 * time.Second, 10},
		{"response lost", func(i *fakeItem) { i.loseResponses = 1 }, nil, false, 3 * time.Second, 6},
		{"restored", nil, func(i *fakeItem) { i.value, i.revision, i.epoch = nil, 0, 2 }, false, 4 * time.Second, 9},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				item := &fakeItem{epoch: 1}
				var routers []*recordsRouter
				for rank := range 5 {
					if rank > 0 || !c.noFirst {
						routers = append(routers, startRecords(ctx, item, rank))
					}
				}
				time.Sleep(time.Second)
				if c.before != nil {
					item.set(c.before)
				}
				readBefore, _ := item.calls()
				held := routers[0].hold("bad")
				for _, r := range routers[1:] {
					r.apply(held)
				}
				if c.after != nil {
					time.Sleep(time.Second)
					item.set(c.after)
				}
				time.Sleep(c.within)
				if !item.holds("bad") {
					t.Fatalf("the store does not have the part %s after it was found", c.within)
				}
				time.Sleep(10 * time.Second)
				if reads, writes := item.calls(); reads-readBefore+writes > c.maxCalls {
					t.Errorf("calls = %d, want at most %d", reads-readBefore+writes, c.maxCalls)
				}
			})
		})
	}
}

// Guards against a quarantine that is stored a second late, and lost with all processes, since the suspicion of the part, and
// what crashed before, were written shortly before it.
func TestQuarantineIsStoredAtOnceAfterSuspicion(t *testing.T) {
	for _, noFirst := range []bool{false, true} {
		t.Run(fmt.Sprint("first writer away ", noFirst), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				item := &fakeItem{epoch: 1}
				var routers []*recordsRouter
				within := storeDelay + 20*time.Millisecond
				if noFirst {
					within += rankDelay
				} else {
					routers = append(routers, startRecords(ctx, item, 0))
				}
				for rank := 1; rank < 5; rank++ {
					routers = append(routers, startRecords(ctx, item, rank))
				}
				time.Sleep(time.Second)
				for n := range 4 {
					for _, r := range routers {
						r.suspect(fmt.Sprint("other", n))
					}
					time.Sleep(200 * time.Millisecond)
				}
				for _, r := range routers {
					r.suspect("bad")
				}
				time.Sleep(within)
				if !strings.Contains(item.stored(), `"bad"`) {
					t.Errorf("the store does not have the suspect %s after it was found", within)
				}
				time.Sleep(200 * time.Millisecond)
				held := routers[0].hold("bad")
				for _, r := range routers[1:] {
					r.apply(held)
				}
				time.Sleep(within)
				if !item.holds("bad") {
					t.Errorf("the store does not have the quarantine %s after it began", within)
				}
			})
		})
	}
}

// Guards against a quarantine that is stored a second late, and lost with all processes, since the router that writes learned it
// from another one.
func TestAdoptedQuarantineIsStoredAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		log := logrus.New()
		log.SetOutput(io.Discard)
		item := &fakeItem{epoch: 1}
		r := New(Settings{VM: "entry-1", PeersAddress: "127.0.0.1:1"}, logrus.NewEntry(log))
		defer func() { _ = r.metrics.Close() }() // Ends its goroutine.
		r.storedRecords.item = item
		go func() { _ = r.storedRecords.run(ctx) }() // Ends with ctx.
		time.Sleep(storedCheckInterval / 2)
		found := quarantine.HeldPart{
			Part: "bad", State: quarantine.PartQuarantined, Remaining: 30 * time.Second, Quarantines: 1, Version: quarantine.PartVersion{Epoch: 1},
		}
		r.parts.apply(encodeHeldParts([]quarantine.HeldPart{found}), "entry-2")
		time.Sleep(storeDelay + 20*time.Millisecond)
		if !item.holds("bad") {
			t.Errorf("the store does not have the quarantine %s after it was learned", storeDelay+20*time.Millisecond)
		}
	})
}

// Guards against a router that is cut off from the others, but not from the store, and sends a prompt part to engines that the
// others hold back.
func TestRouterThatIsCutOffReadsCrashRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		item := &fakeItem{epoch: 1}
		other, cutOff := startRecords(ctx, item, 0), startRecords(ctx, item, 0)
		time.Sleep(10 * time.Second)
		reads, _ := item.calls()
		cutOff.set(func() { cutOff.alone = true })
		time.Sleep(5*storedCheckInterval + storedCheckInterval/2)
		if now, writes := item.calls(); now-reads > 6 || writes > 0 {
			t.Errorf("calls in 5.5s without records: %d reads and %d writes, want at most 6 and none", now-reads, writes)
		}
		other.hold("bad")
		time.Sleep(storeDelay + storedCheckInterval + time.Millisecond)
		if got := cutOff.state("bad"); got != quarantine.PartQuarantined {
			t.Errorf("state of the part at the router that is cut off = %q, want %q", got, quarantine.PartQuarantined)
		}
		cutOff.set(func() { cutOff.alone = false })
		reads, _ = item.calls()
		time.Sleep(10 * time.Second)
		if now, _ := item.calls(); now > reads {
			t.Errorf("reads in 10s after the cut = %d, want none", now-reads)
		}
	})
}

// However many parts are found, each writer makes a bounded number of calls of the store.
func TestWritesOfCrashRecordsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		const lasts = 20 * time.Second
		item := &fakeItem{epoch: 1}
		r := startRecords(ctx, item, 0)
		time.Sleep(time.Second)
		for n := range int(lasts / (50 * time.Millisecond)) {
			r.hold(fmt.Sprint("bad", n))
			time.Sleep(50 * time.Millisecond)
		}
		reads, writes := item.calls()
		if most := writeBurst + int(lasts/writeInterval); writes > most || reads > 1 {
			t.Errorf("calls in %s: %d writes and %d reads, want at most %d writes and one read", lasts, writes, reads, most)
		}
		time.Sleep(writeInterval)
		if !item.holds("bad0") || !item.holds("bad200") {
			t.Errorf("the store does not have all parts %s after the last one was found", writeInterval)
		}
	})
}

// A router that starts holds back what the store has before it judges requests. Without the store it waits for another router,
// and for a bounded time if there is none.
func TestRouterThatStartsAwaitsCrashRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		item := &fakeItem{epoch: 1}
		startRecords(ctx, item, 0).hold("bad")
		time.Sleep(time.Second)

		started := startRecords(ctx, item, 0)
		synctest.Wait()
		if !started.ready(time.Now()) || len(started.records().Parts) != 1 {
			t.Errorf("router that reads the store: ready %t with %d parts, want ready with one", started.ready(time.Now()), len(started.records().Parts))
		}
		item.set(func(i *fakeItem) { i.down = true })
		told, alone := startRecords(ctx, item, 0), startRecords(ctx, item, 0)
		synctest.Wait()
		if told.ready(time.Now()) || alone.ready(time.Now()) {
			t.Error("routers without the store are ready at once, want them to wait")
		}
		told.markComplete()
		if !told.ready(time.Now()) {
			t.Error("router that another one has told is not ready")
		}
		time.Sleep(recordsWait - time.Millisecond)
		if alone.ready(time.Now()) {
			t.Errorf("router without the store and others is ready before %s", recordsWait)
		}
		time.Sleep(time.Millisecond)
		if !alone.ready(time.Now()) {
			t.Errorf("router without the store and others is not ready after %s", recordsWait)
		}
	})
}

// Nothing is written while nothing is held, and a cleared part leaves the store.
func TestClearedPartsLeaveTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		item := &fakeItem{epoch: 1}
		r := startRecords(ctx, item, 0)
		time.Sleep(time.Minute)
		if reads, writes := item.calls(); reads != 1 || writes != 0 {
			t.Errorf("calls while nothing is held: %d reads and %d writes, want one read", reads, writes)
		}
		r.mu.Lock()
		r.tracker.Suspect(quarantine.Suspicion{Part: "sound", Since: time.Now()}, time.Now())
		r.mu.Unlock()
		time.Sleep(5 * time.Second)
		if item.stored() == "" {
			t.Fatal("the suspect is not stored")
		}
		r.mu.Lock()
		r.tracker.RecordFinish([]string{"sound"}, time.Now())
		r.mu.Unlock()
		time.Sleep(5 * time.Second)
		if item.stored() != "" {
			t.Errorf("stored after the part was cleared: %s, want nothing", item.stored())
		}
	})
}
