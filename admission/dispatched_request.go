package admission

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// DispatchedRequest is a granted or dispatched request that an entry reports to
// a new owner.
type DispatchedRequest struct {
	Request Request
	Target  ident.Target
	// Dispatched is the time of dispatch, in the owner's clock.
	Dispatched time.Time
	Tokens     int
}
