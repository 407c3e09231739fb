package slots

import "time"

// IdleBuild is a build that may be unloaded.
type IdleBuild struct {
	Build      Build
	Age        time.Duration // Time since its last use.
	Demand     float64       // Requests for the build; a request's weight halves with each half-life.
	LoadTime   time.Duration // Duration of its last load; 0 if none was measured.
	Superseded bool          // Another version of the adapter was requested later.
}

// EvictionRule returns the value of keeping a build. The build with the lowest value is
// unloaded first.
type EvictionRule func(IdleBuild) float64

// defaultLoadTime is the assumed load time of a build that the machine has not loaded,
// such as one that the engine held when the machine started.
const defaultLoadTime = 250 * time.Millisecond

// ByValue returns the demand for a build multiplied by its load time in seconds. It
// returns 0 for a superseded build.
func ByValue(i IdleBuild) float64 {
	if i.Superseded {
		return 0
	}
	loadTime := i.LoadTime
	if loadTime == 0 {
		loadTime = defaultLoadTime
	}
	return i.Demand * loadTime.Seconds()
}

// LeastRecentlyUsed returns the negated age of a build in seconds, so that the build with
// the longest time since its last use is unloaded first.
func LeastRecentlyUsed(i IdleBuild) float64 {
	return -i.Age.Seconds()
}

// victim returns the idle build with the lowest value.
func (m *Machine) victim(now time.Time) (Build, bool) {
	var cheapest Build
	var minValue float64
	found := false
	for b, e := range m.entries {
		if e.state != StateResident || !e.idle() {
			continue
		}
		value := m.config.Evict(m.idleBuild(now, b, e))
		if !found || value < minValue || (value == minValue && buildLess(b, cheapest)) {
			cheapest, minValue, found = b, value, true
		}
	}
	return cheapest, found
}

func (m *Machine) idleBuild(now time.Time, b Build, e *entry) IdleBuild {
	return IdleBuild{
		Build:      b,
		Age:        now.Sub(e.lastUsed),
		Demand:     e.demand.valueAt(now, m.config.DemandHalfLife),
		LoadTime:   e.loadTime,
		Superseded: e.superseded,
	}
}

// buildLess orders builds by adapter and version. It makes choices between equal
// builds deterministic.
func buildLess(a, b Build) bool {
	if a.Adapter != b.Adapter {
		return a.Adapter < b.Adapter
	}
	return a.Version < b.Version
}
