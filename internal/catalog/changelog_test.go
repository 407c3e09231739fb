package catalog

import (
	"bytes"
	"maps"
	"strconv"
	"testing"
	"time"

	"github.com/juju/errors"
	"pgregory.net/rapid"
)

// A process that reads the log from any position that the log accepts has the items of the store, and
// for a deleted item the last value before. Only insignificant changes may be missing until then.
func TestChangeLogMissesNoSignificantChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// The first byte of a value is significant.
		log := NewChangeLog(func(old, item Item) bool { return bytes.Equal(old.Value[:1], item.Value[:1]) })
		items := map[string]Item{}
		revision := int64(1)
		type reader struct {
			position Position
			items    map[string]Item
			deleted  map[string]Item // Last value before the deletion.
		}
		list := func() reader { return reader{Position{1, revision}, maps.Clone(items), map[string]Item{}} }
		log.reset(nil, Position{1, revision}, time.Unix(revision, 0))
		readers := []reader{list()}
		last := map[string]Item{}
		for range rapid.IntRange(1, 30).Draw(t, "watches") {
			var changes Changes
			for range rapid.IntRange(0, 4).Draw(t, "changes") {
				revision++
				key := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key")
				i := Item{Key: key, Revision: revision, Value: rapid.SliceOfN(rapid.ByteRange(0, 1), 2, 2).Draw(t, "value")}
				if _, exists := items[key]; exists && rapid.Bool().Draw(t, "delete") {
					last[key] = items[key]
					delete(items, key)
					i.Deleted, i.Value = true, nil
				} else {
					items[key] = i
				}
				changes.Items = append(changes.Items, i)
			}
			changes.ConfirmedAt = time.Unix(revision, 0)
			log.extend(changes, Position{1, revision})
			if rapid.Bool().Draw(t, "new reader") {
				readers = append(readers, list())
			}
			n := rapid.IntRange(0, len(readers)-1).Draw(t, "reader")
			r := &readers[n]
			read, _, err := log.Read(r.position)
			if err != nil {
				t.Fatalf("read after %+v: %v", r.position, err)
			}
			for _, i := range read.Items {
				if i.Deleted {
					r.deleted[i.Key] = r.items[i.Key]
					delete(r.items, i.Key)
				} else if i.Revision > r.items[i.Key].Revision {
					r.items[i.Key] = i
				}
			}
			r.position = read.Position
			for key, want := range items {
				if got := r.items[key]; len(got.Value) == 0 || got.Value[0] != want.Value[0] {
					t.Fatalf("reader has %v, store has %v", r.items, items)
				}
			}
			if len(r.items) != len(items) {
				t.Fatalf("reader has %v, store has %v", r.items, items)
			}
			for key, got := range r.deleted {
				if _, exists := items[key]; !exists && !bytes.Equal(got.Value, last[key].Value) {
					t.Fatalf("value before the deletion of %s = %v, want %v", key, got.Value, last[key].Value)
				}
			}
		}
	})
}

// The log answers no read that it cannot answer completely.
func TestChangeLogRejectsPositionsThatItDoesNotCover(t *testing.T) {
	log := NewChangeLog(nil)
	expect := func(name string, after Position, want error) {
		t.Helper()
		if _, _, err := log.Read(after); !errors.Is(err, want) {
			t.Errorf("%s: error = %v, want %v", name, err, want)
		}
	}
	expect("before the first listing", Position{1, 5}, ErrUnavailable)
	log.reset(nil, Position{2, 5}, time.Now())
	expect("before the listing", Position{2, 4}, ErrCompacted)
	expect("ahead of the log", Position{2, 6}, ErrBehind)
	expect("former epoch", Position{1, 5}, ErrRestored)
	expect("next epoch", Position{3, 1}, ErrBehind)
	expect("at the listing", Position{2, 5}, nil)
	for i := range int64(maxLoggedChanges + 1) {
		log.extend(Changes{Items: []Item{{Key: strconv.FormatInt(i, 10), Revision: 6 + i}}}, Position{2, 6 + i})
	}
	expect("dropped changes", Position{2, 5}, ErrCompacted)
	expect("kept changes", Position{2, 6}, nil)
	log.extend(Changes{Items: []Item{{Key: "b", Revision: 9000, Value: make([]byte, maxLoggedBytes+1)}}}, Position{2, 9000})
	if len(log.entries) != 0 || log.bytes != 0 {
		t.Errorf("log after a value above the limit: %d entries of %d bytes, want none", len(log.entries), log.bytes)
	}
	log.fail()
	expect("after a failed call", Position{2, 9000}, ErrUnavailable)
	log.extend(Changes{}, Position{2, 9001})
	expect("after the next response", Position{2, 9001}, nil)
	log.Close()
	expect("closed", Position{2, 9001}, ErrUnavailable)
}

