package endpoints

import (
	"github.com/cespare/xxhash/v2"

	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

const (
	// prefixBytes is the length of the part of a request body that is hashed as
	// its prompt prefix.
	prefixBytes = 1024
	// minPrefixBytes is the minimum length of a body whose prefix is hashed. A
	// shorter cached prefix does not justify preferring an endpoint.
	minPrefixBytes = 256
)

// PrefixHash returns a hash of the organisation and the first prefixBytes of a
// request body, or 0 if the body is shorter than minPrefixBytes. Equal prefixes
// of different organisations have different hashes.
func PrefixHash(organisation ident.Organisation, body []byte) uint64 {
	if len(body) < minPrefixBytes {
		return 0
	}
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(organisation))
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(body[:min(len(body), prefixBytes)])
	return d.Sum64()
}
