package grants

import (
	"math"
	"slices"
)

// waitResolutionMS is the difference of waits below which a router would select the same engine: the
// cost of an engine in another failure domain.
const waitResolutionMS = 8

// Resolutions of the rates in snapshots.
const (
	slowdownResolution      = 0.05
	lateEventRateResolution = 0.01
)

// SnapshotDelta is the difference between two snapshots of an engine. The first one of a stream is the
// difference from the zero Snapshot. A nil field has not changed.
type SnapshotDelta struct {
	Alive             *bool               `json:"alive,omitempty"`
	Draining          *bool               `json:"draining,omitempty"`
	Incarnation       *int64              `json:"born,omitempty"`
	Models            *[]string           `json:"models,omitempty"`
	SetAdapters       []AdapterState      `json:"set,omitempty"`    // New or changed adapters.
	RemovedAdapters   []AdapterState      `json:"remove,omitempty"` // Adapters that the engine no longer holds.
	IdleAdapterSlots  *int                `json:"idle,omitempty"`
	LoadingAdapters   *int                `json:"coming,omitempty"`
	PrefillWaitMS     *[NumPriorities]int `json:"waitMs,omitempty"`
	RateWaitMS        *int                `json:"rateMs,omitempty"`
	Slowdown          *float64            `json:"slowness,omitempty"`
	LateEventRate     *float64            `json:"slow,omitempty"`
	AdapterSlotWaitMS *float64            `json:"placeMs,omitempty"`
}

// Rounded returns the snapshot with its rates and the wait for an adapter slot rounded to what a router
// can tell apart. Only such values are sent.
func (s Snapshot) Rounded() Snapshot {
	round := func(value, resolution float64) float64 {
		// Division by the inverse gives short decimal numbers.
		return math.Round(value/resolution) / math.Round(1/resolution)
	}
	s.Slowdown = round(s.Slowdown, slowdownResolution)
	s.LateEventRate = round(s.LateEventRate, lateEventRateResolution)
	s.AdapterSlotWaitMS = math.Round(s.AdapterSlotWaitMS)
	return s
}

// Delta returns the difference from a former snapshot.
func (s Snapshot) Delta(former Snapshot) SnapshotDelta {
	d := SnapshotDelta{
		Alive: changed(former.Alive, s.Alive), Draining: changed(former.Draining, s.Draining),
		Incarnation:      changed(former.Incarnation, s.Incarnation),
		IdleAdapterSlots: changed(former.IdleAdapterSlots, s.IdleAdapterSlots),
		LoadingAdapters:  changed(former.LoadingAdapters, s.LoadingAdapters),
		PrefillWaitMS:    changed(former.PrefillWaitMS, s.PrefillWaitMS), RateWaitMS: changed(former.RateWaitMS, s.RateWaitMS),
		Slowdown: changed(former.Slowdown, s.Slowdown), LateEventRate: changed(former.LateEventRate, s.LateEventRate),
		AdapterSlotWaitMS: changed(former.AdapterSlotWaitMS, s.AdapterSlotWaitMS),
	}
	if !slices.Equal(former.Models, s.Models) {
		models := append([]string{}, s.Models...) // Not nil, which would be no change.
		d.Models = &models
	}
	for _, a := range s.Adapters {
		if !slices.Contains(former.Adapters, a) {
			d.SetAdapters = append(d.SetAdapters, a)
		}
	}
	for _, a := range former.Adapters {
		if findAdapterState(s.Adapters, a) < 0 {
			d.RemovedAdapters = append(d.RemovedAdapters, a)
		}
	}
	return d
}

// Apply returns the snapshot that differs from former by d. It does not modify former.
func (d SnapshotDelta) Apply(former Snapshot) Snapshot {
	s := former
	apply(&s.Alive, d.Alive)
	apply(&s.Draining, d.Draining)
	apply(&s.Incarnation, d.Incarnation)
	apply(&s.Models, d.Models)
	apply(&s.IdleAdapterSlots, d.IdleAdapterSlots)
	apply(&s.LoadingAdapters, d.LoadingAdapters)
	apply(&s.PrefillWaitMS, d.PrefillWaitMS)
	apply(&s.RateWaitMS, d.RateWaitMS)
	apply(&s.Slowdown, d.Slowdown)
	apply(&s.LateEventRate, d.LateEventRate)
	apply(&s.AdapterSlotWaitMS, d.AdapterSlotWaitMS)
	if len(d.SetAdapters)+len(d.RemovedAdapters) > 0 {
		s.Adapters = slices.Clone(former.Adapters)
	}
	for _, a := range d.RemovedAdapters {
		if i := findAdapterState(s.Adapters, a); i >= 0 {
			s.Adapters = slices.Delete(s.Adapters, i, i+1)
		}
	}
	for _, a := range d.SetAdapters {
		if i := findAdapterState(s.Adapters, a); i >= 0 {
			s.Adapters[i] = a
		} else {
			s.Adapters = append(s.Adapters, a)
		}
	}
	return s
}

// DiffersForRouters reports whether a router could select another engine because of the difference
// from a former snapshot.
func (s Snapshot) DiffersForRouters(former Snapshot) bool {
	d := s.Delta(former)
	if d.RateWaitMS != nil && distance(former.RateWaitMS, s.RateWaitMS) > waitResolutionMS ||
		d.AdapterSlotWaitMS != nil && math.Abs(s.AdapterSlotWaitMS-former.AdapterSlotWaitMS) > waitResolutionMS {
		return true
	}
	for priority, wait := range s.PrefillWaitMS {
		if distance(former.PrefillWaitMS[priority], wait) > waitResolutionMS {
			return true
		}
	}
	for _, a := range d.SetAdapters {
		// A changed demand alone waits for the next snapshot.
		if i := findAdapterState(former.Adapters, a); i < 0 || former.Adapters[i].Usable != a.Usable {
			return true
		}
	}
	return d.Alive != nil || d.Draining != nil || d.Incarnation != nil || d.Models != nil || len(d.RemovedAdapters) > 0 ||
		d.IdleAdapterSlots != nil || d.LoadingAdapters != nil || d.Slowdown != nil || d.LateEventRate != nil
}

// findAdapterState returns the index of an adapter in a list, or -1.
func findAdapterState(list []AdapterState, adapter AdapterState) int {
	return slices.IndexFunc(list, func(a AdapterState) bool { return a.Adapter == adapter.Adapter && a.Model == adapter.Model })
}

// changed returns a value that differs from the former one, or nil.
func changed[T comparable](former, value T) *T {
	if value == former {
		return nil
	}
	return &value
}

// apply sets a field to a value that has changed.
func apply[T any](field, value *T) {
	if value != nil {
		*field = *value
	}
}

func distance(a, b int) int { return max(a-b, b-a) }
