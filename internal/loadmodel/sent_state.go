package loadmodel

import (
	"time"

	"github.com/cornelyard/cornelyard/schedule"
)

// sentState is a state that a host published at a point in time.
type sentState struct {
	at    time.Duration
	state schedule.State
}
