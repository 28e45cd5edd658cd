package membership

import "time"

// input is an event for the tracker's loop to process.
type input interface {
	apply(t *Tracker, now time.Time)
}
