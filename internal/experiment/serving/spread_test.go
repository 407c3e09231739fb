package serving

import (
	"math"
	"testing"
	"time"
)

// Guards against demand whose swing changes the load of the whole fleet instead of moving it between failure domains.
func TestDemandSwingsBetweenDomains(t *testing.T) {
	spec := staleDeployments[1]
	for at := time.Duration(0); at < swingPeriod; at += time.Second {
		sum := 0.0
		for domain := range spec.domains {
			sum += spec.demandAt(domain, at)
		}
		if math.Abs(sum-float64(spec.domains)) > 1e-9 {
			t.Errorf("demand of all domains at %v = %g, want %d", at, sum, spec.domains)
		}
	}
	if low, high := spec.demandAt(0, 3*swingPeriod/4), spec.demandAt(0, swingPeriod/4); low > 0.46 || high < 1.54 {
		t.Errorf("demand of a domain from %g to %g, want 0.45 to 1.55", low, high)
	}
}

// Guards against snapshots that are younger than the deployment states, and against lost ones that are seen.
func TestSnapshotsAreOld(t *testing.T) {
	spec := staleDeployments[0]
	spec.classes = nil
	for lost, oldest := range map[float64]time.Duration{0: spec.reportDelay + spec.reportEvery, 1: arrivalWindow} {
		spec.lostReports = lost
		f, _ := simulate(&spec, scenarios[0], product{bounded: true}, 1)
		if age := f.clock.Now() - f.nodes[0].snapshotAt; age < spec.reportDelay || age > oldest || lost == 1 && age < oldest {
			t.Errorf("with %.0f%% of the reports lost a snapshot is %v old, want %v to %v", 100*lost, age, spec.reportDelay, oldest)
		}
	}
}
