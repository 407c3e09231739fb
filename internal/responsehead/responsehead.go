package responsehead

import (
	"strings"

	"github.com/juju/errors"
)

// Errors of Checker.Check.
const (
	// ErrStatusLine means that a response does not begin with a valid status line. Informational responses (1xx) are
	// valid before the final one; 101 is not, since no request asks for another protocol.
	ErrStatusLine = errors.ConstError("malformed response: invalid status line")
	// ErrField means that a line of the head has no name, one that is no token, or a value with control characters.
	// Obsolete line folding, a line that begins with a blank to continue the one before, is not accepted.
	ErrField = errors.ConstError("malformed response: invalid header field")
	// ErrLineEnd means that a line of the head does not end with CR LF.
	ErrLineEnd = errors.ConstError("malformed response: line without CR LF")
	// ErrTooLarge means that a head exceeds MaxBytes or MaxLines.
	ErrTooLarge = errors.ConstError("malformed response: head too large")
)

// Bounds of a head together with the informational responses before it. Parsed lines of a few bytes with names of
// their own take 100 bytes of memory each.
const (
	MaxBytes = 64 << 10
	MaxLines = 256
)

// Checker checks the head of a response with the informational responses before it. Its zero value expects the first
// byte of a status line.
type Checker struct {
	state  state
	column int // Bytes of the current line, without its end.
	status int
	cr     bool // The last byte was CR.
	bytes  int
	lines  int
}

// state is what the next byte belongs to.
type state int

const (
	inStatusLine state = iota
	inName
	inValue
	afterHead
)

// Reset makes the Checker expect another head.
func (c *Checker) Reset() { *c = Checker{} }

// Complete reports whether the whole head was checked.
func (c *Checker) Complete() bool { return c.state == afterHead }

// Check checks the next bytes of a response. It ignores those that follow the head.
func (c *Checker) Check(p []byte) error {
	for _, b := range p {
		if c.state == afterHead {
			return nil
		}
		if err := c.next(b); err != nil {
			return err
		}
	}
	return nil
}

// next checks one byte.
func (c *Checker) next(b byte) error {
	if c.bytes++; c.bytes > MaxBytes || c.lines >= MaxLines {
		return ErrTooLarge
	}
	if c.cr != (b == '\n') {
		return ErrLineEnd
	}
	if b == '\n' {
		c.cr = false
		return c.endLine()
	}
	if b == '\r' {
		c.cr = true
		return nil
	}
	if err := c.checkInLine(b); err != nil {
		return err
	}
	c.column++
	return nil
}

// checkInLine checks a byte other than the end of a line.
func (c *Checker) checkInLine(b byte) error {
	switch {
	case c.state == inStatusLine && !c.validStatusByte(b):
		return ErrStatusLine
	case c.state == inName && b == ':' && c.column > 0:
		c.state = inValue
	case c.state == inName && !isToken(b):
		return ErrField
	case c.state == inValue && isControl(b):
		return ErrField
	}
	return nil
}

// isToken reports whether b may be in a token (RFC 9110, section 5.6.2).
func isToken(b byte) bool {
	return b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= '0' && b <= '9' || strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
}

// isControl reports whether b is a control character that no value may have.
func isControl(b byte) bool { return b < ' ' && b != '\t' || b == 0x7f }

// statusLine is the form of the beginning of a status line, in which 0 stands for a digit.
const statusLine = "HTTP/1.0 000"

// validStatusByte reports whether a status line may have b at the current column. It sets the status.
func (c *Checker) validStatusByte(b byte) bool {
	switch {
	case c.column == len(statusLine):
		return b == ' '
	case c.column > len(statusLine):
		return !isControl(b)
	case statusLine[c.column] != '0':
		return b == statusLine[c.column]
	case c.column == len("HTTP/1.0 "):
		c.status = int(b - '0')
	case c.column > len("HTTP/1.0 "):
		c.status = 10*c.status + int(b-'0')
	}
	return b >= '0' && b <= '9'
}

// validStatus reports whether the status is one that a server can send without being asked for another protocol.
func (c *Checker) validStatus() bool { return c.status >= 100 && c.status <= 599 && c.status != 101 }

// endLine ends the current line. The head ends with an empty one.
func (c *Checker) endLine() error {
	switch {
	case c.state == inStatusLine && (c.column < len(statusLine) || !c.validStatus()):
		return ErrStatusLine
	case c.state == inName && c.column > 0:
		return ErrField
	case c.state == inName && c.status >= 200:
		c.state = afterHead
	case c.state == inName:
		c.state = inStatusLine
	default:
		c.state = inName
	}
	c.column = 0
	c.lines++
	return nil
}
