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

var limits = config.OrganisationLimits{Organisation: "smithy", TokensPerSecond: 10, Burst: 100}

// noPeers implements shares.Peers for a fleet without entries.
type noPeers struct{}

func (noPeers) VMs() []ident.VM                 { return nil }
func (noPeers) Address(ident.VM) (string, bool) { return "", false }

func TestFleetDistinguishesUncountableFromAboveBurst(t *testing.T) {
	reserver := shares.NewReserver(shares.ReserverOptions{Client: &transport.Client{}, Peers: noPeers{}, Metrics: tally.NoopScope})
	empty := config.NewSnapshot(0, config.Plans{}, config.Allowances{}, nil)
	fleet := NewFleet(reserver, func() *config.Snapshot { return empty })
	if _, err := fleet.Reserve(t.Context(), limits, 10); !errors.Is(err, ErrUncounted) {
		t.Errorf("Reserve() in a fleet without entries = %v, want ErrUncounted", err)
	}
	var limited *Limited
	if _, err := fleet.Reserve(t.Context(), limits, 101); !errors.As(err, &limited) || !limited.ExceedsBurst {
		t.Errorf("Reserve() of 101 tokens with burst 100 = %v, want a Limited that exceeds the burst", err)
	}
}

func TestLocalRetryAfterIsSufficient(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		local := NewLocal()
		if _, err := local.Reserve(t.Context(), limits, 100); err != nil {
			t.Fatal(err)
		}
		var limited *Limited
		_, err := local.Reserve(t.Context(), limits, 50)
		if !errors.As(err, &limited) || limited.RetryAfter != 5*time.Second {
			t.Fatalf("Reserve() of 50 tokens at 10/s = %v, want a Limited with RetryAfter 5s", err)
		}
		time.Sleep(limited.RetryAfter)
		if _, err := local.Reserve(t.Context(), limits, 50); err != nil {
			t.Errorf("Reserve() after RetryAfter = %v, want success", err)
		}
	})
}
