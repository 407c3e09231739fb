package freshness

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

const (
	contactStep    = 20 * time.Millisecond // Unit of the ages between entries.
	contactUnknown = 255                   // Older than 254 steps, or never.
)

// Digest names an ordered list of entries, so that two entries can tell
// whether they speak of the same list.
func Digest(listed []ident.VM) uint64 {
	d := xxhash.New()
	for _, vm := range listed {
		_, _ = d.WriteString(string(vm))
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// Ages returns the age of each listed entry's last statement at now, one byte
// an entry. Ages are rounded up.
func (s *State) Ages(now time.Time, listed []ident.VM) []byte {
	out := make([]byte, len(listed))
	for i, vm := range listed {
		at, ok := s.contacts[vm]
		switch {
		case vm == s.self:
			out[i] = 0
		case !ok:
			out[i] = contactUnknown
		default:
			out[i] = ageSteps(now.Sub(at))
		}
	}
	return out
}

func ageSteps(age time.Duration) byte {
	steps := (max(age, 0) + contactStep - 1) / contactStep
	return byte(min(steps, contactUnknown))
}

// Merge takes the ages that another entry gave for the same list, as of at.
// Ages of a different length are ignored.
func (s *State) Merge(at time.Time, listed []ident.VM, ages []byte) {
	if len(ages) != len(listed) {
		return
	}
	for i, vm := range listed {
		if ages[i] != contactUnknown {
			s.Contact(at.Add(-time.Duration(ages[i])*contactStep), vm)
		}
	}
}
