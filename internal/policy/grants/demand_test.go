package grants

import (
	"fmt"
	"testing"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/catalog"
)

// The demand follows the requests for an adapter and ends with them. Requests are counted whether they
// are granted or not, since a popular adapter is refused where its queue is long.
func TestDemandFollowsRequests(t *testing.T) {
	d := newDemands()
	now := time.Unix(1000, 0)
	key := catalog.AdapterKey{Model: "base", Adapter: "a"}
	for range 200 {
		now = now.Add(50 * time.Millisecond)
		d.record(key, now)
	}
	if got := d.rate(key, now); got != 16 {
		t.Errorf("rate after 10 s of 20 requests a second = %d, want 16, the nearest power of two", got)
	}
	if got := d.rate(key, now.Add(10*time.Second)); got != 0 {
		t.Errorf("rate 10 s after the last request = %d, want 0", got)
	}
	other := catalog.AdapterKey{Model: "base", Adapter: "b"}
	d.record(other, now)
	if got := d.rate(other, now); got != 0 {
		t.Errorf("rate of an adapter with one request = %d, want 0", got)
	}
}

// The memory is bounded when rare adapters are asked for one after the other.
func TestDemandOfRareAdaptersIsForgotten(t *testing.T) {
	d := newDemands()
	now := time.Unix(1000, 0)
	for i := range 100_000 {
		now = now.Add(5 * time.Millisecond)
		d.record(catalog.AdapterKey{Model: "base", Adapter: fmt.Sprint(i)}, now)
		if len(d.byAdapter) > maxTrackedDemands {
			t.Fatalf("tracked adapters = %d, want at most %d", len(d.byAdapter), maxTrackedDemands)
		}
	}
}
