// Package claim decides how to treat a request with an Idempotency-Key on a
// route that is not idempotent.
//
// A claim is a record in the key-value store. It is created before the request
// runs, only if the key has none, and completed with the outcome afterwards. The
// decisions in this package are pure. Invariants:
//
//   - Only the attempt whose id is in the record may run.
//   - A record without an outcome is never taken over before it expires, because
//     its attempt may have run.
//   - A repeated request gets the stored response or is refused.
package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"hash"
	"net/http"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

// KeyPrefix is the prefix of all claim keys in the store.
const KeyPrefix = "claims/"

// Shards is the number of groups of claims. Expired claims are deleted one group at a time.
const Shards = 4096

const shardDigits = 3 // Number of hexadecimal digits in a shard's name.

// ClockSkew is the clock difference between two VMs that decisions tolerate.
const ClockSkew = 5 * time.Second

// Request holds the properties of a request that identify its claim and its
// content.
type Request struct {
	Organisation ident.Organisation
	Service      ident.Service
	Key          string // Value of the caller's Idempotency-Key header.
	Method       string
	Path         string
	ContentType  string
	Body         []byte
}

// StoreKey returns the key of the claim in the store. It contains a hash of the
// organisation, the service and the idempotency key, so its length is fixed.
func (r Request) StoreKey() string {
	sum := digest([]byte(r.Organisation), []byte(r.Service), []byte(r.Key))
	return KeyPrefix + sum[:shardDigits] + "/" + sum
}

// ShardPrefix returns the prefix of the store keys of one shard.
func ShardPrefix(shard int) string {
	return fmt.Sprintf("%s%0*x/", KeyPrefix, shardDigits, shard)
}

// Fingerprint returns a hash of the request's content. It distinguishes a
// repeated request from a different request with the same idempotency key.
func (r Request) Fingerprint() string {
	return digest([]byte(r.Method), []byte(r.Path), []byte(r.ContentType), r.Body)
}

func digest(parts ...[]byte) string {
	h := sha256.New()
	for _, part := range parts {
		writePart(h, part)
	}
	return hex.EncodeToString(h.Sum(nil))
}

func writePart(h hash.Hash, part []byte) {
	var size [8]byte
	binary.BigEndian.PutUint64(size[:], uint64(len(part)))
	_, _ = h.Write(size[:]) // A hash.Hash never returns an error.
	_, _ = h.Write(part)
}

// Outcome is the response to a claimed request.
type Outcome struct {
	Status        int         `json:"status"`
	Header        http.Header `json:"header,omitempty"` // Only headers that are forwarded to callers.
	Body          []byte      `json:"body,omitempty"`
	BodyNotStored bool        `json:"unstored,omitempty"` // The body was too long to store.
}

// Record is a claim in its stored form.
type Record struct {
	Attempt     ident.AttemptID `json:"attempt"` // The only attempt that may run.
	Request     ident.RequestID `json:"request"`
	Fingerprint string          `json:"fingerprint"`
	Deadline    time.Time       `json:"deadline"` // Latest time at which the attempt ends.
	Expires     time.Time       `json:"expires"`  // When the claim is no longer valid.
	Outcome     *Outcome        `json:"outcome,omitempty"`
}

// Verdict is the decision on a request whose key has a claim.
type Verdict int

// Values of Verdict.
const (
	// VerdictRun lets the request run, because the claim belongs to it.
	VerdictRun Verdict = iota
	// VerdictReplace lets the request replace the claim, because it has expired.
	VerdictReplace
	// VerdictReplay returns the stored response.
	VerdictReplay
	// VerdictResponseNotStored refuses the repeated request, because the first ran but
	// its response was not stored.
	VerdictResponseNotStored
	// VerdictKeyInUse refuses the repeated request while the first may still be
	// running.
	VerdictKeyInUse
	// VerdictOutcomeUnknown refuses the repeated request, because the first has ended
	// and no outcome was recorded.
	VerdictOutcomeUnknown
	// VerdictKeyReused refuses a different request with the same key.
	VerdictKeyReused
)

// Decide decides how to treat an attempt that found a record under its key.
func Decide(found Record, attempt ident.AttemptID, fingerprint string, now time.Time) Verdict {
	switch {
	case found.Attempt == attempt:
		return VerdictRun
	case !now.Before(found.Expires):
		return VerdictReplace
	case found.Fingerprint != fingerprint:
		return VerdictKeyReused
	case found.Outcome != nil && found.Outcome.BodyNotStored:
		return VerdictResponseNotStored
	case found.Outcome != nil:
		return VerdictReplay
	case now.Before(found.Deadline.Add(ClockSkew)):
		return VerdictKeyInUse
	default:
		return VerdictOutcomeUnknown
	}
}

// Expired reports whether a record may be deleted. Unlike VerdictReplace, it also
// requires that Deadline plus ClockSkew has passed, because the attempt may still
// be running until then.
func Expired(found Record, now time.Time) bool {
	return now.After(found.Expires) && now.After(found.Deadline.Add(ClockSkew))
}
