package admission

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// LoadReport is a target's own report of its load. It lags behind the actual
// load.
type LoadReport struct {
	Target  ident.Target
	Running int
	Waiting int
	// At is when the target measured the load, in the owner's clock.
	At time.Time
}
