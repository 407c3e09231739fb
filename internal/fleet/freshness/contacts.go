package freshness

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

const (
	contactAgeUnit    = 20 * time.Millisecond // Unit of contact ages in messages.
	contactAgeUnknown = 255                   // The contact is older than 254 units, or there was none.
)

// Digest returns a hash of an ordered list of entries. Two entries compare
// digests to check that they use the same list.
func Digest(listed []ident.VM) uint64 {
	d := xxhash.New()
	for _, vm := range listed {
		_, _ = d.WriteString(string(vm))
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// ContactAges returns the age of the last contact with each listed entry at now, as
// one byte per entry in units of contactAgeUnit, or contactAgeUnknown. The ages are
// rounded up, so that a contact never looks more recent than it is.
func (s *State) ContactAges(now time.Time, listed []ident.VM) []byte {
	out := make([]byte, len(listed))
	for i, vm := range listed {
		at, ok := s.contacts[vm]
		switch {
		case vm == s.self:
			out[i] = 0
		case !ok:
			out[i] = contactAgeUnknown
		default:
			out[i] = contactAge(now.Sub(at))
		}
	}
	return out
}

// contactAge converts an age to units of contactAgeUnit.
func contactAge(age time.Duration) byte {
	units := (max(age, 0) + contactAgeUnit - 1) / contactAgeUnit
	return byte(min(units, contactAgeUnknown))
}

// MergeContactAges records the contacts of another entry, whose ContactAges for the
// same list were taken at the given time. It ignores all ages if their number
// differs from the length of the list.
func (s *State) MergeContactAges(at time.Time, listed []ident.VM, ages []byte) {
	if len(ages) != len(listed) {
		return
	}
	for i, vm := range listed {
		if ages[i] != contactAgeUnknown {
			s.RecordContact(at.Add(-time.Duration(ages[i])*contactAgeUnit), vm)
		}
	}
}
