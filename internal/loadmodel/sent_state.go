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

// sentStates holds published states, oldest first.
type sentStates []sentState

// lastAt returns when the last state was published, and false if there is none.
func (s sentStates) lastAt() (time.Duration, bool) {
	if len(s) == 0 {
		return 0, false
	}
	return s[len(s)-1].at, true
}
