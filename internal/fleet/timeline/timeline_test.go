package timeline

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/fleet/hlc"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

// newTestRing returns a ring whose clock reads *wall, in nanoseconds since the
// Unix epoch.
func newTestRing(vm ident.VM, wall *int64, capacity int) *Ring {
	return NewRing(vm, hlc.New(func() time.Time { return time.Unix(0, *wall) }), capacity)
}

func TestRingStoresTheNewestEvents(t *testing.T) {
	wall := int64(0)
	r := newTestRing("entry-1", &wall, 3)
	for i := range 5 {
		wall = int64(i + 1)
		r.Record(Event{Kind: KindRequestSent, Detail: fmt.Sprint(i)})
	}
	page := r.Read(Filter{})
	if len(page.Events) != 3 || page.Events[0].Detail != "2" || page.Events[2].Detail != "4" {
		t.Fatalf("Read() = %+v, want the last 3 of 5 events", page.Events)
	}
	if page.Oldest.Wall != 3 {
		t.Fatalf("time of the oldest stored event = %d, want 3", page.Oldest.Wall)
	}
}

func TestFilterMatch(t *testing.T) {
	e := Event{
		Time: hlc.Timestamp{Wall: 10}, VM: "engine-1", Kind: KindRequestRunning,
		Request: "r", Organisation: "smithy", Endpoint: "e",
	}
	for _, c := range []struct {
		filter Filter
		match  bool
	}{
		{Filter{}, true},
		{Filter{Request: "r", Organisation: "smithy", Endpoint: "e", Kind: KindRequestRunning}, true},
		{Filter{Endpoint: "engine-1"}, true},
		{Filter{Request: "other"}, false},
		{Filter{Organisation: "lima"}, false},
		{Filter{Endpoint: "engine-2"}, false},
		{Filter{Kind: KindRequestAborted}, false},
		{Filter{After: hlc.Timestamp{Wall: 9}}, true},
		{Filter{After: hlc.Timestamp{Wall: 10}}, false},
	} {
		if c.filter.Match(e) != c.match {
			t.Errorf("Match() of %+v = %t, want %t", c.filter, !c.match, c.match)
		}
	}
}

func TestLimitExcludesTheOldestEvents(t *testing.T) {
	wall := int64(1)
	r := newTestRing("entry-1", &wall, 10)
	for i := range 4 {
		r.Record(Event{Detail: fmt.Sprint(i)})
	}
	page := r.Read(Filter{Limit: 2})
	if !page.More || len(page.Events) != 2 || page.Events[0].Detail != "2" {
		t.Fatalf("Read() with limit 2 = %+v, want the last 2 of 4 events and More", page)
	}
}

func TestLongDetailIsTruncated(t *testing.T) {
	wall := int64(1)
	r := newTestRing("entry-1", &wall, 1)
	r.Record(Event{Detail: string(make([]byte, 10*MaxDetailBytes))})
	if got := len(r.Events()[0].Detail); got > MaxDetailBytes {
		t.Fatalf("length of the stored detail = %d bytes, want at most %d", got, MaxDetailBytes)
	}
}

// handlerTransport is an http.RoundTripper that passes requests to the handler
// of their host. A host without a handler never responds.
type handlerTransport map[string]http.Handler

func (t handlerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	h, ok := t[r.URL.Host]
	if !ok {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w.Result(), nil
}

// newTestGatherer returns a Gatherer of a process with the ring own. rings
// holds the rings of the other processes by VM; a process with a nil ring never
// responds.
func newTestGatherer(own *Ring, rings map[string]*Ring) *Gatherer {
	hosts := make(handlerTransport)
	var peers []Peer
	for vm, r := range rings {
		peers = append(peers, Peer{VM: ident.VM(vm), URL: "http://" + vm})
		if r != nil {
			hosts[vm] = NewHandler(r)
		}
	}
	return NewGatherer(GathererOptions{
		Ring: own, HTTP: &http.Client{Transport: hosts}, Peers: func() []Peer { return peers }, Concurrency: 2,
	})
}

func TestGatherMergesInOrderAndListsUnreachableProcesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wall := int64(1)
		entry, agent := newTestRing("entry-1", &wall, 10), newTestRing("engine-1", &wall, 10)
		entry.Record(Event{Kind: KindRequestSent, Request: "r"})
		wall = 2
		agent.Record(Event{Kind: KindRequestRunning, Request: "r", Adapter: "syllabus", Version: "v1"})
		wall = 3
		entry.Record(Event{Kind: KindRequestFinished, Request: "r"})
		start := time.Now()
		g := newTestGatherer(entry, map[string]*Ring{"engine-1": agent, "engine-2": nil, "engine-3": nil, "engine-4": nil})
		out := g.Gather(t.Context(), Filter{Request: "r"})
		if len(out.Events) != 3 || out.Events[1].Kind != KindRequestRunning || out.Events[1].Version != "v1" {
			t.Fatalf("events = %+v, want 3 with the agent's event of version v1 in the middle", out.Events)
		}
		if len(out.Unreachable) != 3 || out.Unreachable[0].VM != "engine-2" || out.Queried != 5 {
			t.Fatalf("unreachable processes = %+v of %d queried, want engine-2 to engine-4 of 5", out.Unreachable, out.Queried)
		}
		if took := time.Since(start); took > defaultTimeout {
			t.Fatalf("Gather() took %s, want at most %s", took, defaultTimeout)
		}
	})
}

