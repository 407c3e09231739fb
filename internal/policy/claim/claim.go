// Package claim decides what becomes of a request with an Idempotency-Key on a
// route that is not idempotent.
//
// A claim is a record in the key-value service, written by create-if-absent
// before the request runs and completed with its outcome after. The decisions
// here are pure. Their invariants:
//
//   - Only the attempt whose id is in the record may run.
//   - A record without an outcome is never taken over, whatever its age below
//     the retention: its attempt may have run.
//   - A repeat gets the stored answer, or is refused.
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

// Prefix begins every key of a claim in the store.
const Prefix = "claims/"

// Shards is the number of groups of claims, each swept on its own.
const Shards = 4096

const shardDigits = 3 // Hexadecimal digits that name a shard.

// ClockSkew is the difference between the clocks of two VMs that decisions
// allow for.
const ClockSkew = 5 * time.Second

// Request is what identifies a claim.
type Request struct {
	Organisation ident.Organisation
	Service      ident.Service
	Key          string // The caller's Idempotency-Key.
	Method       string
	Path         string
	ContentType  string
	Body         []byte
}

// StoreKey returns the claim's key in the store. The organisation and the
// caller's text are hashed into it, so it has a fixed length whatever they are.
func (r Request) StoreKey() string {
	sum := digest([]byte(r.Organisation), []byte(r.Service), []byte(r.Key))
	return Prefix + sum[:shardDigits] + "/" + sum
}

// ShardPrefix returns the prefix of the store keys of one group of claims.
func ShardPrefix(shard int) string {
	return fmt.Sprintf("%s%0*x/", Prefix, shardDigits, shard)
}

// Fingerprint tells a repeat from another request under the same key.
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
	_, _ = h.Write(size[:]) // A hash returns no error.
	_, _ = h.Write(part)
}

// Outcome is the answer that a claimed request got.
type Outcome struct {
	Status   int         `json:"status"`
	Header   http.Header `json:"header,omitempty"` // Only headers that reach callers.
	Body     []byte      `json:"body,omitempty"`
	Unstored bool        `json:"unstored,omitempty"` // The body was too long to keep.
}

// Record is a claim as the store holds it.
type Record struct {
	Attempt     ident.AttemptID `json:"attempt"` // The only attempt that may run.
	Request     ident.RequestID `json:"request"`
	Fingerprint string          `json:"fingerprint"`
	Deadline    time.Time       `json:"deadline"` // When the attempt has ended at the latest.
	Expires     time.Time       `json:"expires"`  // When the claim is forgotten.
	Outcome     *Outcome        `json:"outcome,omitempty"`
}

// Verdict says what becomes of a request that met a claim.
type Verdict int

// Values of Verdict.
const (
	// VerdictRun lets the request run: the claim is its own.
	VerdictRun Verdict = iota
	// VerdictReplace lets the request claim the key anew: the claim expired.
	VerdictReplace
	// VerdictReplay gives the stored answer.
	VerdictReplay
	// VerdictUnstored tells that the request ran, and its answer was not kept.
	VerdictUnstored
	// VerdictInUse refuses the repeat while the first may still run.
	VerdictInUse
	// VerdictUnknown refuses the repeat: the first ended without an outcome.
	VerdictUnknown
	// VerdictReused refuses another request under the same key.
	VerdictReused
)

// Judge says what becomes of an attempt that found the record at its key.
func Judge(found Record, attempt ident.AttemptID, fingerprint string, now time.Time) Verdict {
	switch {
	case found.Attempt == attempt:
		return VerdictRun
	case !now.Before(found.Expires):
		return VerdictReplace
	case found.Fingerprint != fingerprint:
		return VerdictReused
	case found.Outcome != nil && found.Outcome.Unstored:
		return VerdictUnstored
	case found.Outcome != nil:
		return VerdictReplay
	case now.Before(found.Deadline.Add(ClockSkew)):
		return VerdictInUse
	default:
		return VerdictUnknown
	}
}

// Expired reports whether a record may be deleted. A record whose attempt may
// still run is kept.
func Expired(found Record, now time.Time) bool {
	return now.After(found.Expires) && now.After(found.Deadline.Add(ClockSkew))
}
