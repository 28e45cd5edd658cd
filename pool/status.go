package pool

import (
	"github.com/cornelyard/cornelyard/admission"
	"github.com/cornelyard/cornelyard/ident"
)

// Status is a picture of one owned pool for operators.
type Status struct {
	Pool     ident.Pool         `json:"pool"`
	Snapshot admission.Snapshot `json:"snapshot"`
}
