package router

import (
	"context"
	"sync"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/catalog"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/versionbound"
)

// formerVersions gives up the attempts that would begin too late on a former version of their adapter. The scheduler's
// grant only estimates when a request begins: the engine may turn slow, and a newer version may be announced, after it.
type formerVersions struct {
	bound    time.Duration // Time after an announcement from which no request may begin on a former version.
	announce func(catalog.AdapterKey) catalog.Announcement

	mu       sync.Mutex
	attempts map[catalog.AdapterKey]map[*versionAttempt]bool // Attempts that have not begun.
}

// versionAttempt is an attempt on one version of an adapter.
type versionAttempt struct {
	key     catalog.AdapterKey
	version int64 // The announced one if it was unknown; 0 if none was announced.
	cancel  context.CancelFunc
	timer   *time.Timer // Set once a newer version is announced.
	ended   bool        // The attempt has begun, ended or was given up.
	givenUp bool
}

func newFormerVersions(bound time.Duration, announce func(catalog.AdapterKey) catalog.Announcement) *formerVersions {
	return &formerVersions{bound: bound, announce: announce, attempts: make(map[catalog.AdapterKey]map[*versionAttempt]bool)}
}

// beginBy returns the time by which a request must begin on a version. ok is false if no newer one is announced.
func (f *formerVersions) beginBy(key catalog.AdapterKey, version int64) (by time.Time, ok bool) {
	a, ok := f.announce(key).FirstAfter(version)
	return versionbound.BeginBy(f.bound, a.Since, a.ReadAt), ok
}

// permits reports whether a request may be sent now to begin on a version. prefill is the time of its prefill at normal
// speed. An unknown version is permitted: the engine is asked for the announced one, or none is announced.
func (f *formerVersions) permits(key catalog.AdapterKey, version int64, prefill time.Duration, now time.Time) bool {
	by, former := f.beginBy(key, version)
	return version == 0 || !former || now.Add(prefill).Before(by)
}

// start adds an attempt, which cancel ends. The caller must call settle once it has begun or ended.
func (f *formerVersions) start(key catalog.AdapterKey, version int64, cancel context.CancelFunc) *versionAttempt {
	if version == 0 {
		version = f.announce(key).Version
	}
	a := &versionAttempt{key: key, version: version, cancel: cancel}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.attempts[key] == nil {
		f.attempts[key] = make(map[*versionAttempt]bool)
	}
	f.attempts[key][a] = true
	f.limit(a)
	return a
}

// limit sets the time at which an attempt is given up if a newer version is announced. The caller holds f.mu.
func (f *formerVersions) limit(a *versionAttempt) {
	if by, former := f.beginBy(a.key, a.version); former && a.timer == nil {
		a.timer = time.AfterFunc(time.Until(by), func() { f.giveUp(a) })
	}
}

// update limits the attempts for whose adapters a newer version has been announced.
func (f *formerVersions) update() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, attempts := range f.attempts {
		for a := range attempts {
			f.limit(a)
		}
	}
}

// giveUp ends an attempt that has not begun.
func (f *formerVersions) giveUp(a *versionAttempt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !a.ended {
		a.givenUp = true
		f.end(a)
		a.cancel()
	}
}

// settle records that an attempt has begun or ended. It reports whether it was given up before.
func (f *formerVersions) settle(a *versionAttempt) bool {
	if a == nil {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.end(a)
	return a.givenUp
}

// end removes an attempt. The caller holds f.mu.
func (f *formerVersions) end(a *versionAttempt) {
	if a.ended {
		return
	}
	a.ended = true
	if a.timer != nil {
		a.timer.Stop()
	}
	delete(f.attempts[a.key], a)
	if len(f.attempts[a.key]) == 0 {
		delete(f.attempts, a.key)
	}
}
