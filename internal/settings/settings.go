// Package settings validates a program's settings at start. It collects all
// problems, so that one error lists every invalid setting, one per line.
package settings

import (
	"fmt"
	"math"
	"net"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

// ErrInvalid reports that at least one setting is invalid.
const ErrInvalid = errors.ConstError("invalid settings")

// Checker collects the problems of a program's settings. The zero value is ready
// to use.
type Checker struct {
	problems []string
}

// Problemf records a problem of the flag's setting. The line of the problem begins
// with the flag and its environment variable.
func (c *Checker) Problemf(flag, format string, args ...any) {
	line := fmt.Sprintf("--%s (%s): %s", flag, EnvVariable(flag), fmt.Sprintf(format, args...))
	c.problems = append(c.problems, line)
}

// RequireName requires value to be a valid identifier.
func (c *Checker) RequireName(flag, value string) {
	if !ident.ValidName(value) {
		c.Problemf(flag, "%q is not a valid name; use letters, digits, dots, underscores and hyphens", value)
	}
}

// RequireAddress requires value to be a host and a port. The host must be an IP
// address or empty, which means all addresses. Port 0 selects a free port.
func (c *Checker) RequireAddress(flag, value string) {
	host, port, err := net.SplitHostPort(value)
	if err != nil {
		c.Problemf(flag, "%q is not an address; want host and port, for example 10.0.0.5:7000", value)
		return
	}
	if host != "" && net.ParseIP(host) == nil {
		c.Problemf(flag, "host %q is not an IP address", host)
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		c.Problemf(flag, "port %q is not a number from 0 to 65535", port)
	}
}

// RequirePositive requires value to be greater than zero.
func (c *Checker) RequirePositive(flag string, value time.Duration) {
	if value <= 0 {
		c.Problemf(flag, "duration is %s; must be greater than zero", value)
	}
}

// RequireAtLeast requires value to be at least minimum.
func (c *Checker) RequireAtLeast(flag string, value, minimum int64) {
	if value < minimum {
		c.Problemf(flag, "value is %d; must be at least %d", value, minimum)
	}
}

// RequireNotNegative requires value to be a finite number that is not negative.
func (c *Checker) RequireNotNegative(flag string, value float64) {
	if math.IsNaN(value) || math.IsInf(value, 0) || value < 0 {
		c.Problemf(flag, "value is %g; must be a number that is not negative", value)
	}
}

// AddError records err as a problem of the flag's setting, unless err is nil.
func (c *Checker) AddError(flag string, err error) {
	if err != nil {
		c.Problemf(flag, "%s", err)
	}
}

// Err returns ErrInvalid with one line per problem, or nil if there is none.
func (c *Checker) Err() error {
	if len(c.problems) == 0 {
		return nil
	}
	return errors.WithType(errors.New(strings.Join(c.problems, "\n")), ErrInvalid)
}

// EnvVariable returns the name of the environment variable of a flag: HYSSOP_ and
// the flag's name in upper case, with underscores instead of hyphens.
func EnvVariable(flag string) string {
	return "HYSSOP_" + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// RequireURL requires value to be an absolute HTTP or HTTPS URL.
func (c *Checker) RequireURL(flag, value string) {
	u, err := url.Parse(value)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		c.Problemf(flag, "%q is not an HTTP URL; want, for example, http://10.0.0.9:8500/vms", value)
	}
}
