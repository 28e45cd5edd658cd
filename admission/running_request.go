package admission

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// RunningRequest is a request that an entry reports as granted or dispatched to a
// new owner.
type RunningRequest struct {
	Request Request
	Target  ident.Target
	// Dispatched is when the entry dispatched it, in the owner's clock.
	Dispatched time.Time
	Tokens     int
}
