// Package versionbound decides until when a request may begin on a former version of an adapter. After a new version is
// acknowledged, the former one may serve for a bounded time, so that the load of the new one need not be waited for. The bound
// counts up to the first token of a request, so that its wait and its prefill, at whatever speed the engine has then,
// lie within it.
//
// The package is pure: time is an argument.
package versionbound

import (
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/millis"
)

const (
	// DefaultBound applies if a deployment sets none.
	DefaultBound = 5 * time.Second
	// margin covers the way of an attempt's end to the engine, and the delay of timers.
	margin = 250 * time.Millisecond
	// minAfterRead is the part of the bound that is left when an announcement is read. A process in contact with the
	// platform reads one long before; without contact, the time of the announcement is not known.
	minAfterRead = time.Second
	// maxSlowdown is by how much longer than at normal speed a prefill may take: an engine may turn slow after the
	// request was sent to it.
	maxSlowdown = 8
)

// BeginBy returns the time by which a request must begin on a former version. The new version was announced after
// since, zero if that is not known, and read at readAt.
func BeginBy(bound time.Duration, since, readAt time.Time) time.Time {
	if earliest := readAt.Add(minAfterRead - bound); since.Before(earliest) {
		since = earliest
	}
	return since.Add(bound - margin)
}

// BeginsInTime reports whether a request that is sent to an engine now begins in time, even if the engine turns slow.
// prefillMS is the time of the prefills up to its own at normal speed.
func BeginsInTime(beginBy, now time.Time, prefillMS float64) bool {
	return now.Add(millis.Duration(maxSlowdown * prefillMS)).Before(beginBy)
}
