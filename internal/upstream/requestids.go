package upstream

import (
	"hash/maphash"
	"slices"
)

// maxRequests bounds the requests of a connection, and with them the record of their ids, 8 bytes each.
const maxRequests = 500

// idSeed keeps callers from choosing ids with equal hashes.
var idSeed = maphash.MakeSeed()

// requestIDs records the ids of the requests that a connection has carried, by their hashes.
type requestIDs struct{ hashes []uint64 }

// add records an id.
func (r *requestIDs) add(id string) { r.hashes = append(r.hashes, maphash.String(idSeed, id)) }

// contains reports whether an id was recorded. It may be wrong for an id that was not, with a probability of 2^-55.
func (r *requestIDs) contains(id string) bool {
	return slices.Contains(r.hashes, maphash.String(idSeed, id))
}
