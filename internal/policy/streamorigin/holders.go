package streamorigin

import (
	"cmp"
	"slices"

	"github.com/hyssoptiller/hyssoptiller/internal/policy/rendezvous"
)

const (
	// RecordCopies is the number of holders of one record. With half of the holders lost at once, seven of
	// eight records are left.
	RecordCopies = 3
	// LookupHolders is the number of holders that are asked for a record. It exceeds RecordCopies because
	// holders come and go between the record and the lookup.
	LookupHolders = 2 * RecordCopies
)

// Records are kept by two groups of processes, so that neither a restart of all schedulers nor one of all routers loses
// them. routerCopies and routerLookups are the numbers of routers beside RecordCopies and LookupHolders
// schedulers.
const (
	routerCopies  = 2
	routerLookups = 2 * routerCopies
)

// Holder is a process that can hold records.
type Holder struct {
	Address       string
	FailureDomain string
	Leaving       bool // It ends soon: it gets no new records, but may hold former ones.
}

// Holders are the processes that can hold records.
type Holders struct {
	Schedulers []Holder
	Routers    []Holder
}

// ForRecord returns the holders that store the record of an attempt. Without schedulers the routers store all
// copies.
func (h Holders) ForRecord(requestID string) []Holder {
	if len(h.Schedulers) == 0 {
		return HoldersForRecord(requestID, h.Routers)
	}
	return append(HoldersForRecord(requestID, h.Schedulers), first(HoldersForRecord(requestID, h.Routers), routerCopies)...)
}

// ForLookup returns the holders that are asked for the record of an attempt.
func (h Holders) ForLookup(requestID string) []Holder {
	if len(h.Schedulers) == 0 {
		return HoldersForLookup(requestID, h.Routers)
	}
	return append(HoldersForLookup(requestID, h.Schedulers), first(HoldersForLookup(requestID, h.Routers), routerLookups)...)
}

// HoldersForRecord returns the holders that store the record of an attempt, in different failure domains if
// there are as many.
func HoldersForRecord(requestID string, all []Holder) []Holder {
	staying := slices.DeleteFunc(slices.Clone(all), func(h Holder) bool { return h.Leaving })
	if len(staying) == 0 {
		staying = all
	}
	return first(order(requestID, staying), RecordCopies)
}

// HoldersForLookup returns the holders to ask for the record of an attempt, LookupHolders at most: those
// that would store it now, and those that would have before some of them were leaving or joined.
func HoldersForLookup(requestID string, all []Holder) []Holder {
	asked := HoldersForRecord(requestID, all)
	for _, h := range order(requestID, all) {
		if len(asked) < LookupHolders && !slices.Contains(asked, h) {
			asked = append(asked, h)
		}
	}
	return asked
}

func first(holders []Holder, n int) []Holder { return holders[:min(n, len(holders))] }

// order sorts holders for an attempt: the best one of each failure domain, then the second of each, and so on.
// A holder that joins or leaves moves the others by one place at most.
func order(requestID string, holders []Holder) []Holder {
	key := rendezvous.Hash(requestID)
	score := func(h Holder) uint64 { return rendezvous.Score(key, rendezvous.Hash(h.Address)) }
	sorted := slices.Clone(holders)
	slices.SortFunc(sorted, func(a, b Holder) int { return cmp.Compare(score(b), score(a)) })
	rankInDomain, count := make(map[Holder]int, len(sorted)), make(map[string]int)
	for _, h := range sorted {
		rankInDomain[h] = count[h.FailureDomain]
		count[h.FailureDomain]++
	}
	slices.SortStableFunc(sorted, func(a, b Holder) int { return cmp.Compare(rankInDomain[a], rankInDomain[b]) })
	return sorted
}
