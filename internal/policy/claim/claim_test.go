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

func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "300", "rapid.nofailfile": "true"} {
		if flag.Lookup(name) != nil {
			_ = flag.Set(name, value)
		}
	}
}

var start = time.Unix(1_000_000, 0)

// TestOneAttemptRuns drives attempts, repeats and deaths over one record, as
// the store orders them, and counts the runs within the retention.
func TestOneAttemptRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const retention = time.Hour
		var held *Record
		now := start
		runs := 0
		for i := range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 90).Draw(t, "seconds")) * time.Second)
			id := ident.AttemptID(fmt.Sprint(i))
			if held != nil && !now.Before(held.Expires) {
				return
			}
			if held == nil {
				held = &Record{Attempt: id, Fingerprint: "f", Deadline: now.Add(time.Minute), Expires: now.Add(retention)}
				runs++
			} else if v := Judge(*held, id, "f", now); v == VerdictRun || v == VerdictReplace {
				runs++
			}
			if rapid.Bool().Draw(t, "finished") {
				held.Outcome = &Outcome{Status: 200}
			}
			if runs > 1 {
				t.Fatalf("%d runs under one key", runs)
			}
		}
	})
}

func TestJudge(t *testing.T) {
	record := Record{Attempt: "a", Fingerprint: "f", Deadline: start.Add(time.Minute), Expires: start.Add(time.Hour)}
	stored, unstored := record, record
	stored.Outcome = &Outcome{Status: 201}
	unstored.Outcome = &Outcome{Status: 201, Unstored: true}
	tests := []struct {
		name        string
		found       Record
		attempt     ident.AttemptID
		fingerprint string
		after       time.Duration
		want        Verdict
	}{
		{"its own", record, "a", "f", 0, VerdictRun},
		{"running", record, "b", "f", time.Minute, VerdictInUse},
		{"running by a slow clock", record, "b", "f", time.Minute + ClockSkew - 1, VerdictInUse},
		{"ended without an outcome", record, "b", "f", time.Minute + ClockSkew, VerdictUnknown},
		{"stored", stored, "b", "f", time.Second, VerdictReplay},
		{"not kept", unstored, "b", "f", time.Second, VerdictUnstored},
		{"another request", stored, "b", "g", time.Second, VerdictReused},
		{"expired", record, "b", "f", time.Hour, VerdictReplace},
	}
	for _, tt := range tests {
		if got := Judge(tt.found, tt.attempt, tt.fingerprint, start.Add(tt.after)); got != tt.want {
			t.Errorf("%s: verdict %d, want %d", tt.name, got, tt.want)
		}
	}
}

func TestStoreKeysDiffer(t *testing.T) {
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
			t.Fatalf("%+v and %+v have keys %s and %s", a, b, a.StoreKey(), b.StoreKey())
		}
	})
}

func TestStoreKeyIsInOneShard(t *testing.T) {
	key := Request{Key: "k"}.StoreKey()
	found := 0
	for shard := range Shards {
		if strings.HasPrefix(key, ShardPrefix(shard)) {
			found++
		}
	}
	if found != 1 {
		t.Errorf("%s is in %d shards", key, found)
	}
}
