package router

import (
	"math"
	"testing"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/policy/grants"
)

// Guards against a rate of one service that counts for another, and against expected work of others where the router is
// alone or has sent nothing.
func TestSendRatesOfOthers(t *testing.T) {
	rates := newSendRates()
	now := time.Unix(1000, 0)
	for range 300 {
		now = now.Add(100 * time.Millisecond)
		rates.add("chats", 20, now)
	}
	for _, c := range []struct {
		service string
		routers int
		want    float64
	}{{"chats", 26, 5}, {"chats", 1, 0}, {"reviews", 26, 0}} {
		if got := rates.others(c.service, c.routers, now); math.Abs(got-c.want) > 0.2 {
			t.Errorf("others(%q) with %d routers = %g, want %g", c.service, c.routers, got, c.want)
		}
	}
}

// Guards against a choice by snapshots whose age is not known to it.
func TestEngineStateHasTheAgeOfTheSnapshot(t *testing.T) {
	var c schedulerConn
	now := time.Unix(1000, 0)
	c.setSnapshot(grants.Snapshot{}, now)
	if got := c.state(now.Add(400 * time.Millisecond)); got.age != 400*time.Millisecond || !got.fresh {
		t.Errorf("state after 400 ms: age %v, fresh %t, want 400ms, true", got.age, got.fresh)
	}
}
