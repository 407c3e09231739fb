package responsehead

import "github.com/juju/errors"

// ErrStatusLine means that a response does not begin with a valid status line. Informational responses (1xx) are valid
// before the final one; 101 is not, since no request asks for another protocol.
const ErrStatusLine = errors.ConstError("malformed response: invalid status line")

// Checker checks the head of a response with the informational responses before it. Its zero value expects the first
// byte of a status line.
type Checker struct {
	state  state
	column int // Bytes of the current line.
	status int
}

// state is what the next byte belongs to.
type state int

const (
	inStatusLine state = iota
	inField
	afterHead
)

// Reset makes the Checker expect another head.
func (c *Checker) Reset() { *c = Checker{} }

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
	if b == '\n' {
		return c.endLine()
	}
	if c.state == inStatusLine && !c.validStatusByte(b) {
		return ErrStatusLine
	}
	if b != '\r' || c.state == inStatusLine {
		c.column++
	}
	return nil
}

// statusLine is the form of the beginning of a status line, in which 0 stands for a digit.
const statusLine = "HTTP/1.0 000"

// validStatusByte reports whether a status line may have b at the current column. It sets the status.
func (c *Checker) validStatusByte(b byte) bool {
	switch {
	case c.column >= len(statusLine):
		return c.validStatus() && (c.column > len(statusLine) || b == ' ' || b == '\r')
	case statusLine[c.column] != '0':
		return b == statusLine[c.column]
	case c.column > len("HTTP/1.0 "):
		c.status = 10*c.status + int(b-'0')
	case c.column == len("HTTP/1.0 "):
		c.status = int(b - '0')
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
	case c.state == inStatusLine:
		c.state = inField
	case c.column == 0 && c.status < 200:
		c.state = inStatusLine
	case c.column == 0:
		c.state = afterHead
	}
	c.column = 0
	return nil
}
