package quota

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"github.com/hyssoptiller/hyssoptiller/internal/catalog"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/ratelimit"
	"github.com/hyssoptiller/hyssoptiller/internal/schedulerapi"
)

var testEndpoint = &catalog.Endpoint{ID: "e", Service: "s", Incarnation: 5}

func observe(perSecond float64) ratelimit.Observation {
	return ratelimit.Observation{Limit: ratelimit.Limit{Named: true, PerSecond: perSecond}, At: time.Now()}
}

// newEndpointRouters starts routers that were registered registeredFor ago.
func newEndpointRouters(t *testing.T, registeredFor time.Duration, names ...string) map[string]*testRouter {
	t.Helper()
	all := newRouters(t, &catalog.Organisation{Name: "smithy"}, names...)
	for _, r := range all {
		r.peers.MarkRegistered(time.Now().Add(-registeredFor))
	}
	return all
}

// ownerOf returns the VM that owns testEndpoint.
func ownerOf(all map[string]*testRouter) string {
	for name, r := range all {
		if r.peers.endpointCounter(endpointKey(testEndpoint), time.Now()).VM == "" {
			return name
		}
	}
	return ""
}

// All routers take from one limiter per endpoint and stay within one and a half times its limit
// and 5 requests.
func TestRoutersShareOneEndpointLimit(t *testing.T) {
	const perSecond = 20.0
	all := newEndpointRouters(t, time.Minute, "r1", "r2", "r3")
	began, admitted := time.Now(), 0
	for range 100 {
		for _, r := range all {
			if r.limits.Take(context.Background(), testEndpoint, observe(perSecond), ColdRate{}).Admitted {
				admitted++
			}
		}
		time.Sleep(2 * time.Millisecond)
	}
	if limit := int(1.5*perSecond*time.Since(began).Seconds()) + 5; admitted == 0 || admitted > limit {
		t.Errorf("routers admitted %d requests, want 1 to %d", admitted, limit)
	}
}

// A router that does not respond may have counted the request or not, so the request is not
// sent. The next ones are counted by the standby, at its part of the limit.
func TestStandbyCountsIfOwnerIsSilent(t *testing.T) {
	const perSecond = 100.0
	all := newEndpointRouters(t, time.Minute, "r1", "r2", "r3", "r4")
	owner := ownerOf(all)
	all[owner].server.Close()
	for name, r := range all {
		if name == owner {
			continue
		}
		if d := r.limits.Take(context.Background(), testEndpoint, observe(perSecond), ColdRate{}); d.Admitted {
			t.Errorf("%s: Take() of silent owner %s = %+v, want it refused", name, owner, d)
		}
		if c := r.peers.endpointCounter(endpointKey(testEndpoint), time.Now()); c.role != roleStandby {
			t.Errorf("%s: role after the failed call = %q, want %q", name, c.role, roleStandby)
		}
	}
	time.Sleep(callTimeout) // The routers do not ask again before.
	began, admitted := time.Now(), 0
	for time.Since(began) < 500*time.Millisecond {
		for name, r := range all {
			if name != owner && r.limits.Take(context.Background(), testEndpoint, observe(perSecond), ColdRate{}).Admitted {
				admitted++
			}
		}
		time.Sleep(time.Millisecond)
	}
	// Beside an owner that admits the whole limit, half of it is left.
	limit := int(0.5*perSecond*time.Since(began).Seconds()) + 5
	if admitted == 0 || admitted > limit {
		t.Errorf("standby admitted %d requests, want 1 to %d", admitted, limit)
	}
}

// If a limit was known before the owner gets its first call, another router was the owner until
// shortly before. The new one admits nothing until all routers know it.
func TestNewOwnerOfEndpointWaitsForHandover(t *testing.T) {
	all := newEndpointRouters(t, time.Minute, "r1", "r2")
	for _, r := range all {
		r.limits.SetNamed(testEndpoint, true, time.Now().Add(-time.Second))
		if d := r.limits.Take(context.Background(), testEndpoint, observe(100), ColdRate{}); d.Admitted || d.RetryAfter < ownerHandover/2 {
			t.Errorf("Take() = %+v, want it refused for about %s", d, ownerHandover)
		}
	}
}

// A router that the others may not know yet does not count requests for itself.
func TestUnknownRouterIsNoOwnerOfEndpoints(t *testing.T) {
	all := newEndpointRouters(t, 0, "r1", "r2")
	for name, r := range all {
		if c := r.peers.endpointCounter(endpointKey(testEndpoint), time.Now()); c.VM == "" {
			t.Errorf("%s counts the requests itself as %s, want another router", name, c.role)
		}
	}
	single := newEndpointRouters(t, 0, "r1")["r1"]
	if d := single.limits.Take(context.Background(), testEndpoint, observe(1), ColdRate{}); !d.Admitted {
		t.Errorf("Take() of the only router = %+v, want it admitted", d)
	}
}

// An isolated router admits its reduced share by itself.
func TestIsolatedRouterAdmitsReducedEndpointLimit(t *testing.T) {
	all := newEndpointRouters(t, time.Minute, "r1", "r2", "r3")
	isolated := all["r1"]
	for name, r := range all {
		if name != "r1" {
			r.server.Close()
		}
	}
	for _, p := range isolated.peers.sample(2) {
		_ = isolated.peers.Call(context.Background(), p, PathPing, nil, nil)
	}
	const perSecond = 60.0
	began, admitted := time.Now(), 0
	for time.Since(began) < 500*time.Millisecond {
		if isolated.limits.Take(context.Background(), testEndpoint, observe(perSecond), ColdRate{}).Admitted {
			admitted++
		}
		time.Sleep(time.Millisecond)
	}
	rate := isolatedEndpointShare * perSecond / 3
	if limit := int(rate*(time.Since(began).Seconds()+ratelimit.BurstPeriod.Seconds())) + 1; admitted == 0 || admitted > limit {
		t.Errorf("isolated router admitted %d requests, want 1 to %d", admitted, limit)
	}
}

