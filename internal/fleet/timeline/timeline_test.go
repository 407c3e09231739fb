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

// ringAt returns a ring whose clock reads from wall.
func ringAt(vm ident.VM, wall *int64, capacity int) *Ring {
	return NewRing(vm, hlc.New(func() time.Time { return time.Unix(0, *wall) }), capacity)
}

func TestRingKeepsTheNewestEvents(t *testing.T) {
	wall := int64(0)
	r := ringAt("entry-1", &wall, 3)
	for i := range 5 {
		wall = int64(i + 1)
		r.Record(Event{Kind: KindRequestSent, Detail: fmt.Sprint(i)})
	}
	page := r.Read(Filter{})
	if len(page.Events) != 3 || page.Events[0].Detail != "2" || page.Events[2].Detail != "4" {
		t.Fatalf("kept %+v", page.Events)
	}
	if page.Oldest.Wall != 3 {
		t.Fatalf("oldest kept event is of %d, want 3", page.Oldest.Wall)
	}
}

func TestFilterSelects(t *testing.T) {
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
		{Filter{Kind: KindRequestCut}, false},
		{Filter{After: hlc.Timestamp{Wall: 9}}, true},
		{Filter{After: hlc.Timestamp{Wall: 10}}, false},
	} {
		if c.filter.Match(e) != c.match {
			t.Errorf("%+v: match is not %t", c.filter, c.match)
		}
	}
}

func TestLimitLeavesOutTheOldest(t *testing.T) {
	wall := int64(1)
	r := ringAt("entry-1", &wall, 10)
	for i := range 4 {
		r.Record(Event{Detail: fmt.Sprint(i)})
	}
	page := r.Read(Filter{Limit: 2})
	if !page.More || len(page.Events) != 2 || page.Events[0].Detail != "2" {
		t.Fatalf("page %+v", page)
	}
}

func TestLongDetailIsCut(t *testing.T) {
	wall := int64(1)
	r := ringAt("entry-1", &wall, 1)
	r.Record(Event{Detail: string(make([]byte, 10*MaxDetailBytes))})
	if got := len(r.Events()[0].Detail); got > MaxDetailBytes {
		t.Fatalf("detail of %d bytes", got)
	}
}

// roundTripper serves peers by host without a network.
type roundTripper map[string]http.Handler

func (p roundTripper) RoundTrip(r *http.Request) (*http.Response, error) {
	h, ok := p[r.URL.Host]
	if !ok {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w.Result(), nil
}

// gatherer returns a gatherer at entry-1 over rings of other processes; a nil
// ring never answers.
func gatherer(own *Ring, rings map[string]*Ring) *Gatherer {
	hosts := make(roundTripper)
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

func TestGatherMergesInOneOrderAndNamesTheSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wall := int64(1)
		entry, agent := ringAt("entry-1", &wall, 10), ringAt("engine-1", &wall, 10)
		entry.Record(Event{Kind: KindRequestSent, Request: "r"})
		wall = 2
		agent.Record(Event{Kind: KindRequestRunning, Request: "r", Adapter: "syllabus", Version: "v1"})
		wall = 3
		entry.Record(Event{Kind: KindRequestFinished, Request: "r"})
		start := time.Now()
		g := gatherer(entry, map[string]*Ring{"engine-1": agent, "engine-2": nil, "engine-3": nil, "engine-4": nil})
		out := g.Gather(t.Context(), Filter{Request: "r"})
		if len(out.Events) != 3 || out.Events[1].Kind != KindRequestRunning || out.Events[1].Version != "v1" {
			t.Fatalf("events %+v", out.Events)
		}
		if len(out.Silent) != 3 || out.Silent[0].VM != "engine-2" || out.Asked != 5 {
			t.Fatalf("silent %+v of %d", out.Silent, out.Asked)
		}
		if took := time.Since(start); took > defaultTimeout {
			t.Fatalf("took %s", took)
		}
	})
}

func TestGatherEndsInTimeHoweverManyAreSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wall := int64(1)
		rings := make(map[string]*Ring)
		for i := range 1000 {
			rings[fmt.Sprintf("engine-%d", i)] = nil
		}
		start := time.Now()
		out := gatherer(ringAt("entry-1", &wall, 1), rings).Gather(context.Background(), Filter{})
		if took := time.Since(start); took > defaultTimeout || len(out.Silent) != 1000 {
			t.Fatalf("took %s, %d silent", took, len(out.Silent))
		}
	})
}

func TestGatherHoldsNoMoreThanTheLimit(t *testing.T) {
	wall := int64(1)
	own, other := ringAt("entry-1", &wall, 100), ringAt("engine-1", &wall, 100)
	for range 100 {
		wall++
		own.Record(Event{})
		other.Record(Event{})
	}
	out := gatherer(own, map[string]*Ring{"engine-1": other}).Gather(t.Context(), Filter{Limit: 10})
	if len(out.Events) != 10 || !out.More || out.Events[9].Time.Wall != wall {
		t.Fatalf("%d events, more %t", len(out.Events), out.More)
	}
}

func TestGatherNamesRingsThatDoNotReachBack(t *testing.T) {
	wall := int64(1)
	own, other := ringAt("entry-1", &wall, 100), ringAt("engine-1", &wall, 2)
	for range 5 {
		wall += 10
		other.Record(Event{})
	}
	out := gatherer(own, map[string]*Ring{"engine-1": other}).Gather(t.Context(), Filter{After: hlc.Timestamp{Wall: 15}})
	if len(out.Lost) != 1 || out.Lost[0] != "engine-1" {
		t.Fatalf("lost %v", out.Lost)
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
			g := gatherer(NewRing("entry-1", hlc.New(nil), 256), rings)
			b.ReportAllocs()
			for b.Loop() {
				g.Gather(b.Context(), Filter{Request: "r"})
			}
		})
	}
}

// BenchmarkRingMemory makes the ring of one process: its bytes are the time
// line's memory without the texts that events share.
func BenchmarkRingMemory(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		_ = NewRing("entry-1", hlc.New(nil), 8192)
	}
}
