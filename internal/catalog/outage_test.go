package catalog

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/thejerf/suture/v4"
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

func (s *silentStore) Watch(ctx context.Context, prefix string, after Position, wait time.Duration) (Changes, error) {
	began := time.Now()
	silent, before := s.state()
	changes, err := Changes{Position: after}, error(nil)
	if !silent {
		changes, err = s.fakeStore.Watch(ctx, prefix, after, wait)
	}
	if _, now := s.state(); silent || now != before {
		time.Sleep(wait + testWatchTimeoutMargin - time.Since(began))
		return Changes{}, ErrUnavailable
	}
	return changes, err
}

func discardLog() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

// newTestFollower returns a follower with the settings of a router.
func newTestFollower(store Store, minInterval time.Duration) *Follower {
	return &Follower{Store: store, WatchTimeout: 1500 * time.Millisecond, MinInterval: minInterval, Log: discardLog()}
}

// startService runs a service until the returned function is called.
func startService(t *testing.T, s suture.Service) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- s.Serve(ctx) }()
	return func() {
		cancel()
		<-done
	}
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
					changed := make(chan time.Time, 1)
					f := newTestFollower(store, minInterval)
					f.OnChange = func(Item) { changed <- time.Now() }
					defer startService(t, f)()
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
				})
			}
		}
	}
}

// After an outage, a missing registration may have expired although its endpoint runs, or it was
// removed because its endpoint left. An endpoint that left must not be in use once the contact time
// has passed. One that registers again in time must stay in use all the while.
func TestMissingRegistrationsAreUsedForLessThanContactTime(t *testing.T) {
	const (
		minExpiry      = 3 * time.Second // Registrations of running endpoints do not expire in shorter outages.
		reregistration = 1800 * time.Millisecond
	)
	for outage := 50 * time.Millisecond; outage < 12*time.Second; outage += 70 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			store, state := &silentStore{fakeStore: &fakeStore{items: map[string]Item{}}}, NewState()
			f := newTestFollower(store, 800*time.Millisecond)
			f.OnRecovered = state.StoreRecovered
			f.OnChange = func(i Item) {
				id := EndpointID(i.Key)
				if i.Deleted {
					state.RemoveEndpoint(id, time.Now())
				} else {
					state.SetEndpoint(&Endpoint{ID: id, Service: "s"})
				}
			}
			inUse := func(id EndpointID) bool { return state.View().FindEndpoint("s", id) != nil }
			store.put("running", false)
			store.put("left", false)
			defer startService(t, f)()
			defer startService(t, Expirer{State: state, Log: discardLog()})()
			time.Sleep(2 * time.Second)
			store.setSilent(true)
			store.put("running", true)
			store.put("left", true)
			time.Sleep(outage)
			store.setSilent(false)
			end := time.Now()
			registered := false
			for since := time.Duration(0); since < contactTime; since = time.Since(end) {
				if since >= reregistration && !registered {
					registered = true
					store.put("running", false)
				}
				if outage >= minExpiry && !inUse("running") {
					t.Errorf("outage of %s: the endpoint that registers again is not in use %s after it", outage, since)
					break
				}
				time.Sleep(10 * time.Millisecond)
			}
			if inUse("left") {
				t.Errorf("outage of %s: the endpoint that left is in use %s after it", outage, contactTime)
			}
		})
	}
}
