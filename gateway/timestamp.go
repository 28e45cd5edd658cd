package gateway

import (
	"sync/atomic"
	"time"
)

// timestamp is a point in time that is safe for concurrent use.
type timestamp struct {
	at atomic.Pointer[time.Time]
}

func (t *timestamp) set(now time.Time) { t.at.Store(&now) }

// age returns the time since the timestamp, or 0 if it was never set.
func (t *timestamp) age(now time.Time) time.Duration {
	at := t.at.Load()
	if at == nil {
		return 0
	}
	return now.Sub(*at)
}
