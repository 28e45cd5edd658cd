package membership

import "time"

// memberReport is an entry of a member list from another host.
type memberReport struct {
	Member
	// dead means that the reporting host, in the member's own data centre, considers
	// it dead.
	dead bool
}

// applyReport processes one entry of a member list. Members of the local data centre
// are judged by direct evidence only. Members of another data centre, to which this
// host has few sessions, are also judged by the reports of the hosts there.
func (d *detector) applyReport(reporter *memberRecord, report memberReport, now time.Time) {
	r, known := d.members[report.Host]
	if !known {
		if report.dead {
			return
		}
		r = d.getOrCreate(report.Member, now)
	}
	if report.DataCentre == d.self.DataCentre || reporter.DataCentre != report.DataCentre {
		d.updateAddress(r, report, now)
		return
	}
	d.applyRemoteReport(r, report, now)
}

// updateAddress adopts the address of a newer process of a member that is not alive
// here.
func (d *detector) updateAddress(r *memberRecord, report memberReport, now time.Time) {
	if r.State != Alive && report.Incarnation > r.Incarnation && !report.dead {
		d.updateDescription(r, report.Member, now)
	}
}

func (d *detector) applyRemoteReport(r *memberRecord, report memberReport, now time.Time) {
	if report.Incarnation < r.Incarnation {
		return
	}
	r.reportedAlive = !report.dead
	if now.Sub(r.lastHeartbeat) <= d.timingFor(r).suspectAfter && r.State == Alive {
		return
	}
	if report.dead {
		if r.State != Dead && report.Incarnation == r.Incarnation {
			d.setDead(r, now, "lost by its data centre")
		}
		return
	}
	if report.Incarnation > r.Incarnation {
		d.handleRestart(r, report.Incarnation, now)
	}
	d.updateDescription(r, report.Member, now)
	r.announcedLeaving = report.Leaving
	d.setLeaving(r, now)
	d.setSettingsVersion(r, report.SettingsVersion, now)
	r.dialRefusals = 0
	d.setAlive(r, now)
}

// confirmedRemotely reports whether the hosts of the member's data centre consider it
// alive and heartbeats still arrive from at least one of them.
func (d *detector) confirmedRemotely(r *memberRecord, now time.Time) bool {
	if !r.reportedAlive || r.DataCentre == d.self.DataCentre {
		return false
	}
	return now.Sub(d.lastHeartbeatFrom[r.DataCentre]) <= d.timingFor(r).suspectAfter
}

// changedSince lists the members of the local data centre, this host included, whose
// reported fields changed after since.
func (d *detector) changedSince(since time.Time) []memberReport {
	var list []memberReport
	if d.selfChangedAt.After(since) {
		list = append(list, memberReport{Member: d.self})
	}
	for _, r := range d.members {
		if r.DataCentre == d.self.DataCentre && r.changedAt.After(since) {
			list = append(list, memberReport{Member: r.Member, dead: r.State == Dead})
		}
	}
	return list
}
