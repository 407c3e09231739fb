package crashrecords

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/policy/quarantine"
)

const (
	// crashesToQuarantine is the number of crashes that quarantines a request. The platform requires quarantine after
	// the third crash.
	crashesToQuarantine = 3
	// quarantineDuration is how long a quarantined request is refused. It is longer than the gap between two tries of
	// such a request in the platform's workloads.
	quarantineDuration = 2 * time.Minute
)

// Limits returns the limits of the requests with crashes at routers and schedulers.
func Limits() quarantine.Limits {
	l := quarantine.DefaultLimits()
	l.CrashesToQuarantine, l.QuarantineDuration, l.RecordLifetime = crashesToQuarantine, quarantineDuration, quarantineDuration
	return l
}

// Records is the state of requests and prompt parts. Its times are relative, since the clocks of VMs differ.
type Records struct {
	// Complete is set by a router that knows what was known before it started.
	Complete bool      `json:"complete,omitempty"`
	Requests []Request `json:"requests,omitempty"`
	Parts    []Part    `json:"parts,omitempty"`
}

// digestMargin is the remaining time below which a record is left out of digests, since it ends at each process at
// another moment.
const digestMargin = 2 * time.Second

// Digest returns a short digest of the parts and of the requests in quarantine, "" if there are none. Processes with equal
// digests need not exchange records.
func (r Records) Digest() string {
	var lines []string
	for _, p := range r.Parts {
		if duration(p.RemainingMS) >= digestMargin {
			lines = append(lines, fmt.Sprint("part ", p.Part, " ", p.Epoch, " ", p.Change, " ", p.State == quarantine.PartCleared))
		}
	}
	for _, q := range r.Requests {
		if duration(q.QuarantineMS) >= digestMargin {
			lines = append(lines, fmt.Sprint("request ", q.Fingerprint))
		}
	}
	if len(lines) == 0 {
		return ""
	}
	slices.Sort(lines)
	sum := sha256.Sum256([]byte(strings.Join(lines, "\n")))
	return hex.EncodeToString(sum[:digestBytes])
}

// digestBytes is the length of a digest before its encoding.
const digestBytes = 8

// Bounded returns the records without those beyond the bounds of one call.
func (r Records) Bounded() Records {
	r.Requests = r.Requests[max(len(r.Requests)-maxRecords, 0):]
	r.Parts = r.Parts[:min(len(r.Parts), maxParts)]
	return r
}

// Request is the state of a request with crashes.
type Request struct {
	Fingerprint  quarantine.Fingerprint `json:"fingerprint"`
	Crashes      int                    `json:"crashes"`
	QuarantineMS int64                  `json:"quarantineMs"` // Time for which it is refused.
	LifetimeMS   int64                  `json:"lifetimeMs"`   // Time for which the record is kept.
}

// Part is the state of a prompt part.
type Part struct {
	Part        string               `json:"part"`
	State       quarantine.PartState `json:"state"`
	RemainingMS int64                `json:"remainingMs"`
	Quarantines int                  `json:"quarantines"`
	// Epoch and Change are the version of the state; both are 0 in records of former builds.
	Epoch  int `json:"epoch,omitempty"`
	Change int `json:"change,omitempty"`
}

// EncodeRequests encodes the state of requests.
func EncodeRequests(held []quarantine.HeldRequest) []Request {
	out := make([]Request, len(held))
	for i, h := range held {
		out[i] = Request{
			Fingerprint: h.ID, Crashes: h.Crashes, QuarantineMS: h.Quarantine.Milliseconds(), LifetimeMS: h.Lifetime.Milliseconds(),
		}
	}
	return out
}

// Decode returns the state of the request.
func (r Request) Decode() quarantine.HeldRequest {
	return quarantine.HeldRequest{
		ID: r.Fingerprint, Crashes: r.Crashes, Quarantine: duration(r.QuarantineMS), Lifetime: duration(r.LifetimeMS),
	}
}

// EncodeParts encodes the state of prompt parts.
func EncodeParts(held []quarantine.HeldPart) []Part {
	out := make([]Part, len(held))
	for i, p := range held {
		out[i] = Part{
			Part: p.Part, State: p.State, RemainingMS: p.Remaining.Milliseconds(), Quarantines: p.Quarantines,
			Epoch: p.Version.Epoch, Change: p.Version.Change,
		}
	}
	return out
}

// Decode returns the state of the part.
func (p Part) Decode() quarantine.HeldPart {
	return quarantine.HeldPart{
		Part: p.Part, State: p.State, Remaining: duration(p.RemainingMS), Quarantines: p.Quarantines,
		Version: quarantine.PartVersion{Epoch: min(max(p.Epoch, 0), maxVersion), Change: min(max(p.Change, 0), maxVersion)},
	}
}

// maxVersion is above each number of a version that is valid in a record.
const maxVersion = 1 << 30

// maxMS is above each time that is valid in a record.
const maxMS = int64(24 * time.Hour / time.Millisecond)

// duration decodes a time of at most a day; the trackers cut it to their own limits.
func duration(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), maxMS)) * time.Millisecond
}
