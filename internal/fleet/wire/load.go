package wire

import (
	"fmt"

	"github.com/juju/errors"
)

// ErrLoad says that a text is no Load.
const ErrLoad = errors.ConstError("malformed load")

// Load is an agent's load, which rides on each of its answers in HeaderLoad.
type Load struct {
	Running      int   // Attempts on the endpoint.
	Capacity     int   // Attempts that the endpoint runs at once.
	Queued       int   // Attempts that wait.
	QueuedTokens int64 // Tokens that the waiting attempts may take.
	Resident     bool  // Whether the job's build was resident when it arrived.
}

// String returns the form that ParseLoad reads.
func (l Load) String() string {
	return fmt.Sprintf("%d/%d/%d/%d/%t", l.Running, l.Capacity, l.Queued, l.QueuedTokens, l.Resident)
}

// ParseLoad reads the form that String returns, or returns ErrLoad.
func ParseLoad(text string) (Load, error) {
	var l Load
	_, err := fmt.Sscanf(text, "%d/%d/%d/%d/%t", &l.Running, &l.Capacity, &l.Queued, &l.QueuedTokens, &l.Resident)
	if err != nil || l.Running < 0 || l.Capacity < 0 || l.Queued < 0 || l.QueuedTokens < 0 {
		return Load{}, ErrLoad
	}
	return l, nil
}
