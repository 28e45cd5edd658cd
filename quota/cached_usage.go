package quota

import "time"

// cachedUsage is a report with the time of its arrival.
type cachedUsage struct {
	Usage
	at time.Time
}
