package pool

import (
	"github.com/cornelyard/cornelyard/admission"
	"github.com/cornelyard/cornelyard/ident"
)

// Status is the state of one owned pool, as shown to operators.
type Status struct {
	Pool     ident.Pool         `json:"pool"`
	Snapshot admission.Snapshot `json:"snapshot"`
}
