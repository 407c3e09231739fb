package router

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/hyssoptiller/hyssoptiller/internal/crashrecords"
	"github.com/hyssoptiller/hyssoptiller/internal/sleep"
	"github.com/hyssoptiller/hyssoptiller/platform"
)

const (
	// storedCheckInterval is the time between two checks whether the stored records are complete.
	storedCheckInterval = time.Second
	// maxReadRetryInterval bounds the time between two attempts of a router that starts to read the stored records.
	maxReadRetryInterval = time.Second
	// writeInterval is the mean time between two writes, however many crashes there are. writeBurst is the number of writes
	// without it: a part may enter quarantine within two seconds of its first crash, and its crashes and suspicion are
	// written too.
	writeInterval = 900 * time.Millisecond
	writeBurst    = 6
	// storedWriters is the number of routers that see to it that the records are stored: the first one, and the others if
	// it does not within rankDelay each.
	storedWriters = 3
	rankDelay     = 700 * time.Millisecond
	// maxStoreAttempts bounds the attempts to write the records in one check: other routers write them too.
	maxStoreAttempts = 3
	// recordsWait is how long a router that has a configuration waits for the records of the others or of the store. The
	// store may be unreachable for it, and no router may be left.
	recordsWait = 2 * time.Second
)

// recordItem is the item of the platform's store that holds the crash records. platform.StoreClient implements it.
type recordItem interface {
	ReadCrashRecords(ctx context.Context) ([]byte, platform.ItemPosition, error)
	WriteCrashRecords(ctx context.Context, value []byte, last platform.ItemPosition) (platform.ItemPosition, error)
	Epoch() int64
}

// storedRecords keeps the crash records in the platform's store, which alone outlives all routers and schedulers. A router
// that starts reads them before it serves requests.
type storedRecords struct {
	item    recordItem
	records func() crashrecords.Records // Those of this router.
	adopt   func(from string, r crashrecords.Records)
	rank    func() int // Place of this router among the writers; -1 if it must not write.
	// isolated reports whether this router reaches few of the others, so that it learns what they hold from the store only.
	isolated func() bool
	counted  func() // Called for each write; may be nil.
	log      *logrus.Entry
	wake     chan struct{}

	// Used by run only.
	known          *crashrecords.Stored // What is stored, as far as this router knows; nil if it does not.
	position       platform.ItemPosition
	readAt         time.Time     // End of the last attempt to read them.
	writes         *rate.Limiter // Writes that this router may make.
	uncoveredSince time.Time     // When the stored records were found incomplete; zero while they are not.

	mu        sync.Mutex
	awaited   bool      // Requests wait until the records are known.
	complete  bool      // The records of the store, or of a router that knows them, were adopted.
	askedAt   time.Time // When a request or a check first needed the records.
	completed chan struct{}
}

func newStoredRecords(item recordItem, log *logrus.Entry) *storedRecords {
	return &storedRecords{
		item: item, log: log, wake: make(chan struct{}, 1), completed: make(chan struct{}),
		writes: rate.NewLimiter(rate.Every(writeInterval), writeBurst),
	}
}

// markComplete records that this router knows what was known before it started.
func (s *storedRecords) markComplete() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.complete {
		s.complete = true
		close(s.completed)
	}
}

// isComplete reports whether this router knows what was known before it started.
func (s *storedRecords) isComplete() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.complete
}

// await makes ready report false until the records are known.
func (s *storedRecords) await() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.awaited = true
}

// ready reports whether requests may be judged by the records, or recordsWait has passed since the first call. Call it once
// there is a configuration.
func (s *storedRecords) ready(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.awaited || s.complete {
		return true
	}
	if s.askedAt.IsZero() {
		s.askedAt = now
	}
	if now.Sub(s.askedAt) < recordsWait {
		return false
	}
	s.awaited = false
	s.log.WithField("event", "crash_records_unknown").Warn("requests are served without the crash records of before the start")
	return true
}

// notify checks after storeDelay whether the stored records are complete.
func (s *storedRecords) notify() {
	time.AfterFunc(storeDelay, func() {
		select {
		case s.wake <- struct{}{}:
		default:
		}
	})
}