// A process that lags behind gets the newest value of a key, not all values since its position.
func TestChangeLogKeepsNewestValueOnly(t *testing.T) {
	log := NewChangeLog(nil)
	log.reset(nil, Position{1, 1}, time.Now())
	for i := range int64(50) {
		log.extend(Changes{Items: []Item{{Key: "config", Revision: 2 + 2*i, Value: make([]byte, 1000)}, {Key: "other", Revision: 3 + 2*i}}}, Position{1, 3 + 2*i})
	}
	changes, _, err := log.Read(Position{1, 1})
	if err != nil || len(changes.Items) != 2 || log.bytes != 1000 {
		t.Fatalf("changes = %+v, error %v, log of %d bytes; want the newest value of two keys, 1000 bytes", changes.Items, err, log.bytes)
	}
	for i, want := range []int64{100, 101} {
		if changes.Items[i].Revision != want {
			t.Errorf("change %d has revision %d, want %d", i, changes.Items[i].Revision, want)
		}
	}
	if changes, _, _ = log.Read(Position{1, 100}); len(changes.Items) != 1 {
		t.Errorf("changes after 100 = %+v, want one", changes.Items)
	}
}

// An outage that a relay noticed starts the grace period here too, unless this process reached the
// store meanwhile: then only the relay was cut off.
func TestOutageOfRelayIsAdoptedUnlessTheStoreWasReached(t *testing.T) {
	began := time.Unix(1000, 0)
	outage := Outage{Began: began, Back: began.Add(2 * time.Second)}
	for name, tc := range map[string]struct {
		confirmedAt time.Time
		known       Outage
		want        bool
	}{
		"not reached since":       {began.Add(-time.Second), Outage{}, true},
		"reached in the outage":   {began.Add(time.Second), Outage{}, false},
		"known":                   {began.Add(-time.Second), outage, false},
		"earlier outage is known": {began.Add(-time.Second), Outage{Began: began.Add(-9 * time.Second), Back: began.Add(-8 * time.Second)}, true},
	} {
		recoveries := 0
		f := &Follower{Log: discardLog(), OnRecovered: func(time.Time) { recoveries++ }, confirmedAt: tc.confirmedAt, outage: tc.known}
		f.adoptOutage(outage)
		if got := recoveries == 1; got != tc.want {
			t.Errorf("%s: adopted = %t, want %t", name, got, tc.want)
		}
	}
}

// Former values of large items are kept within a bound, the latest two in any case.
func TestFormerValuesAreKeptWithinBound(t *testing.T) {
	for size, wantKept := range map[int]int64{MinKeptBytes - 1: 0, MinKeptBytes: 20, maxKeptBytes / 4: 4, 2 * maxKeptBytes: 2} {
		log := NewChangeLog(nil)
		log.reset([]Item{{Key: "config", Revision: 1, Value: make([]byte, size)}}, Position{1, 1}, time.Now())
		for revision := int64(2); revision <= 20; revision++ {
			log.extend(Changes{Items: []Item{{Key: "config", Revision: revision, Value: make([]byte, size)}}}, Position{1, revision})
		}
		for revision := int64(1); revision <= 20; revision++ {
			if _, kept := log.Value("config", revision); kept != (revision > 20-wantKept) {
				t.Errorf("values of %d bytes: revision %d kept %t, want the latest %d", size, revision, kept, wantKept)
			}
		}
		log.reset(nil, Position{2, 1}, time.Now())
		if _, kept := log.Value("config", 20); kept {
			t.Errorf("values of %d bytes: kept after a listing of another epoch", size)
		}
	}
}
