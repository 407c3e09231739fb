package catalog

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
)

// Timeouts of the store's client in these tests.
const (
	testListTimeout        = 1500 * time.Millisecond
	testWatchTimeoutMargin = 700 * time.Millisecond
)

// contactTime is the time after an outage from which a change in the store must be known.
const contactTime = 3 * time.Second

// silentStore is a fakeStore that, during an outage, responds neither to the calls that it receives
// nor to the watches that are waiting.
type silentStore struct {
	*fakeStore

	mu      sync.Mutex
	silent  bool
	outages int
}

func (s *silentStore) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if silent && !s.silent {
		s.outages++
	}
	s.silent = silent
}

func (s *silentStore) state() (silent bool, outages int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent, s.outages
}

func (s *silentStore) List(ctx context.Context, prefix string) ([]Item, Position, error) {
	if silent, _ := s.state(); silent {
		time.Sleep(testListTimeout)
		return nil, Position{}, ErrUnavailable
	}
	return s.fakeStore.List(ctx, prefix)
}

func (s *silentStore) Watch(ctx context.Context, prefix string, after Position, wait time.Duration) ([]Item, Position, error) {
	began := time.Now()
	silent, before := s.state()
	var items []Item
	position, err := after, error(nil)
	if !silent {
		items, position, err = s.fakeStore.Watch(ctx, prefix, after, wait)
	}
	if _, now := s.state(); silent || now != before {
		time.Sleep(wait + testWatchTimeoutMargin - time.Since(began))
		return nil, Position{}, ErrUnavailable
	}
	return items, position, err
}

// newTestFollower returns a follower with the settings of a router that sends on changed when
// the item "change" appears.
func newTestFollower(store Store, minInterval time.Duration) (f *Follower, changed chan time.Time) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	changed = make(chan time.Time, 1)
	return &Follower{
		Store: store, WatchTimeout: 1500 * time.Millisecond, MinInterval: minInterval, Log: logrus.NewEntry(log),
		OnChange: func(i Item) {
			if i.Key == "change" {
				changed <- time.Now()
			}
		},
	}, changed
}

// A call that the store receives in the last moments of a silent outage is never answered. A change
// made during the outage must be read within the contact time after it, whenever the outage
// begins and however long it is.
func TestChangeIsReadWithinContactTimeAfterSilentOutage(t *testing.T) {
	for _, minInterval := range []time.Duration{0, 800 * time.Millisecond} {
		for start := 2 * time.Second; start < 4*time.Second; start += 900 * time.Millisecond {
			for outage := 50 * time.Millisecond; outage < 12*time.Second; outage += 70 * time.Millisecond {
				synctest.Test(t, func(t *testing.T) {
					store := &silentStore{fakeStore: &fakeStore{items: map[string]Item{}}}
					f, changed := newTestFollower(store, minInterval)
					ctx, stop := context.WithCancel(t.Context())
					done := make(chan error)
					go func() { done <- f.Serve(ctx) }()
					time.Sleep(start)
					store.setSilent(true)
					store.put("change", false)
					time.Sleep(outage)
					store.setSilent(false)
					end := time.Now()
					if took := (<-changed).Sub(end); took > contactTime {
						t.Errorf("minimum interval %s, outage of %s after %s: change read %s after the outage, want at most %s",
							minInterval, outage, start, took, contactTime)
					}
					stop()
					<-done
				})
			}
		}
	}
}
