package admission

import (
	"github.com/cornelyard/cornelyard/ident"
)

// reservation is a slot freed by a preemption and kept for the request with
// this ID.
type reservation struct {
	id     ident.Request
	target *targetState
}
