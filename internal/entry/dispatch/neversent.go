package dispatch

import (
	"net"

	"github.com/juju/errors"
)

// neverSent reports whether a call failed before its first byte left: the
// connection could not be made.
func neverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
