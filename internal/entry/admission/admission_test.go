package admission

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"

	"github.com/hyssoptiller/hyssoptiller/internal/fleet/config"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/shares"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/transport"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

var tenant = config.Tenant{Organisation: "smithy", TokensPerSecond: 10, Burst: 100}

// nobody is a fleet without entries.
type nobody struct{}

func (nobody) VMs() []ident.VM                 { return nil }
func (nobody) Address(ident.VM) (string, bool) { return "", false }

func TestFleetTellsAnUncountableRequestFromOneAboveTheBurst(t *testing.T) {
	asker := shares.NewAsker(shares.AskerOptions{Client: &transport.Client{}, Peers: nobody{}, Metrics: tally.NoopScope})
	empty := config.NewSnapshot(0, config.Plans{}, config.Allowances{}, nil)
	fleet := NewFleet(asker, func() *config.Snapshot { return empty })
	if _, err := fleet.Reserve(t.Context(), tenant, 10); !errors.Is(err, ErrUncounted) {
		t.Errorf("without a known holder: %v", err)
	}
	var limited *Limited
	if _, err := fleet.Reserve(t.Context(), tenant, 101); !errors.As(err, &limited) || !limited.ExceedsBurst {
		t.Errorf("above the burst: %v", err)
	}
}

func TestLocalTellsWhenTheTokensAreThere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		local := NewLocal()
		if _, err := local.Reserve(t.Context(), tenant, 100); err != nil {
			t.Fatal(err)
		}
		var limited *Limited
		_, err := local.Reserve(t.Context(), tenant, 50)
		if !errors.As(err, &limited) || limited.RetryAfter != 5*time.Second {
			t.Fatalf("error %v", err)
		}
		time.Sleep(limited.RetryAfter)
		if _, err := local.Reserve(t.Context(), tenant, 50); err != nil {
			t.Errorf("after the time to come back: %v", err)
		}
	})
}
