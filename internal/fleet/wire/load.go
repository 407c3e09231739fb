package wire

import (
	"fmt"

	"github.com/juju/errors"
)

// ErrMalformedLoad reports that a text is not an encoded Load.
const ErrMalformedLoad = errors.ConstError("malformed load: want running/capacity/queued/tokens/resident")

// Load is an agent's load when it responds to an attempt. HeaderLoad carries it on
// each response.
type Load struct {
	Running      int   // Attempts that run on the endpoint.
	Capacity     int   // Maximum number of attempts that the endpoint runs concurrently.
	Queued       int   // Attempts that wait for the endpoint.
	QueuedTokens int64 // Maximum tokens of the queued attempts together.
	Resident     bool  // Whether the attempt's build was resident on the endpoint when the attempt arrived.
}

// String returns the encoded form "running/capacity/queued/tokens/resident", which
// ParseLoad parses.
func (l Load) String() string {
	return fmt.Sprintf("%d/%d/%d/%d/%t", l.Running, l.Capacity, l.Queued, l.QueuedTokens, l.Resident)
}

// ParseLoad parses the encoded form that String returns. It returns
// ErrMalformedLoad if the text has another form or a negative number.
func ParseLoad(text string) (Load, error) {
	var l Load
	_, err := fmt.Sscanf(text, "%d/%d/%d/%d/%t", &l.Running, &l.Capacity, &l.Queued, &l.QueuedTokens, &l.Resident)
	if err != nil || l.Running < 0 || l.Capacity < 0 || l.Queued < 0 || l.QueuedTokens < 0 {
		return Load{}, ErrMalformedLoad
	}
	return l, nil
}
