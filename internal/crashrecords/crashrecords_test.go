package crashrecords

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/sirupsen/logrus"

	"github.com/hyssoptiller/hyssoptiller/internal/policy/quarantine"
)

// holder is a Server that a Client can call.
type holder struct{ *httptest.Server }

func newHolder(t *testing.T) holder {
	log := logrus.New()
	log.SetOutput(io.Discard)
	router := chi.NewRouter()
	NewServer(logrus.NewEntry(log)).Mount(router)
	h := holder{httptest.NewServer(router)}
	t.Cleanup(h.Close)
	return h
}

func (h holder) address() string { return strings.TrimPrefix(h.URL, "http://") }

func list(t *testing.T, c *Client, h holder) Records {
	t.Helper()
	var out Records
	if n := c.List(context.Background(), []string{h.address()}, func(_ string, r Records) { out = r }); n != 1 {
		t.Fatalf("holders that responded = %d, want 1", n)
	}
	return out
}

// Records that routers store in any order are never milder than the strictest of them; a cleared part is no longer a suspect.
func TestStoredRecordsStayStrict(t *testing.T) {
	c, h := NewClient(http.DefaultTransport), newHolder(t)
	strict := Records{
		Requests: []Request{{Fingerprint: "r", Crashes: 2, QuarantineMS: 60000, LifetimeMS: 60000}},
		Parts:    []Part{{Part: "p", State: quarantine.PartQuarantined, RemainingMS: 30000, Quarantines: 1}, {Part: "s", State: quarantine.PartSuspect, RemainingMS: 30000}},
	}
	mild := Records{
		Requests: []Request{{Fingerprint: "r", Crashes: 1, LifetimeMS: 1000}},
		Parts:    []Part{{Part: "p", State: quarantine.PartSuspect, RemainingMS: 1000}, {Part: "s", State: quarantine.PartCleared}},
	}
	for _, r := range []Records{strict, mild, mild} {
		if n := c.Store(t.Context(), []string{h.address()}, r); n != 1 {
			t.Fatalf("holders that stored = %d, want 1", n)
		}
	}
	got := list(t, c, h)
	if len(got.Requests) != 1 || got.Requests[0].Crashes != 2 || got.Requests[0].QuarantineMS < 50000 {
		t.Errorf("requests = %+v, want the strict one", got.Requests)
	}
	if len(got.Parts) != 1 || got.Parts[0].Part != "p" || got.Parts[0].State != quarantine.PartQuarantined || got.Parts[0].RemainingMS < 25000 {
		t.Errorf("parts = %+v, want the one in quarantine", got.Parts)
	}
}

// A flood of records, and ones that are odd or too large, cost a bounded amount and displace no request in quarantine.
func TestFloodOfRecordsIsBounded(t *testing.T) {
	c, h := NewClient(http.DefaultTransport), newHolder(t)
	store := func(r Records) { c.Store(t.Context(), []string{h.address()}, r) }
	for n := range 20 {
		var r Records
		for i := range maxRecords {
			r.Requests = append(r.Requests, Request{Fingerprint: quarantine.Fingerprint(fmt.Sprint(n, "-", i)), Crashes: 1, LifetimeMS: 60000})
		}
		store(r)
	}
	store(Records{Requests: []Request{{Fingerprint: "bad", Crashes: 2, QuarantineMS: 60000, LifetimeMS: 60000}}})
	store(Records{Requests: []Request{
		{Fingerprint: "", Crashes: 2, LifetimeMS: 60000},
		{Fingerprint: "odd", Crashes: -1, QuarantineMS: -1, LifetimeMS: 1 << 62},
		{Fingerprint: quarantine.Fingerprint(strings.Repeat("x", 2*maxKeyBytes)), Crashes: 2, LifetimeMS: 60000},
	}, Parts: []Part{{Part: "", State: quarantine.PartSuspect, RemainingMS: 1000}, {Part: "q", State: "odd", RemainingMS: 1000}}})
	got := list(t, c, h)
	if len(got.Requests) > maxRecords || len(got.Parts) != 0 {
		t.Errorf("%d requests and %d parts, want at most %d and none", len(got.Requests), len(got.Parts), maxRecords)
	}
	if last := got.Requests[len(got.Requests)-1]; last.Fingerprint != "bad" || last.QuarantineMS < 50000 {
		t.Errorf("latest request = %+v, want the one in quarantine", last)
	}
}

// A holder that does not respond is left out within the time of a call.
func TestSilentHolderIsLeftOut(t *testing.T) {
	silent := holder{httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // The server notices a closed connection only after the body.
		<-r.Context().Done()
	}))}
	t.Cleanup(silent.Close)
	c, h := NewClient(http.DefaultTransport), newHolder(t)
	began := time.Now()
	if n := c.Store(t.Context(), []string{silent.address(), h.address()}, Records{Requests: []Request{{Fingerprint: "r", Crashes: 1, LifetimeMS: 60000}}}); n != 1 {
		t.Errorf("holders that stored = %d, want 1", n)
	}
	if took := time.Since(began); took > 5*callTimeout {
		t.Errorf("store took %s, want about %s", took, callTimeout)
	}
}

// BenchmarkDigest takes the digest of as many records as one call holds.
func BenchmarkDigest(b *testing.B) {
	var r Records
	for i := range maxRecords {
		r.Requests = append(r.Requests, Request{Fingerprint: quarantine.Fingerprint(fmt.Sprintf("%032d", i)), Crashes: 3, QuarantineMS: 60000})
	}
	for i := range maxParts {
		r.Parts = append(r.Parts, Part{Part: fmt.Sprintf("%08x", i), State: quarantine.PartQuarantined, RemainingMS: 60000, Epoch: 1})
	}
	for b.Loop() {
		r.Digest()
	}
}
