package rollout

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// Stored is the progress of a pool's rollout as the store holds it.
type Stored struct {
	Pool     ident.Pool
	Progress Progress
	// Duration is that of the order.
	Duration time.Duration
	// Revision is the version of the row, or zero if there is none.
	Revision uint64
	// KeepsState says that the operator's row is not written with the progress, because it
	// answers another order.
	KeepsState bool
}
