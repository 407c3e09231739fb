package router

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/crashrecords"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/streamorigin"
	"github.com/hyssoptiller/hyssoptiller/internal/sleep"
)

const (
	// crashRecordsKey chooses the schedulers that hold the crash records of all routers.
	crashRecordsKey = "crash-records"
	// storedCrashes is the number of crashes from which a request is stored. When an engine crashes, each of its requests
	// has one.
	storedCrashes = 2
	// storeDelay is how long changes are collected before the records are stored.
	storeDelay = 80 * time.Millisecond
	// refreshInterval is the time between two refreshes of the stored records, since holders come and go.
	refreshInterval = 5 * time.Second
	// adoptRetryInterval is the time between two attempts of a router that starts to read the stored records.
	adoptRetryInterval = 300 * time.Millisecond
)

// crashRecordStore keeps the crash records of a router at a few schedulers, and reads them when the router starts.
type crashRecordStore struct {
	client  *crashrecords.Client
	holders func() []streamorigin.Holder // All schedulers; none before the registry is known.
	records func() crashrecords.Records  // Those of this router.
	adopt   func(from string, r crashrecords.Records)
	isOwner func() bool // This router refreshes the records for all.

	pending atomic.Bool // Records are stored soon.
}

func newCrashRecordStore(transport http.RoundTripper) *crashRecordStore {
	return &crashRecordStore{client: crashrecords.NewClient(transport)}
}

// publish stores the records after storeDelay.
func (s *crashRecordStore) publish() {
	if s.pending.Swap(true) {
		return
	}
	time.AfterFunc(storeDelay, func() {
		s.pending.Store(false)
		s.store(context.Background())
	})
}

// store stores the records, if there are any.
func (s *crashRecordStore) store(ctx context.Context) {
	if r := s.records(); len(r.Requests)+len(r.Parts) > 0 {
		s.client.Store(ctx, addresses(streamorigin.HoldersForRecord(crashRecordsKey, s.holders())), r)
	}
}

// run adopts the stored records once, then refreshes them until ctx ends.
func (s *crashRecordStore) run(ctx context.Context) error {
	for s.client.List(ctx, addresses(streamorigin.HoldersForLookup(crashRecordsKey, s.holders())), s.adopt) == 0 {
		if err := sleep.For(ctx, adoptRetryInterval); err != nil {
			return err
		}
	}
	for {
		if err := sleep.For(ctx, refreshInterval); err != nil {
			return err
		}
		if s.isOwner() {
			s.store(ctx)
		}
	}
}

func addresses(holders []streamorigin.Holder) []string {
	out := make([]string, len(holders))
	for i, h := range holders {
		out[i] = h.Address
	}
	return out
}
