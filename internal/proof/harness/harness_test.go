package harness_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/fleet/config"
	"github.com/hyssoptiller/hyssoptiller/internal/proof/harness"
)

const allowances = `allowances:
  - plan: p
    tokens_per_second: 100
    burst: 1000
    priority: 1
    adapters:
      - name: syllabus
        version: v1
        base: base
`

const plans = `plans:
  - organisation: smithy
    plan: p
    weight: 1
`

func TestFleetAnswersAndEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := harness.Start(t, harness.Options{Entries: 2, Engines: 2, Slots: 2, Capacity: 2})
		t.Cleanup(f.Stop)
		f.Apply(t.Context(), "entry-1", config.ListAllowances, allowances)
		f.Apply(t.Context(), "entry-1", config.ListPlans, plans)
		key := f.Grant(t.Context(), "entry-1", "smithy")
		time.Sleep(5 * time.Second)
		a := f.Do(t.Context(), harness.Call{
			Entry: "entry-2", Method: http.MethodPost, Path: "/v1/completions", Key: key,
			Body: `{"model":"syllabus","max_tokens":3,"prompt":"m-1"}`,
		})
		runs := f.Runs("m-1")
		if !a.Whole() || len(runs) != 1 || runs[0].Answer != a.Body {
			t.Fatalf("answer %+v, runs %+v", a, runs)
		}
	})
}

func TestPausedProcessAnswersAfterResume(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := harness.Start(t, harness.Options{Entries: 1})
		t.Cleanup(f.Stop)
		p := f.Process("entry-1")
		p.Pause()
		time.AfterFunc(3*time.Second, p.Resume)
		a := f.Do(t.Context(), harness.Call{Entry: "entry-1", Method: http.MethodGet, Path: "/v1/models"})
		if a.Status != http.StatusUnauthorized || a.Elapsed != 3*time.Second {
			t.Fatalf("status %d after %s, want 401 after 3s", a.Status, a.Elapsed)
		}
	})
}

func TestKilledProcessRefusesConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := harness.Start(t, harness.Options{Entries: 1})
		t.Cleanup(f.Stop)
		f.Kill("entry-1")
		a := f.Do(t.Context(), harness.Call{Entry: "entry-1", Method: http.MethodGet, Path: "/v1/models"})
		if a.Err == nil {
			t.Fatalf("status %d from a killed entry", a.Status)
		}
		f.Replace("entry-1")
		a = f.Do(t.Context(), harness.Call{Entry: "entry-1", Method: http.MethodGet, Path: "/v1/models"})
		if a.Status != http.StatusUnauthorized {
			t.Fatalf("status %d from its next life, want 401: %v", a.Status, a.Err)
		}
	})
}
