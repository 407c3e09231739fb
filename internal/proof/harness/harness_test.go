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

func TestFleetServesCompletion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := harness.Start(t, harness.Options{Entries: 2, Engines: 2, Slots: 2, Capacity: 2})
		t.Cleanup(f.Stop)
		f.ReplaceList(t.Context(), "entry-1", config.ListAllowances, allowances)
		f.ReplaceList(t.Context(), "entry-1", config.ListPlans, plans)
		key := f.GrantKey(t.Context(), "entry-1", "smithy")
		time.Sleep(5 * time.Second)
		resp := f.Do(t.Context(), harness.Call{
			Entry: "entry-2", Method: http.MethodPost, Path: "/v1/completions", Key: key,
			Body: `{"model":"syllabus","max_tokens":3,"prompt":"m-1"}`,
		})
		runs := f.Runs("m-1")
		if !resp.IsComplete() || len(runs) != 1 || runs[0].Response != resp.Body {
			t.Fatalf("Do() = %+v with runs %+v, want a complete response with the body of exactly one run", resp, runs)
		}
	})
}

func TestPausedProcessRespondsAfterResume(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := harness.Start(t, harness.Options{Entries: 1})
		t.Cleanup(f.Stop)
		p := f.Process("entry-1")
		p.Pause()
		time.AfterFunc(3*time.Second, p.Resume)
		resp := f.Do(t.Context(), harness.Call{Entry: "entry-1", Method: http.MethodGet, Path: "/v1/models"})
		if resp.Status != http.StatusUnauthorized || resp.Elapsed != 3*time.Second {
			t.Fatalf("paused entry responded with status %d after %s, want 401 after 3s", resp.Status, resp.Elapsed)
		}
	})
}

func TestKilledProcessRefusesConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := harness.Start(t, harness.Options{Entries: 1})
		t.Cleanup(f.Stop)
		f.Kill("entry-1")
		resp := f.Do(t.Context(), harness.Call{Entry: "entry-1", Method: http.MethodGet, Path: "/v1/models"})
		if resp.Err == nil {
			t.Fatalf("killed entry responded with status %d, want a connection error", resp.Status)
		}
		f.Replace("entry-1")
		resp = f.Do(t.Context(), harness.Call{Entry: "entry-1", Method: http.MethodGet, Path: "/v1/models"})
		if resp.Status != http.StatusUnauthorized {
			t.Fatalf("replaced entry responded with status %d, want 401; error: %v", resp.Status, resp.Err)
		}
	})
}