// run reads the stored records, unless a router passes them on before, and then stores what is missing there until ctx ends.
func (s *storedRecords) run(ctx context.Context) error {
	for wait := adoptRetryInterval; !s.isComplete(); wait = min(2*wait, maxReadRetryInterval) {
		err := s.read(ctx)
		if err == nil {
			s.markComplete()
			break
		}
		s.log.WithError(err).WithField("event", "crash_records_unread").Info("stored crash records not read")
		select {
		case <-s.completed:
		case <-time.After(wait):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	for wait := storedCheckInterval; ; {
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-s.wake:
			timer.Stop()
		case <-timer.C:
		}
		wait = s.sync(ctx)
	}
}

// read reads the stored records and adopts them if they have changed. Records that cannot be decoded count as none and are
// replaced.
func (s *storedRecords) read(ctx context.Context) error {
	former := s.known
	s.known = nil
	data, position, err := s.item.ReadCrashRecords(ctx)
	s.readAt = time.Now()
	if err != nil {
		return err
	}
	if former != nil && position == s.position {
		s.known = former
		return nil
	}
	stored, err := crashrecords.DecodeStored(data)
	if err != nil {
		s.log.WithError(err).WithField("event", "crash_records_invalid").Warn("stored crash records are invalid, ignored")
	}
	s.known, s.position = &stored, position
	records := stored.Records(time.Now())
	if n := len(records.Parts) + len(records.Requests); n > 0 {
		s.adopt("store", records)
	}
	return nil
}

// missing reports whether the store lacks records of this router, as far as this router knows.
func (s *storedRecords) missing(now time.Time) bool {
	if s.known != nil && s.position.Epoch != s.item.Epoch() {
		s.known = nil // The store was restored from a backup.
	}
	stored := crashrecords.Stored{}
	if s.known != nil {
		stored = *s.known
	}
	return !stored.Covers(s.records(), now)
}

// sync stores the records of this router if the store lacks any and it is this router's turn. An isolated router reads the
// stored ones as well. sync returns the time until the next check.
func (s *storedRecords) sync(ctx context.Context) time.Duration {
	if s.isolated() && time.Since(s.readAt) >= storedCheckInterval {
		if err := s.read(ctx); err != nil {
			s.log.WithError(err).WithField("event", "crash_records_unread").Info("stored crash records not read")
		}
	}
	now := time.Now()
	if !s.missing(now) {
		s.uncoveredSince = time.Time{}
		return storedCheckInterval
	}
	if s.uncoveredSince.IsZero() {
		s.uncoveredSince = now
	}
	rank := s.rank()
	if rank < 0 || rank >= storedWriters {
		return storedCheckInterval
	}
	turn := s.uncoveredSince.Add(time.Duration(rank) * rankDelay)
	if tokens := s.writes.TokensAt(now); tokens < 1 {
		if next := now.Add(time.Duration((1 - tokens) * float64(writeInterval))); next.After(turn) {
			turn = next
		}
	}
	if now.Before(turn) {
		return min(turn.Sub(now), storedCheckInterval)
	}
	s.store(ctx, rank)
	return storedCheckInterval
}

// store reads the stored records, unless they are known, and writes what they lack.
func (s *storedRecords) store(ctx context.Context, rank int) {
	for attempt := range maxStoreAttempts {
		if s.known == nil || rank > 0 || attempt > 0 {
			if err := s.read(ctx); err != nil {
				s.log.WithError(err).WithField("event", "crash_records_unread").Info("stored crash records not read")
				return
			}
		}
		now := time.Now()
		if !s.missing(now) {
			s.uncoveredSince = time.Time{}
			return
		}
		err := s.write(ctx, s.known.Merge(s.records(), now))
		if err == nil {
			s.uncoveredSince = time.Time{}
			return
		}
		s.known = nil // The write may have been carried out.
		if !errors.Is(err, platform.ErrConflict) {
			s.log.WithError(err).WithField("event", "crash_records_unstored").Info("crash records not stored")
			return
		}
		if sleep.For(ctx, storeDelay) != nil {
			return
		}
	}
}

// write replaces the stored records if they are still those that this router knows.
func (s *storedRecords) write(ctx context.Context, stored crashrecords.Stored) error {
	data, err := stored.Encode()
	if err != nil {
		return errors.Trace(err)
	}
	s.writes.ReserveN(time.Now(), 1) // Attempts after a conflict count too, and delay the next check.
	position, err := s.item.WriteCrashRecords(ctx, data, s.position)
	if s.counted != nil {
		s.counted()
	}
	if err != nil {
		return err
	}
	s.known, s.position = &stored, position
	s.log.WithFields(logrus.Fields{
		"event": "crash_records_stored", "parts": len(stored.Parts), "requests": len(stored.Requests), "bytes": len(data),
	}).Info("crash records stored")
	return nil
}
