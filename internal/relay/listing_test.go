package relay

import (
	"context"
	"fmt"
	"io"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/hyssoptiller/hyssoptiller/internal/catalog"
)

// scriptedStore records the calls of a Reader and returns prepared results.
type scriptedStore struct {
	items    []catalog.Item
	position catalog.Position
	err      error
	calls    []string
}

func (s *scriptedStore) List(context.Context, string) ([]catalog.Item, catalog.Position, error) {
	s.calls = append(s.calls, "list")
	return s.items, s.position, s.err
}

func (s *scriptedStore) Watch(_ context.Context, _ string, after catalog.Position, _ time.Duration) (catalog.Changes, error) {
	s.calls = append(s.calls, fmt.Sprint("watch ", after.Revision))
	if s.err != nil {
		time.Sleep(time.Second)
	}
	var items []catalog.Item
	for _, i := range s.items {
		if i.Revision > after.Revision {
			items = append(items, i)
		}
	}
	return catalog.Changes{Items: items, Position: s.position, ConfirmedAt: time.Now()}, s.err
}

// A watch of a large item that changes often returns all of its versions. Until it stops changing it is listed instead,
// also after a watch that failed, which may have had to return too many of them.
func TestLargeItemIsListedWhileItChanges(t *testing.T) {
	const large, small = largeValueBytes, largeValueBytes - 1
	type step struct {
		size     int // Size of the item that changes before the call; -1 for no change.
		err      error
		wantCall string
	}
	testCase := func(t *testing.T, name string, steps []step) {
		store := &scriptedStore{position: catalog.Position{Epoch: 1, Revision: 1}}
		log := logrus.New()
		log.SetOutput(io.Discard)
		relays := NewRelays("vm", "a", nil, tally.NoopScope, logrus.NewEntry(log))
		reader := &Reader{Store: store, Topic: "topic", Relays: relays, Freshness: Within(testBound)}
		after := store.position
		for n, s := range steps {
			if s.size >= 0 {
				store.position.Revision++
				store.items = append(store.items, catalog.Item{Key: fmt.Sprint(n), Value: make([]byte, s.size), Revision: store.position.Revision})
			}
			store.err = s.err
			changes, err := reader.Watch(t.Context(), "", after, time.Second)
			if got := store.calls[len(store.calls)-1]; got != s.wantCall || len(store.calls) != n+1 {
				t.Errorf("%s: calls %v, want %q as call %d", name, store.calls, s.wantCall, n+1)
			}
			if err == nil {
				after = changes.Position
			}
		}
	}
	for name, steps := range map[string][]step{
		"small item":                   {{small, nil, "watch 1"}, {small, nil, "watch 2"}, {-1, catalog.ErrUnavailable, "watch 3"}, {-1, nil, "watch 3"}},
		"large item":                   {{large, nil, "watch 1"}, {large, nil, "list"}, {-1, nil, "list"}, {-1, nil, "watch 3"}},
		"large item beside small ones": {{large, nil, "watch 1"}, {small, nil, "list"}, {-1, nil, "watch 3"}},
		"failed watch":                 {{large, nil, "watch 1"}, {-1, nil, "list"}, {large, catalog.ErrUnavailable, "watch 2"}, {-1, catalog.ErrUnavailable, "list"}, {-1, nil, "list"}},
	} {
		synctest.Test(t, func(t *testing.T) { testCase(t, name, steps) })
	}
}

// A listing in place of a watch is of the store epoch that is followed, and not older than what is known.
func TestListingInPlaceOfWatchIsNotOlder(t *testing.T) {
	after := catalog.Position{Epoch: 2, Revision: 5}
	for _, position := range []catalog.Position{{Epoch: 3, Revision: 9}, {Epoch: 1, Revision: 9}, {Epoch: 2, Revision: 4}} {
		store := &scriptedStore{position: position}
		reader := newFixedReader(nil)
		reader.Store, reader.listNext = store, true
		if _, err := reader.Watch(t.Context(), "", after, time.Second); !errors.Is(err, catalog.ErrRestored) || !slices.Equal(store.calls, []string{"list"}) {
			t.Errorf("listing at %+v after %+v: error %v, calls %v; want %v and a listing", position, after, err, store.calls, catalog.ErrRestored)
		}
	}
}
