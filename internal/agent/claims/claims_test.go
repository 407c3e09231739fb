package claims

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"

	"github.com/hyssoptiller/hyssoptiller/internal/clients/store"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/wire"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/claim"
	"github.com/hyssoptiller/hyssoptiller/internal/refusal"
)

const retention = 24 * time.Hour

func newClaims(s store.Store) *Claims {
	return New(Options{
		Store: s, CallTimeout: time.Second, Retention: retention, PersistTimeout: time.Minute, Metrics: tally.NoopScope,
	})
}

func newJob(key string) wire.Job {
	return wire.Job{
		Organisation: "smithy", Service: "booking", Method: http.MethodPost, Path: "/deposits",
		IdempotencyKey: key, AttemptID: ident.NewAttemptID(),
	}
}

// acquire acquires a claim for an attempt with a deadline in one second.
func acquire(t *testing.T, c *Claims, key string) (*HeldClaim, *claim.Outcome, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return c.Acquire(ctx, newJob(key), []byte("{}"))
}

func mustAcquire(t *testing.T, c *Claims, key string) *HeldClaim {
	t.Helper()
	held, _, err := acquire(t, c, key)
	if err != nil || held == nil {
		t.Fatalf("Acquire() returned no claim: error %v, want a claim", err)
	}
	return held
}

func TestClaimIsReplayedWithinRetentionAndThenSwept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := store.NewMemory()
		c := newClaims(memory)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- c.Serve(ctx) }()
		mustAcquire(t, c, "k").Finish(ctx, claim.Outcome{Status: http.StatusCreated})
		time.Sleep(retention - time.Minute)
		if _, outcome, err := acquire(t, c, "k"); outcome == nil {
			t.Errorf("Acquire() before the retention ended: no stored outcome, error %v", err)
		}
		time.Sleep(claim.Shards * sweepInterval) // One sweep of all shards.
		time.Sleep(time.Minute)
		remaining, err := memory.List(ctx, claim.KeyPrefix)
		if err != nil || len(remaining) != 0 {
			t.Errorf("the store holds %d claims after a sweep of all shards (error %v), want 0", len(remaining), err)
		}
		cancel()
		<-done
	})
}

func TestExpiredClaimIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newClaims(store.NewMemory())
		mustAcquire(t, c, "k").Finish(context.Background(), claim.Outcome{Status: http.StatusCreated})
		time.Sleep(retention + time.Second)
		mustAcquire(t, c, "k")
		if _, _, err := acquire(t, c, "k"); err == nil {
			t.Error("Acquire() of a key that was claimed again succeeded, want a refusal")
		}
	})
}

func TestReleasedClaimCanBeAcquiredAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newClaims(store.NewMemory())
		mustAcquire(t, c, "k").Release(context.Background())
		mustAcquire(t, c, "k")
	})
}

func TestRepeatOfTooLongResponseIsRefusedAsRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newClaims(store.NewMemory())
		outcome := claim.Outcome{Status: http.StatusOK, Body: make([]byte, MaxStoredBytes+1)}
		mustAcquire(t, c, "k").Finish(context.Background(), outcome)
		_, _, err := acquire(t, c, "k")
		var r *refusal.Refusal
		if !errors.As(err, &r) || r.Code != refusal.CodeResponseNotStored || r.Ran != refusal.RanYes {
			t.Errorf("Acquire(): error %v, want an answer_not_kept refusal with ran yes", err)
		}
	})
}

// The number of store calls per claim is documented for operators and must not
// grow unnoticed.
func TestStoreCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := store.NewMemory()
		c := newClaims(memory)
		mustAcquire(t, c, "k").Finish(context.Background(), claim.Outcome{Status: http.StatusCreated})
		first := memory.Calls()
		if first.Writes != 2 || first.Reads != 1 {
			t.Errorf("store calls of a first request: %+v, want 2 writes and 1 read", first)
		}
		_, _, _ = acquire(t, c, "k")
		repeat := memory.Calls()
		if repeat.Writes-first.Writes != 1 || repeat.Reads-first.Reads != 1 {
			t.Errorf("store calls after a repeat: %+v, before it: %+v, want 1 more write and 1 more read", repeat, first)
		}
		time.Sleep(retention + time.Minute)
		for shard := range claim.Shards {
			c.sweep(context.Background(), shard)
		}
		swept := memory.Calls()
		if swept.Writes-repeat.Writes != 1 || swept.Reads-repeat.Reads != claim.Shards {
			t.Errorf("store calls after a sweep of all shards: %+v, before it: %+v, want 1 more write, and 1 more read per shard",
				swept, repeat)
		}
	})
}

func TestStoreKeyDoesNotContainIdempotencyKey(t *testing.T) {
	for _, key := range []string{"k", "../../plans", strings.Repeat("long", 60), "päivä /?#"} {
		held := newClaims(store.NewMemory()).newClaim(context.Background(), newJob(key), nil)
		if strings.Contains(held.key, key) || len(held.key) > 100 {
			t.Errorf("store key %q for Idempotency-Key %q, want at most 100 bytes without the Idempotency-Key", held.key, key)
		}
	}
}
