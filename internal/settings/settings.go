// Package settings checks a program's settings together at start, so that an
// operator sees every wrong one at once, each on a line of its own.
package settings

import (
	"fmt"
	"net"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

// ErrInvalid says that at least one setting is wrong.
const ErrInvalid = errors.ConstError("invalid settings")

// Checker collects what is wrong with a program's settings.
type Checker struct {
	problems []string
}

// Problemf records that the setting of a flag is wrong.
func (c *Checker) Problemf(flag, format string, args ...any) {
	line := fmt.Sprintf("--%s (%s): %s", flag, Variable(flag), fmt.Sprintf(format, args...))
	c.problems = append(c.problems, line)
}

// Name requires a valid identifier.
func (c *Checker) Name(flag, value string) {
	if !ident.ValidName(value) {
		c.Problemf(flag, "%q is no valid name; use letters, digits, dots, underscores and hyphens", value)
	}
}

// Address requires a host and a port; port 0 takes a free one.
func (c *Checker) Address(flag, value string) {
	host, port, err := net.SplitHostPort(value)
	if err != nil {
		c.Problemf(flag, "%q is no address; give it as 10.0.0.5:7000", value)
		return
	}
	if host != "" && net.ParseIP(host) == nil {
		c.Problemf(flag, "%q is no IP number", host)
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		c.Problemf(flag, "%q is no port; give 0 to 65535", port)
	}
}

// Positive requires a duration above zero.
func (c *Checker) Positive(flag string, value time.Duration) {
	if value <= 0 {
		c.Problemf(flag, "%s is not above zero", value)
	}
}

// AtLeast requires a number that is not below low.
func (c *Checker) AtLeast(flag string, value, low int64) {
	if value < low {
		c.Problemf(flag, "%d is below %d", value, low)
	}
}

// Check records err, where there is one, for a flag.
func (c *Checker) Check(flag string, err error) {
	if err != nil {
		c.Problemf(flag, "%s", err)
	}
}

// Err returns ErrInvalid with a line for each wrong setting, or nil.
func (c *Checker) Err() error {
	if len(c.problems) == 0 {
		return nil
	}
	return errors.WithType(errors.New(strings.Join(c.problems, "\n")), ErrInvalid)
}

// Variable returns the environment variable of a flag: HYSSOP_ and the flag's
// name in capitals with underscores.
func Variable(flag string) string {
	return "HYSSOP_" + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// URL requires an absolute HTTP URL.
func (c *Checker) URL(flag, value string) {
	u, err := url.Parse(value)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		c.Problemf(flag, "%q is no URL; give it as http://10.0.0.9:8500/vms", value)
	}
}
