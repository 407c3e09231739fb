// Package millis converts between time.Duration and fractional milliseconds, the
// unit of times on the wire and in logs.
package millis

import "time"

// Duration converts milliseconds to a time.Duration. Fractions of a nanosecond are
// truncated.
func Duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// FromDuration converts d to milliseconds.
func FromDuration(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
