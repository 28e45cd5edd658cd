package admission

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// LoadReport is what a target last told about itself. It lags.
type LoadReport struct {
	Target  ident.Target
	Running int
	Waiting int
	// At is when the target measured it, in the owner's clock.
	At time.Time
}
