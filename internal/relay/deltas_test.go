package relay

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/juju/errors"

	"github.com/hyssoptiller/hyssoptiller/internal/catalog"
	"github.com/hyssoptiller/hyssoptiller/internal/delta"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/relaychoice"
)

// handlerTransport calls a handler and counts the bytes of its responses.
type handlerTransport struct {
	handler http.Handler
	bytes   int
}

func (t *handlerTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	t.handler.ServeHTTP(w, req)
	t.bytes += w.Body.Len()
	return w.Result(), nil
}

// listedLog returns a change log that a Follower of a store fills, and the store.
func listedLog(t *testing.T, store *linkStore) *catalog.ChangeLog {
	log := catalog.NewChangeLog(nil)
	reader := newFixedReader(nil)
	process := &linkProcess{store: store, down: &link{rate: 1e12}}
	f := &catalog.Follower{Store: process, WatchTimeout: time.Second, ChangeLog: log, Log: reader.Relays.log, OnChange: func(catalog.Item) {}}
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = f.Serve(ctx)
	}()
	t.Cleanup(func() {
		stop()
		<-done
	})
	return log
}

func waitForRevision(t *testing.T, log *catalog.ChangeLog, revision int64) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if changes, _, err := log.Read(catalog.Position{Epoch: 1, Revision: 1}); err == nil && changes.Position.Revision == revision {
			return
		}
	}
	t.Fatalf("log did not reach revision %d", revision)
}

// A large value is sent as its difference from the one that the caller has, as a whole where the relay does not know
// that one, and unencoded to a process of a build that does not understand deltas.
func TestRelayedValueIsSentAsDelta(t *testing.T) {
	const size = 100 << 10
	store := &linkStore{changed: make(chan struct{})}
	store.put(testConfig(size, 1))
	log := listedLog(t, store)
	waitForRevision(t, log, 1)
	router := chi.NewRouter()
	NewServer(map[string]*catalog.ChangeLog{"topic": log}).Mount(router)
	transport := &handlerTransport{handler: router}
	reader := newFixedReader(transport)
	reader.Store = &linkProcess{store: store, down: &link{rate: 1e12}}
	_, position, err := reader.List(t.Context(), "")
	if err != nil {
		t.Fatal(err)
	}
	read := func(name string, want []byte, most int) {
		t.Helper()
		transport.bytes = 0
		changes, err := reader.watchRelay(t.Context(), relaychoice.Relay{VM: "r", Address: "r:1"}, position)
		if err != nil || len(changes.Items) != 1 || !bytes.Equal(changes.Items[0].Value, want) {
			t.Fatalf("%s: %d items, error %v; want the new value", name, len(changes.Items), err)
		}
		if transport.bytes > most {
			t.Errorf("%s: response of %d bytes, want at most %d", name, transport.bytes, most)
		}
		reader.held.update(changes.Items)
		position = changes.Position
	}
	store.put(testConfig(size, 2))
	waitForRevision(t, log, 2)
	read("value known to the relay", testConfig(size, 2), 1000)
	store.put(testConfig(size, 3))
	waitForRevision(t, log, 3)
	reader.held = nil
	read("value not known to the relay", testConfig(size, 3), size)

	store.put(testConfig(size, 4))
	waitForRevision(t, log, 4)
	w := httptest.NewRecorder()
	router.ServeHTTP(w, httptest.NewRequest(http.MethodGet, pathChanges+"?topic=topic&epoch=1&after=3&waitMs=1&maxAgeMs=1000", nil))
	if body := w.Body.String(); !strings.Contains(body, `"value":`) || strings.Contains(body, `"delta":`) {
		t.Errorf("response to a call that names no value = %.200s, want the value", body)
	}
}

// A delta that does not match what the process has is an error, after which whole values are read.
func TestUnusableDeltaIsRejected(t *testing.T) {
	base, target := testConfig(5000, 1), testConfig(5000, 2)
	for name, tc := range map[string]struct {
		held catalog.Item
		in   wireItem
	}{
		"other revision": {catalog.Item{Key: "a", Revision: 4, Value: base}, wireItem{Key: "a", Base: 3, Delta: delta.Encode(base, target)}},
		"other key":      {catalog.Item{Key: "b", Revision: 3, Value: base}, wireItem{Key: "a", Base: 3, Delta: delta.Encode(base, target)}},
		"other value":    {catalog.Item{Key: "a", Revision: 3, Value: make([]byte, 5000)}, wireItem{Key: "a", Base: 3, Delta: delta.Encode(base, target)}},
		"spoiled":        {catalog.Item{Key: "a", Revision: 3, Value: base}, wireItem{Key: "a", Base: 3, Delta: []byte("spoiled")}},
	} {
		reader := newFixedReader(nil)
		reader.held.update([]catalog.Item{tc.held})
		if _, err := reader.decodeItems([]wireItem{tc.in}); !errors.Is(err, errBadDelta) || len(reader.held) != 0 {
			t.Errorf("%s: error %v, %d held values; want %v and none", name, err, len(reader.held), errBadDelta)
		}
	}
}

// However many values of whatever size change, a process holds and names a bounded number of them.
func TestHeldValuesAreBounded(t *testing.T) {
	var held heldValues
	for i := range 3 * maxHave {
		held.update([]catalog.Item{{Key: string(rune('a' + i)), Revision: int64(i + 1), Value: make([]byte, catalog.MinKeptBytes)}})
	}
	held.update([]catalog.Item{{Key: "a", Revision: 99, Value: make([]byte, catalog.MinKeptBytes)}, {Key: "b", Revision: 100, Deleted: true}})
	if len(held) != maxHave-1 || held["a"].Revision != 99 {
		t.Errorf("%d held values, revision of the first %d; want %d and 99", len(held), held["a"].Revision, maxHave-1)
	}
}

// Another writer that adds large items without end costs a relay a bounded number of cached deltas.
func TestCachedDeltasAreBounded(t *testing.T) {
	var cache deltaCache
	for revision := range int64(10 * maxCachedKeys) {
		cache.encode(string(rune('a'+revision)), 1, 0, revision, nil, testConfig(2000, 1))
	}
	if len(cache.latest) > maxCachedKeys {
		t.Errorf("keys with cached deltas = %d, want at most %d", len(cache.latest), maxCachedKeys)
	}
	target := testConfig(2000, 2)
	got, err := delta.Decode(nil, cache.encode("last", 1, 0, 7, nil, target), maxValueBytes)
	if err != nil || !bytes.Equal(got, target) {
		t.Errorf("delta after the flood: %d bytes, error %v; want the value", len(got), err)
	}
}
