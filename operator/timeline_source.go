package operator

import (
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/timeline"
)

// TimelineSource gives this host's events.
type TimelineSource interface {
	// Events returns the kept events recorded after since, oldest first. An
	// empty request selects all; a limit of zero means no limit.
	Events(since timeline.Timestamp, request ident.Request, limit int) []timeline.Event
	// Dropped counts the events that were overwritten.
	Dropped() uint64
}
