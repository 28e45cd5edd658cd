package membership

import "time"

// stroke is what is due at a tick.
type tickAction int

const (
	sendNone tickAction = iota
	sendLocalDataCentre
	sendAllHosts
)

// metronome tells when heartbeats are due. It follows the wall clock, so that
// all hosts with about the same time send at the same moments: a host then wakes
// up once for the heartbeats of all others, which costs far less processor time
// than to wake up for each. No promise relies on it.
type heartbeatSchedule struct {
	interval      time.Duration
	lastHeartbeat time.Time
}

// next returns the time until the next tick; wall is the wall clock's time.
func (h *heartbeatSchedule) untilNextTick(wall time.Time) time.Duration {
	tick := h.interval / ticksPerHeartbeat
	wait := tick - time.Duration(wall.UnixNano())%tick
	if wait < tick/4 {
		// The timer was early, or the tick late.
		wait += tick
	}
	return wait
}

// stroke tells what is due at a tick. It counts on the wall clock, and makes up
// for a beat that a jump of it would leave out.
func (h *heartbeatSchedule) actionAt(wall, now time.Time) tickAction {
	tick := h.interval / ticksPerHeartbeat
	count := (wall.UnixNano() + int64(tick)/2) / int64(tick)
	overdue := now.Sub(h.lastHeartbeat) > h.interval+tick/2
	if count%ticksPerHeartbeat != 0 && !overdue {
		return sendNone
	}
	h.lastHeartbeat = now
	if count/ticksPerHeartbeat%remoteIntervalFactor == 0 || overdue {
		return sendAllHosts
	}
	return sendLocalDataCentre
}
