package membership

import (
	"time"

	"github.com/cornelyard/cornelyard/timeline"
)

// processPaused reports whether the last check is so long ago that this process cannot
// have been running all the time since.
func (d *detector) processPaused(now time.Time) bool {
	return !d.lastCheck.IsZero() && now.Sub(d.lastCheck) > d.timing.suspectAfter
}

// handlePause restarts the timeouts of all live members. This process was not running
// since the last check, so missing heartbeats are no evidence of a failure.
func (d *detector) handlePause(now time.Time) {
	gap := now.Sub(d.lastCheck)
	d.resumedAt = now
	d.stale = true
	d.viewChanged = true
	for _, r := range d.members {
		r.probationSince = time.Time{}
		if r.State != Dead {
			r.lastHeartbeat = now
		}
	}
	d.addEvent(timeline.PauseDetected, "", gap.Round(time.Millisecond).String())
}

// clearStale clears the stale mark once every live member of the local data centre has
// sent anything since the pause. Heartbeats of the first interval after the pause do
// not count, because they may have been buffered during the pause.
func (d *detector) clearStale(now time.Time) {
	if !d.stale {
		return
	}
	earliest := d.resumedAt.Add(d.timing.heartbeat)
	if now.Before(earliest) {
		return
	}
	for _, r := range d.members {
		if r.DataCentre == d.self.DataCentre && r.State != Dead && r.lastHeartbeat.Before(earliest) {
			return
		}
	}
	d.stale = false
	d.viewChanged = true
}