func TestGatherMeetsItsTimeoutWithManyUnreachableProcesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wall := int64(1)
		rings := make(map[string]*Ring)
		for i := range 1000 {
			rings[fmt.Sprintf("engine-%d", i)] = nil
		}
		start := time.Now()
		out := newTestGatherer(newTestRing("entry-1", &wall, 1), rings).Gather(context.Background(), Filter{})
		if took := time.Since(start); took > defaultTimeout || len(out.Unreachable) != 1000 {
			t.Fatalf("Gather() took %s with %d unreachable processes, want at most %s with 1000",
				took, len(out.Unreachable), defaultTimeout)
		}
	})
}

func TestGatherReturnsTheNewestEventsUpToTheLimit(t *testing.T) {
	wall := int64(1)
	own, other := newTestRing("entry-1", &wall, 100), newTestRing("engine-1", &wall, 100)
	for range 100 {
		wall++
		own.Record(Event{})
		other.Record(Event{})
	}
	out := newTestGatherer(own, map[string]*Ring{"engine-1": other}).Gather(t.Context(), Filter{Limit: 10})
	if len(out.Events) != 10 || !out.More || out.Events[9].Time.Wall != wall {
		t.Fatalf("Gather() with limit 10 = %+v, want the newest 10 of 200 events and More", out)
	}
}

func TestGatherListsRingsWithOverwrittenEvents(t *testing.T) {
	wall := int64(1)
	own, other := newTestRing("entry-1", &wall, 100), newTestRing("engine-1", &wall, 2)
	for range 5 {
		wall += 10
		other.Record(Event{})
	}
	out := newTestGatherer(own, map[string]*Ring{"engine-1": other}).Gather(t.Context(), Filter{After: hlc.Timestamp{Wall: 15}})
	if len(out.Overwritten) != 1 || out.Overwritten[0] != "engine-1" {
		t.Fatalf("processes with overwritten events = %v, want engine-1", out.Overwritten)
	}
}

func BenchmarkRecord(b *testing.B) {
	r := NewRing("entry-1", hlc.New(nil), 8192)
	e := Event{Kind: KindRequestSent, Request: "0123456789abcdef01234567", Organisation: "smithy", Endpoint: "engine-1"}
	b.ReportAllocs()
	for b.Loop() {
		r.Record(e)
	}
}

func BenchmarkReadOneRequest(b *testing.B) {
	r := NewRing("entry-1", hlc.New(nil), 8192)
	for i := range 8192 {
		r.Record(Event{Kind: KindRequestSent, Request: ident.RequestID(fmt.Sprint(i % 2048))})
	}
	b.ReportAllocs()
	for b.Loop() {
		r.Read(Filter{Request: "77"})
	}
}

func BenchmarkGatherOneRequest(b *testing.B) {
	for _, processes := range []int{22, 1040} {
		b.Run(fmt.Sprintf("processes=%d", processes), func(b *testing.B) {
			rings := make(map[string]*Ring)
			for i := range processes {
				r := NewRing(ident.VM(fmt.Sprint(i)), hlc.New(nil), 256)
				r.Record(Event{Kind: KindRequestRunning, Request: "r"})
				rings[fmt.Sprint(i)] = r
			}
			g := newTestGatherer(NewRing("entry-1", hlc.New(nil), 256), rings)
			b.ReportAllocs()
			for b.Loop() {
				g.Gather(b.Context(), Filter{Request: "r"})
			}
		})
	}
}

// BenchmarkRingMemory allocates the ring of one process. The allocated bytes
// are the timeline's memory without the texts that events refer to.
func BenchmarkRingMemory(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		_ = NewRing("entry-1", hlc.New(nil), 8192)
	}
}
