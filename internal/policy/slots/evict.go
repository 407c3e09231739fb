package slots

import "time"

// Idle describes a build that may be unloaded.
type Idle struct {
	Build      Build
	Age        time.Duration // Since its last use.
	Demand     float64       // Uses, each weighing half after a half-life.
	LoadTime   time.Duration // Of its last load; zero where none was seen.
	Superseded bool          // Whether another version of the adapter was asked for later.
}

// EvictionRule returns what it is worth to keep a build; the build of the
// least worth is unloaded first.
type EvictionRule func(Idle) float64

// unseenLoadTime stands for the load time of a build that the engine held
// before the machine began.
const unseenLoadTime = 250 * time.Millisecond

// ByValue weighs the demand for a build, in which recent uses count most, by the
// time of loading it again.
func ByValue(i Idle) float64 {
	if i.Superseded {
		return 0
	}
	loadTime := i.LoadTime
	if loadTime == 0 {
		loadTime = unseenLoadTime
	}
	return i.Demand * loadTime.Seconds()
}

// LeastRecentlyUsed unloads the build that has been idle longest.
func LeastRecentlyUsed(i Idle) float64 {
	return -i.Age.Seconds()
}

// victim returns the idle build that is worth least.
func (m *Machine) victim(now time.Time) (Build, bool) {
	var worst Build
	var least float64
	found := false
	for b, e := range m.entries {
		if e.state != StateResident || !e.idle() {
			continue
		}
		worth := m.config.Evict(m.describe(now, b, e))
		if !found || worth < least || (worth == least && before(b, worst)) {
			worst, least, found = b, worth, true
		}
	}
	return worst, found
}

func (m *Machine) describe(now time.Time, b Build, e *entry) Idle {
	return Idle{
		Build:      b,
		Age:        now.Sub(e.lastUsed),
		Demand:     e.demand.read(now, m.config.DemandHalfLife),
		LoadTime:   e.loadTime,
		Superseded: e.superseded,
	}
}

// before orders builds, so that equal worth gives the same verdict every time.
func before(a, b Build) bool {
	if a.Adapter != b.Adapter {
		return a.Adapter < b.Adapter
	}
	return a.Version < b.Version
}
