package settings

import (
	"strings"
	"time"

	"github.com/juju/errors"
)

// OptionalDuration is the value of a flag whose value a template may fill without a number: empty text and a unit
// alone, such as "ms", leave it unset. It implements kingpin.Value.
type OptionalDuration struct {
	duration time.Duration
	set      bool
}

// NewOptionalDuration returns a duration that is set.
func NewOptionalDuration(d time.Duration) OptionalDuration {
	return OptionalDuration{duration: d, set: true}
}

// Set parses text.
func (d *OptionalDuration) Set(text string) error {
	*d = OptionalDuration{}
	if strings.Trim(text, "mush") == "" { // The letters of all units.
		return nil
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return errors.Trace(err)
	}
	*d = NewOptionalDuration(parsed)
	return nil
}

// String returns the duration, "" if it is not set.
func (d *OptionalDuration) String() string {
	if !d.set {
		return ""
	}
	return d.duration.String()
}

// IsSet reports whether the duration is set.
func (d OptionalDuration) IsSet() bool { return d.set }

// Or returns the duration, or another one if it is not set.
func (d OptionalDuration) Or(other time.Duration) time.Duration {
	if !d.set {
		return other
	}
	return d.duration
}