// coldRate is the rate of a cold endpoint, at which all routers together stay within one and a half times the rate and
// 5 requests.
var coldRate = ColdRate{PerSecond: 6.9, Remaining: 3 * time.Second}

// takeFor takes from all routers for a time and returns the admitted requests.
func takeFor(all map[string]*testRouter, d time.Duration, o ratelimit.Observation, cold ColdRate) (admitted int) {
	for began := time.Now(); time.Since(began) < d; time.Sleep(2 * time.Millisecond) {
		for _, r := range all {
			if r.limits.Take(context.Background(), testEndpoint, o, cold).Admitted {
				admitted++
			}
		}
	}
	return admitted
}

// The lower one of the rate of a cold endpoint and of the limit that it names applies, whichever router knows what,
// and the former ends with the cold time.
func TestRoutersShareRateOfColdEndpoint(t *testing.T) {
	for name, tc := range map[string]struct {
		o    ratelimit.Observation
		most float64 // In 1 s.
	}{
		"no limit named":     {ratelimit.Observation{}, coldRate.PerSecond},
		"lower limit named":  {observe(3), 3},
		"higher limit named": {observe(100), coldRate.PerSecond},
	} {
		all := newEndpointRouters(t, time.Minute, "r1", "r2", "r3")
		admitted := takeFor(all, time.Second, tc.o, coldRate)
		if most := tc.most*(1+ratelimit.BurstPeriod.Seconds()) + 2; admitted < 2 || float64(admitted) > most {
			t.Errorf("%s: %d requests admitted in 1 s, want 2 to %.1f", name, admitted, most)
		}
	}
	all := newEndpointRouters(t, time.Minute, "r1", "r2")
	takeFor(all, 50*time.Millisecond, observe(100), ColdRate{coldRate.PerSecond, 60 * time.Millisecond})
	time.Sleep(300 * time.Millisecond) // Cold time, and refusals of it.
	if admitted := takeFor(all, 300*time.Millisecond, observe(100), ColdRate{}); admitted < 15 {
		t.Errorf("%d requests admitted in 300 ms after the cold time at a limit of 100/s, want more", admitted)
	}
}

// A router that drains is still the owner for those that know it and calls the next one itself, which must not admit
// the whole rate beside it. Nor must the next one after the former has gone, until all routers know that.
func TestNewOwnerOfColdEndpointAdmitsNothingBesideFormerOne(t *testing.T) {
	for name, change := range map[string]func(t *testing.T, all map[string]*testRouter, owner string){
		"drains": func(_ *testing.T, all map[string]*testRouter, owner string) { all[owner].peers.Leave() },
		"known to some": func(_ *testing.T, all map[string]*testRouter, owner string) {
			for vm, r := range all {
				if vm != owner {
					r.peers.mu.Lock()
					r.peers.byVM[owner].listed, r.peers.byVM[owner].respondedAt = false, time.Now().Add(-time.Minute)
					r.peers.mu.Unlock()
					r.peers.removeUnlisted(time.Now())
					return
				}
			}
		},
	} {
		all := newEndpointRouters(t, time.Minute, "r1", "r2", "r3")
		change(t, all, ownerOf(all))
		admitted := takeFor(all, time.Second, ratelimit.Observation{}, coldRate)
		if most := coldRate.PerSecond*(1+ratelimit.BurstPeriod.Seconds()) + 2; admitted < 2 || float64(admitted) > most {
			t.Errorf("%s: %d requests admitted in 1 s, want 2 to %.1f", name, admitted, most)
		}
	}
}

// Over every second, the owner must admit no more to a cold endpoint than the bound of the design page, however many
// routers ask, whether they know that it is cold or only know a limit, and though it was suspended meanwhile.
func TestOwnerPacesColdEndpoint(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		l := NewEndpointLimits(NewPeers("r1", nil, logrus.NewEntry(log)), logrus.NewEntry(log))
		perSecond := rapid.Float64Range(0.5, 20).Draw(t, "per second")
		now := time.Now()
		var admitted []time.Time
		coldUntil := now
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 20).Draw(t, "suspended") == 0 {
				now = now.Add(3 * time.Second)
			}
			if !coldUntil.After(now) && rapid.IntRange(0, 3).Draw(t, "becomes cold") == 0 {
				coldUntil, admitted = now.Add(3*time.Second), nil
				l.takeLocal(takeEndpointRequest{Key: "e", Role: roleOwner, ColdPerS: perSecond, ColdMS: 3000}, now)
			}
			for range 30 {
				req := takeEndpointRequest{Key: "e", Role: roleOwner}
				if rapid.Bool().Draw(t, "names a limit") {
					req.RateLimit = &schedulerapi.RateLimit{Named: true, PerSecond: 1000}
				}
				if cold := coldUntil.Sub(now); cold > 0 && rapid.Bool().Draw(t, "knows") {
					req.ColdPerS, req.ColdMS = perSecond, cold.Milliseconds()
				}
				if l.takeLocal(req, now).Taken && coldUntil.After(now) {
					admitted = append(admitted, now)
				}
			}
			n := 0
			for _, at := range admitted {
				if now.Sub(at) < time.Second {
					n++
				}
			}
			if most := 1.5*perSecond + 5; float64(n) > most {
				t.Fatalf("%d requests admitted in 1 s, want at most %.1f", n, most)
			}
		}
	})
}
