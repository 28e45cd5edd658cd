package rollout

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// Order is an operator's order to move the traffic of a pool to a software version.
type Order struct {
	ID      OrderID
	Pool    ident.Pool
	Version string
	// Duration is the time within which the rollout is to end. It begins when the order is
	// acknowledged by the store.
	Duration time.Duration
}
