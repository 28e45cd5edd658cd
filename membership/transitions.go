package membership

import (
	"time"

	"github.com/cornelyard/cornelyard/timeline"
)

// getOrCreate returns the member's record. A new member starts as suspect: it may own
// pools at once, as it does for the host that reported it, and is declared dead unless
// a heartbeat arrives in time.
func (d *detector) getOrCreate(m Member, now time.Time) *memberRecord {
	if r, ok := d.members[m.Host]; ok {
		return r
	}
	m.State = Suspect
	r := &memberRecord{Member: m, lastHeartbeat: now, changedAt: now, announcedLeaving: m.Leaving}
	d.members[m.Host] = r
	d.viewChanged = true
	return r
}

// updateDescription adopts the member's addresses and data centre.
func (d *detector) updateDescription(r *memberRecord, m Member, now time.Time) {
	if r.DataCentre == m.DataCentre && r.PeerAddress == m.PeerAddress && r.OperatorAddress == m.OperatorAddress {
		return
	}
	r.DataCentre = m.DataCentre
	r.PeerAddress = m.PeerAddress
	r.OperatorAddress = m.OperatorAddress
	r.changedAt = now
	d.viewChanged = true
}

// handleRestart processes that a newer process runs under the member's name.
func (d *detector) handleRestart(r *memberRecord, incarnation uint64, now time.Time) {
	if r.State != Dead && r.everAlive {
		d.setDead(r, now, "restarted")
		// A message from the new process has just arrived, so the member needs no
		// probation unless it restarts repeatedly.
		if r.flaps <= 1 {
			r.needsProbation = false
		}
	}
	r.Incarnation = incarnation
	r.SettingsVersion = 0
	r.changedAt = now
	d.viewChanged = true
}

func (d *detector) setState(r *memberRecord, state State) {
	if r.State == state {
		return
	}
	r.State = state
	d.viewChanged = true
}

func (d *detector) setAlive(r *memberRecord, now time.Time) {
	if r.State == Alive {
		return
	}
	joined := r.State == Dead || !r.everAlive
	d.setState(r, Alive)
	r.everAlive = true
	r.probationSince = time.Time{}
	if joined {
		r.changedAt = now
		d.addEvent(timeline.MemberJoined, r.Host, "")
	}
}

func (d *detector) setDead(r *memberRecord, now time.Time, detail string) {
	d.setState(r, Dead)
	r.diedAt = now
	r.changedAt = now
	r.probationSince = time.Time{}
	if !r.everAlive {
		return
	}
	// A planned stop is not a flap: the next process needs no probation.
	r.needsProbation = !r.Leaving
	if r.needsProbation {
		r.recordFlap(now)
	}
	d.addEvent(timeline.MemberLost, r.Host, detail)
}

func (d *detector) setLeaving(r *memberRecord, now time.Time) {
	leaving := r.announcedLeaving || r.hostListLeaving
	if r.Leaving == leaving {
		return
	}
	r.Leaving = leaving
	r.changedAt = now
	d.viewChanged = true
}

func (d *detector) setSettingsVersion(r *memberRecord, version uint64, now time.Time) {
	if version <= r.SettingsVersion {
		return
	}
	r.SettingsVersion = version
	r.changedAt = now
	d.viewChanged = true
}

// timingFor returns the intervals that apply to the member.
func (d *detector) timingFor(r *memberRecord) timing {
	if r.DataCentre == d.self.DataCentre {
		return d.timing
	}
	return timing{
		heartbeat:    remoteIntervalFactor * d.timing.heartbeat,
		suspectAfter: remoteIntervalFactor * d.timing.suspectAfter,
		deadAfter:    remoteIntervalFactor * d.timing.deadAfter,
	}
}

// applySilence updates the member's state by the time since its last heartbeat.
func (d *detector) applySilence(r *memberRecord, now time.Time) {
	timing := d.timingFor(r)
	silence := now.Sub(r.lastHeartbeat)
	if r.State == Dead {
		d.checkDead(r, silence > timing.suspectAfter, now)
		return
	}
	if d.confirmedRemotely(r, now) {
		return
	}
	switch {
	case silence > timing.deadAfter:
		d.setDead(r, now, "silent")
	case silence > timing.suspectAfter:
		d.setState(r, Suspect)
	}
}

// checkDead resets the probation of a dead member that is silent. It marks a member
// alive again if its data centre still reports it alive more than reportedAliveRetry
// after it was declared dead here.
func (d *detector) checkDead(r *memberRecord, silent bool, now time.Time) {
	if silent {
		r.probationSince = time.Time{}
	}
	if d.confirmedRemotely(r, now) && now.Sub(r.diedAt) > reportedAliveRetry {
		r.dialRefusals = 0
		d.setAlive(r, now)
	}
}
