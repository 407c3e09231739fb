package upstream

import (
	"hash/maphash"
	"slices"
)

// maxRecordedIDs bounds the record of a connection, 8 bytes each.
const maxRecordedIDs = 1000

// idSeed keeps callers from choosing ids with equal hashes.
var idSeed = maphash.MakeSeed()

// requestIDs records the ids of the requests that a connection has carried, by their hashes.
type requestIDs struct{ hashes []uint64 }

// add records an id unless the record is full.
func (r *requestIDs) add(id string) {
	if len(r.hashes) < maxRecordedIDs {
		r.hashes = append(r.hashes, maphash.String(idSeed, id))
	}
}

// contains reports whether an id was recorded. It may be wrong for an id that was not, with a probability of 2^-54.
func (r *requestIDs) contains(id string) bool {
	return slices.Contains(r.hashes, maphash.String(idSeed, id))
}
