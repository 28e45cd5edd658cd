package membership

import "time"

// tickAction says to which hosts heartbeats are sent at a tick.
type tickAction int

const (
	sendNone tickAction = iota
	sendLocalDataCentre
	sendAllHosts
)

// heartbeatSchedule determines when heartbeats are due. Ticks are aligned to the wall
// clock, so that hosts with synchronized clocks send at the same moments. A host then
// wakes up once for the heartbeats of all others, which takes far less processor time
// than one wake-up for each. Correctness does not depend on synchronized clocks.
type heartbeatSchedule struct {
	interval      time.Duration
	lastHeartbeat time.Time
}

// untilNextTick returns the time until the next tick after the wall-clock time.
func (h *heartbeatSchedule) untilNextTick(wall time.Time) time.Duration {
	tick := h.interval / ticksPerHeartbeat
	wait := tick - time.Duration(wall.UnixNano())%tick
	if wait < tick/4 {
		// The timer fired early, or the current tick is handled late.
		wait += tick
	}
	return wait
}

// actionAt returns which heartbeats are due at a tick. It numbers ticks by the wall
// clock, and sends an overdue heartbeat if a clock jump skipped one.
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
