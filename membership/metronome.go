package membership

import "time"

// stroke is what is due at a tick.
type stroke int

const (
	silentStroke stroke = iota
	beatOwnDataCentre
	beatEveryone
)

// metronome tells when heartbeats are due. It follows the wall clock, so that
// all hosts with about the same time send at the same moments: a host then wakes
// up once for the heartbeats of all others, which costs far less processor time
// than to wake up for each. No promise relies on it.
type metronome struct {
	interval time.Duration
	lastBeat time.Time
}

// next returns the time until the next tick; wall is the wall clock's time.
func (m *metronome) next(wall time.Time) time.Duration {
	tick := m.interval / ticksPerHeartbeat
	wait := tick - time.Duration(wall.UnixNano())%tick
	if wait < tick/4 {
		// The timer was early, or the tick late.
		wait += tick
	}
	return wait
}

// stroke tells what is due at a tick. It counts on the wall clock, and makes up
// for a beat that a jump of it would leave out.
func (m *metronome) stroke(wall, now time.Time) stroke {
	tick := m.interval / ticksPerHeartbeat
	count := (wall.UnixNano() + int64(tick)/2) / int64(tick)
	overdue := now.Sub(m.lastBeat) > m.interval+tick/2
	if count%ticksPerHeartbeat != 0 && !overdue {
		return silentStroke
	}
	m.lastBeat = now
	if count/ticksPerHeartbeat%remoteFactor == 0 || overdue {
		return beatEveryone
	}
	return beatOwnDataCentre
}
