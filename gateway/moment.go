package gateway

import (
	"sync/atomic"
	"time"
)

// moment is a point in time that several goroutines set and read.
type moment struct {
	at atomic.Pointer[time.Time]
}

func (m *moment) set(now time.Time) { m.at.Store(&now) }

// age returns the seconds since the moment, or 0 if it was never set.
func (m *moment) age(now time.Time) float64 {
	at := m.at.Load()
	if at == nil {
		return 0
	}
	return now.Sub(*at).Seconds()
}
