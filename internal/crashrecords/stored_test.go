package crashrecords

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hyssoptiller/hyssoptiller/internal/policy/quarantine"
)

var storedAt = time.Unix(1000000, 0)

func heldRecords() Records {
	return Records{
		Requests: []Request{{Fingerprint: "r", Crashes: 2, QuarantineMS: 120000, LifetimeMS: 240000}},
		Parts: []Part{
			{Part: "bad", State: quarantine.PartQuarantined, RemainingMS: 30000, Quarantines: 1, Epoch: 1},
			{Part: "doubtful", State: quarantine.PartSuspect, RemainingMS: 60000, Change: 1},
		},
	}
}

// Guards against stored records that release what was held back, or hold it for too long, after the end of all processes: times go
// on while none runs, and the clocks of the VMs differ.
func TestStoredRecordsAfterRestart(t *testing.T) {
	stored := Stored{}.Merge(heldRecords(), storedAt)
	data, err := stored.Encode()
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := DecodeStored(data)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name    string
		after   time.Duration // By the clock of the VM that reads.
		bad     quarantine.PartState
		badMS   int64
		request int64 // Remaining quarantine in milliseconds; -1 if the request is not known.
	}{
		{"at once", time.Second, quarantine.PartQuarantined, 29000, 119000},
		{"clock behind by an hour", -time.Hour, quarantine.PartQuarantined, 30000, int64(time.Hour/time.Millisecond) + 120000},
		{"after the quarantine of the part", time.Minute, quarantine.PartSuspect, 570000, 60000},
		{"after that of the request", 3 * time.Minute, quarantine.PartSuspect, 450000, 0},
		{"after all", time.Hour, "", 0, -1},
	} {
		r := decoded.Records(storedAt.Add(c.after))
		bad := Part{}
		for _, p := range r.Parts {
			if p.Part == "bad" {
				bad = p
			}
		}
		if bad.State != c.bad || bad.RemainingMS != c.badMS {
			t.Errorf("%s: part %+v, want %q for %d ms", c.name, bad, c.bad, c.badMS)
		}
		request := int64(-1)
		if len(r.Requests) > 0 {
			request = r.Requests[0].QuarantineMS
		}
		if request != c.request {
			t.Errorf("%s: quarantine of the request = %d ms, want %d", c.name, request, c.request)
		}
	}
}

// Foreign, broken and too many records in the store are survived; the rest counts.
func TestInvalidStoredRecordsAreLeftOut(t *testing.T) {
	for _, text := range []string{"", "{}", "null", `{"parts":null,"later":[1]}`} {
		if s, err := DecodeStored([]byte(text)); err != nil || len(s.Parts)+len(s.Requests) > 0 {
			t.Errorf("%q: records %+v, error %v, want none", text, s, err)
		}
	}
	for _, text := range []string{"x", "[]", `{"parts":{}}`, `{"parts":[{"until":"now"}]}`} {
		if _, err := DecodeStored([]byte(text)); err == nil {
			t.Errorf("%q is valid", text)
		}
	}
	s, err := DecodeStored([]byte(`{"requests":[{"fingerprint":""},{"fingerprint":"r","crashes":-1}],
		"parts":[{"part":"p","state":"odd"},{"part":"q","state":"cleared"},{"part":"","state":"suspect"},{"part":"ok","state":"suspect","until":9}]}`))
	if err != nil || len(s.Requests) != 0 || len(s.Parts) != 1 || s.Parts[0].Part != "ok" {
		t.Errorf("records %+v, error %v, want the valid one", s, err)
	}
	if _, err := DecodeStored(make([]byte, MaxStoredBytes+1)); err == nil {
		t.Error("records beyond the bound are valid")
	}
	flood := heldRecords()
	for i := range 5 * maxParts {
		flood.Parts = append(flood.Parts, Part{Part: fmt.Sprintf("%08x", i), State: quarantine.PartSuspect, RemainingMS: 59000, Change: 1})
		flood.Requests = append(flood.Requests, Request{Fingerprint: quarantine.Fingerprint(fmt.Sprintf("%032x", i)), Crashes: 2, LifetimeMS: 60000})
	}
	stored := Stored{}.Merge(flood, storedAt)
	data, err := stored.Encode()
	if err != nil || len(data) > MaxStoredBytes || stored.Parts[0].Part != "bad" {
		t.Errorf("flood: %d bytes, error %v, first part %+v; want at most %d with the part in quarantine", len(data), err, stored.Parts[0], MaxStoredBytes)
	}
	t.Logf("%d requests and %d parts take %d bytes", len(stored.Requests), len(stored.Parts), len(data))
}

// Whatever two processes store in turn, the stored records cover both afterwards, and are not written again without a change.
func TestMergedRecordsCoverBoth(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := storedAt
		var stored Stored
		trackers := []*quarantine.PartTracker{
			quarantine.NewPartTracker(quarantine.DefaultPartLimits()), quarantine.NewPartTracker(quarantine.DefaultPartLimits()),
		}
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "seconds")) * time.Second)
			tracker := rapid.SampledFrom(trackers).Draw(t, "process")
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				tracker.Suspect(quarantine.Suspicion{Part: "p", Since: now}, now)
			case 1:
				tracker.RecordTrialCrash([]string{"p"}, now)
			case 2:
				tracker.RecordFinish([]string{"p"}, now)
			}
			for _, p := range stored.Records(now).Parts {
				tracker.Apply(p.Decode(), now)
			}
			own := Records{Parts: EncodeParts(tracker.Known(now))}
			if !stored.Covers(own, now) {
				stored = stored.Merge(own, now)
			}
			if !stored.Covers(own, now) {
				t.Fatalf("stored %+v does not cover %+v", stored, own)
			}
		}
	})
}
