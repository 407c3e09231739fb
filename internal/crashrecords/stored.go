package crashrecords

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoptiller/hyssoptiller/internal/policy/quarantine"
)

// MaxStoredBytes bounds the encoded records in the store.
const MaxStoredBytes = maxCallBytes

// storedTolerance is the difference up to which two times of a record count as equal: the clocks of VMs differ.
const storedTolerance = 5 * time.Second

// Stored are records as they are kept in the platform's store. Their times are absolute, by the clock of the VM that wrote them:
// they must end while no process runs. The zero value has no records.
type Stored struct {
	Requests []StoredRequest `json:"requests,omitempty"`
	Parts    []StoredPart    `json:"parts,omitempty"`
}

// StoredRequest is the state of a request with crashes. Times are in Unix milliseconds.
type StoredRequest struct {
	Fingerprint      quarantine.Fingerprint `json:"fingerprint"`
	Crashes          int                    `json:"crashes"`
	QuarantinedUntil int64                  `json:"quarantinedUntil,omitempty"`
	Expires          int64                  `json:"expires"`
}

// StoredPart is the state of a prompt part that is a suspect or in quarantine.
type StoredPart struct {
	Part        string               `json:"part"`
	State       quarantine.PartState `json:"state"`
	Until       int64                `json:"until"` // Unix milliseconds.
	Quarantines int                  `json:"quarantines,omitempty"`
	Epoch       int                  `json:"epoch,omitempty"`
	Change      int                  `json:"change,omitempty"`
}

// DecodeStored decodes the records in the store. Records that are not valid are left out; an error means that none could be read.
func DecodeStored(data []byte) (Stored, error) {
	var s Stored
	if len(data) > MaxStoredBytes {
		return Stored{}, errors.Errorf("stored crash records have %d bytes, want at most %d", len(data), MaxStoredBytes)
	}
	if len(data) == 0 {
		return Stored{}, nil
	}
	if err := json.Unmarshal(data, &s); err != nil {
		return Stored{}, errors.Trace(err)
	}
	s.Requests = slices.DeleteFunc(s.Requests, func(r StoredRequest) bool {
		return r.Fingerprint == "" || len(r.Fingerprint) > maxKeyBytes || r.Crashes < 0
	})
	s.Parts = slices.DeleteFunc(s.Parts, func(p StoredPart) bool {
		known := p.State == quarantine.PartSuspect || p.State == quarantine.PartQuarantined
		return p.Part == "" || len(p.Part) > maxKeyBytes || !known || p.Quarantines < 0
	})
	s.Requests, s.Parts = s.Requests[:min(len(s.Requests), maxRecords)], s.Parts[:min(len(s.Parts), maxParts)]
	return s, nil
}

// Encode encodes the records; without records the result is empty.
func (s Stored) Encode() ([]byte, error) {
	if len(s.Requests)+len(s.Parts) == 0 {
		return nil, nil
	}
	return json.Marshal(s)
}

// Records returns the records that are in force now. A part whose quarantine has ended is a suspect for some time more, so that
// a restart does not end that.
func (s Stored) Records(now time.Time) Records {
	limits := quarantine.DefaultPartLimits()
	var out Records
	for _, r := range s.Requests {
		if left := remaining(r.Expires, now); left > 0 {
			out.Requests = append(out.Requests, Request{
				Fingerprint: r.Fingerprint, Crashes: r.Crashes, QuarantineMS: remaining(r.QuarantinedUntil, now), LifetimeMS: left,
			})
		}
	}
	for _, p := range s.Parts {
		left, state := remaining(p.Until, now), p.State
		if state == quarantine.PartQuarantined {
			// A clock that was ahead must not prolong a quarantine beyond its duration.
			durations := limits.QuarantineDurations
			left = min(left, durations[min(max(p.Quarantines-1, 0), len(durations)-1)].Milliseconds())
		}
		if left <= 0 && state == quarantine.PartQuarantined {
			left, state = remaining(p.Until+limits.RecordLifetime.Milliseconds(), now), quarantine.PartSuspect
		}
		if left > 0 {
			out.Parts = append(out.Parts, Part{
				Part: p.Part, State: state, RemainingMS: left, Quarantines: p.Quarantines, Epoch: p.Epoch, Change: p.Change,
			})
		}
	}
	return out
}

// remaining returns the time until a Unix time, all in milliseconds; 0 if it has passed.
func remaining(at int64, now time.Time) int64 {
	return min(max(at-now.UnixMilli(), 0), maxMS)
}

// Merge returns the stored records together with those of a process. Parts that the process knows to be cleared are left out.
func (s Stored) Merge(r Records, now time.Time) Stored {
	requests, parts := quarantine.NewCrashTracker(Limits()), quarantine.NewPartTracker(quarantine.DefaultPartLimits())
	for _, source := range []Records{s.Records(now), r.Bounded()} {
		for _, q := range source.Requests {
			requests.Apply(q.Decode(), now)
		}
		for _, p := range source.Parts {
			parts.Apply(p.Decode(), now)
		}
	}
	merged := Records{Requests: EncodeRequests(requests.Held(now)), Parts: EncodeParts(parts.Held(now))}.Bounded()
	var out Stored
	for _, q := range merged.Requests {
		stored := StoredRequest{Fingerprint: q.Fingerprint, Crashes: q.Crashes, Expires: now.UnixMilli() + q.LifetimeMS}
		if q.QuarantineMS > 0 {
			stored.QuarantinedUntil = now.UnixMilli() + q.QuarantineMS
		}
		out.Requests = append(out.Requests, stored)
	}
	for _, p := range merged.Parts {
		out.Parts = append(out.Parts, StoredPart{
			Part: p.Part, State: p.State, Until: now.UnixMilli() + p.RemainingMS, Quarantines: p.Quarantines, Epoch: p.Epoch, Change: p.Change,
		})
	}
	return out
}

// Covers reports whether the stored records say all that a process knows: a process that reads them holds back what
// that one does, and nothing that it has cleared.
func (s Stored) Covers(r Records, now time.Time) bool {
	stored := s.Records(now)
	requests, parts := make(map[quarantine.Fingerprint]Request), make(map[string]Part)
	for _, q := range stored.Requests {
		requests[q.Fingerprint] = q
	}
	for _, p := range stored.Parts {
		parts[p.Part] = p
	}
	r = r.Bounded()
	for _, q := range r.Requests {
		known, ok := requests[q.Fingerprint]
		missing := !ok || known.Crashes < min(q.Crashes, crashesToQuarantine-1) || known.QuarantineMS < q.QuarantineMS-storedTolerance.Milliseconds()
		if missing && q.LifetimeMS > storedTolerance.Milliseconds() {
			return false
		}
	}
	for _, p := range r.Parts {
		known, ok := parts[p.Part]
		order := known.Decode().Version.Compare(p.Decode().Version)
		switch {
		case p.State == quarantine.PartCleared:
			if ok && order < 0 {
				return false
			}
		case p.RemainingMS <= storedTolerance.Milliseconds():
		case !ok || order < 0 || order == 0 && known.RemainingMS < p.RemainingMS-storedTolerance.Milliseconds():
			return false
		}
	}
	return true
}
