package operators

import (
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/config"
)

// Status is the state of the fleet as one entry knows it.
type Status struct {
	Revision config.Revision `json:"revision"` // In force at the entry that answers.
}
