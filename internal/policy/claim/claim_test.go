package claim

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

// Fixes the seed, so that each run draws the same cases.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "300", "rapid.nofailfile": "true"} {
		if flag.Lookup(name) != nil {
			_ = flag.Set(name, value)
		}
	}
}

var start = time.Unix(1_000_000, 0)

// Guards against two runs of a request under one key. Within the retention, each
// further attempt finds the record of the first one, with or without an outcome.
func TestOnlyOneAttemptRunsWithinTheRetention(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const retention = time.Hour
		var record *Record
		now := start
		runs := 0
		for i := range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 90).Draw(t, "seconds")) * time.Second)
			id := ident.AttemptID(fmt.Sprint(i))
			if record != nil && !now.Before(record.Expires) {
				return
			}
			if record == nil {
				record = &Record{Attempt: id, Fingerprint: "f", Deadline: now.Add(time.Minute), Expires: now.Add(retention)}
				runs++
			} else if v := Decide(*record, id, "f", now); v == VerdictRun || v == VerdictReplace {
				runs++
			}
			if rapid.Bool().Draw(t, "finished") {
				record.Outcome = &Outcome{Status: 200}
			}
			if runs > 1 {
				t.Fatalf("%d runs under one key, want at most 1", runs)
			}
		}
	})
}

func TestDecide(t *testing.T) {
	record := Record{Attempt: "a", Fingerprint: "f", Deadline: start.Add(time.Minute), Expires: start.Add(time.Hour)}
	stored, unstored := record, record
	stored.Outcome = &Outcome{Status: 201}
	unstored.Outcome = &Outcome{Status: 201, BodyNotStored: true}
	tests := []struct {
		name        string
		found       Record
		attempt     ident.AttemptID
		fingerprint string
		after       time.Duration
		want        Verdict
	}{
		{"own claim", record, "a", "f", 0, VerdictRun},
		{"running", record, "b", "f", time.Minute, VerdictKeyInUse},
		{"still running according to a slow clock", record, "b", "f", time.Minute + ClockSkew - 1, VerdictKeyInUse},
		{"ended without an outcome", record, "b", "f", time.Minute + ClockSkew, VerdictOutcomeUnknown},
		{"stored", stored, "b", "f", time.Second, VerdictReplay},
		{"body not stored", unstored, "b", "f", time.Second, VerdictResponseNotStored},
		{"different request", stored, "b", "g", time.Second, VerdictKeyReused},
		{"expired", record, "b", "f", time.Hour, VerdictReplace},
	}
	for _, tt := range tests {
		if got := Decide(tt.found, tt.attempt, tt.fingerprint, start.Add(tt.after)); got != tt.want {
			t.Errorf("%s: Decide() = verdict %d, want %d", tt.name, got, tt.want)
		}
	}
}

func TestStoreKeyIdentifiesOrganisationServiceAndKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(label string) Request {
			return Request{
				Organisation: ident.Organisation(rapid.StringN(0, 3, 3).Draw(t, label+" organisation")),
				Service:      ident.Service(rapid.StringN(0, 3, 3).Draw(t, label+" service")),
				Key:          rapid.StringN(0, 3, 3).Draw(t, label+" key"),
			}
		}
		a, b := draw("a"), draw("b")
		same := a.Organisation == b.Organisation && a.Service == b.Service && a.Key == b.Key
		if same != (a.StoreKey() == b.StoreKey()) {
			t.Fatalf("StoreKey() of %+v and %+v = %s and %s, want equal store keys exactly if organisation, service and key are equal",
				a, b, a.StoreKey(), b.StoreKey())
		}
	})
}

func TestStoreKeyIsInExactlyOneShard(t *testing.T) {
	key := Request{Key: "k"}.StoreKey()
	found := 0
	for shard := range Shards {
		if strings.HasPrefix(key, ShardPrefix(shard)) {
			found++
		}
	}
	if found != 1 {
		t.Errorf("store key %s has the prefix of %d shards, want 1", key, found)
	}
}
