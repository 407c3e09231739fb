package quota

import (
	"context"
	"testing"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/catalog"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/ratelimit"
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
			if r.limits.Take(context.Background(), testEndpoint, observe(perSecond)).Admitted {
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
		if d := r.limits.Take(context.Background(), testEndpoint, observe(perSecond)); d.Admitted {
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
			if name != owner && r.limits.Take(context.Background(), testEndpoint, observe(perSecond)).Admitted {
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
		if d := r.limits.Take(context.Background(), testEndpoint, observe(100)); d.Admitted || d.RetryAfter < ownerHandover/2 {
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
	if d := single.limits.Take(context.Background(), testEndpoint, observe(1)); !d.Admitted {
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
		if isolated.limits.Take(context.Background(), testEndpoint, observe(perSecond)).Admitted {
			admitted++
		}
		time.Sleep(time.Millisecond)
	}
	rate := isolatedEndpointShare * perSecond / 3
	if limit := int(rate*(time.Since(began).Seconds()+ratelimit.BurstPeriod.Seconds())) + 1; admitted == 0 || admitted > limit {
		t.Errorf("isolated router admitted %d requests, want 1 to %d", admitted, limit)
	}
}
