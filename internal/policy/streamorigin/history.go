package streamorigin

import "time"

// History is which software versions were in service, for one service.
type History struct {
	since    time.Time            // Start of the observation; zero before it.
	present  map[string]int       // Registered endpoints by version.
	lastSeen map[string]time.Time // End of service of each version that no endpoint has any more.
}

// NewHistory returns a History without endpoints.
func NewHistory() *History {
	return &History{present: make(map[string]int), lastSeen: make(map[string]time.Time)}
}

// Begin starts the observation: all endpoints that are registered now have been added. Later calls have no
// effect.
func (h *History) Begin(now time.Time) {
	if h.since.IsZero() {
		h.since = now
	}
}

// Add records that an endpoint of a version is in service.
func (h *History) Add(software string) { h.present[software]++ }

// Remove records that an endpoint of a version left.
func (h *History) Remove(software string, now time.Time) {
	if h.present[software]--; h.present[software] <= 0 {
		delete(h.present, software)
		h.lastSeen[software] = now
	}
}

// Sole returns the version that was the only one in service since a time. It returns "" if there were
// several, if one is unknown, or if the observation does not reach back so far.
func (h *History) Sole(since time.Time) string {
	if h.since.IsZero() || h.since.After(since) || len(h.present) > 1 {
		return ""
	}
	sole, known := "", false
	for software := range h.present {
		sole, known = software, true
	}
	for software, end := range h.lastSeen {
		if end.Before(since) || known && software == sole {
			continue
		}
		if known {
			return ""
		}
		sole, known = software, true
	}
	return sole
}
