package operator

import (
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/timeline"
)

// TimelineSource returns the events of this host.
type TimelineSource interface {
	// Events returns the buffered events recorded after since, oldest first. An
	// empty request selects all; a limit of zero means no limit.
	Events(since timeline.Timestamp, request ident.Request, limit int) []timeline.Event
	// Dropped returns the number of events that were overwritten.
	Dropped() uint64
}
