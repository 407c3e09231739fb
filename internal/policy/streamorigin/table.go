package streamorigin

import (
	"cmp"
	"container/list"
	"time"
)

// Key identifies the attempt of a caller that brought the first event of a stream.
type Key struct {
	Organisation string // "" on a public route.
	RequestID    string
}

// Origin is where a stream began. A stream goes on only where both are the same.
type Origin struct {
	Service  string
	Software string // Software version of the endpoint.
}

// Result is what one holder knows of a stream.
type Result int

// Values of Result.
const (
	ResultUnknown  Result = iota // There is no record.
	ResultFound                  // A record names the origin.
	ResultConflict               // Two origins were recorded, so that none is certain.
)

// record is the origin of one stream, which is zero after a conflict.
type record struct {
	key       Key
	origin    Origin
	expiresAt time.Time
}

// Table holds the records of one holder, maxRecords at most. A new record beyond that displaces the oldest one of
// the organisation with the most records, so that no organisation displaces the records of another one
// that has fewer.
type Table struct {
	maxRecords int
	byKey      map[Key]*list.Element
	byOrg      map[string]*list.List // Of *record, oldest first.
}

// NewTable returns an empty Table.
func NewTable(maxRecords int) *Table {
	return &Table{maxRecords: maxRecords, byKey: make(map[Key]*list.Element), byOrg: make(map[string]*list.List)}
}

// Len returns the number of records, including those that have expired and were not removed yet.
func (t *Table) Len() int { return len(t.byKey) }

// Put records the origin of a stream until expiresAt. It returns false if another origin is recorded for the
// key, which makes it uncertain from then on.
func (t *Table) Put(key Key, origin Origin, expiresAt, now time.Time) bool {
	t.removeExpired(key.Organisation, now)
	if e := t.byKey[key]; e != nil && e.Value.(*record).expiresAt.After(now) {
		r := e.Value.(*record)
		if expiresAt.After(r.expiresAt) {
			r.expiresAt = expiresAt
		}
		if r.origin != origin {
			r.origin = Origin{}
		}
		return r.origin != Origin{}
	}
	t.remove(key)
	for len(t.byKey) >= t.maxRecords {
		t.remove(t.largest().Front().Value.(*record).key)
	}
	records := t.byOrg[key.Organisation]
	if records == nil {
		records = list.New()
		t.byOrg[key.Organisation] = records
	}
	t.byKey[key] = records.PushBack(&record{key: key, origin: origin, expiresAt: expiresAt})
	return true
}

// Get returns the recorded origin of a stream.
func (t *Table) Get(key Key, now time.Time) (Origin, Result) {
	e := t.byKey[key]
	if e == nil || !e.Value.(*record).expiresAt.After(now) {
		return Origin{}, ResultUnknown
	}
	origin := e.Value.(*record).origin
	if origin == (Origin{}) {
		return origin, ResultConflict
	}
	return origin, ResultFound
}

// removeExpired removes the oldest records of an organisation that have expired. One that expires later than
// younger ones delays their removal, which the bound of the table limits.
func (t *Table) removeExpired(organisation string, now time.Time) {
	for records := t.byOrg[organisation]; records != nil && records.Len() > 0; {
		r := records.Front().Value.(*record)
		if r.expiresAt.After(now) {
			return
		}
		t.remove(r.key)
	}
}

// remove removes a record if it exists.
func (t *Table) remove(key Key) {
	e := t.byKey[key]
	if e == nil {
		return
	}
	delete(t.byKey, key)
	records := t.byOrg[key.Organisation]
	records.Remove(e)
	if records.Len() == 0 {
		delete(t.byOrg, key.Organisation)
	}
}

// largest returns the records of the organisation with the most of them.
func (t *Table) largest() *list.List {
	var largest *list.List
	name := ""
	for organisation, records := range t.byOrg {
		if largest == nil || cmp.Or(cmp.Compare(records.Len(), largest.Len()), cmp.Compare(organisation, name)) > 0 {
			largest, name = records, organisation
		}
	}
	return largest
}
