package endpoints

import (
	"github.com/cespare/xxhash/v2"

	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

const (
	// prefixBytes is the length of the beginning of a body that counts as its
	// prompt prefix.
	prefixBytes = 1024
	// minPrefixBytes is the length from which a cached prefix is worth going
	// back to an endpoint for.
	minPrefixBytes = 256
)

// Prefix hashes the organisation and the beginning of a request's body. It is 0
// where the body is too short for its prefix to be worth anything.
func Prefix(organisation ident.Organisation, body []byte) uint64 {
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
