package membership

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// handleHello processes what a host says about itself when a session opens.
func (d *detector) handleHello(m Member, now time.Time) {
	if m.Host == d.self.Host {
		return
	}
	r := d.getOrCreate(m, now)
	if m.Incarnation < r.Incarnation {
		return
	}
	d.updateDescription(r, m, now)
	d.handleHeartbeat(heartbeat{host: m.Host, incarnation: m.Incarnation, settingsVersion: m.SettingsVersion, leaving: m.Leaving}, now)
}

// handleHeartbeat processes a heartbeat. One from an earlier incarnation is ignored.
func (d *detector) handleHeartbeat(h heartbeat, now time.Time) {
	r, ok := d.members[h.host]
	if !ok || h.incarnation < r.Incarnation {
		return
	}
	if h.incarnation > r.Incarnation {
		d.handleRestart(r, h.incarnation, now)
	}
	restartProbation := now.Sub(r.lastHeartbeat) > d.timingFor(r).suspectAfter
	r.lastHeartbeat = now
	r.dialRefusals = 0
	r.announcedLeaving = h.leaving
	d.setLeaving(r, now)
	d.setSettingsVersion(r, h.settingsVersion, now)
	d.lastHeartbeatFrom[r.DataCentre] = now
	if r.State != Dead || !r.needsProbation {
		d.setAlive(r, now)
		return
	}
	if restartProbation || r.probationSince.IsZero() {
		r.probationSince = now
	}
	if r.probationPassed(now) {
		d.setAlive(r, now)
	}
}

// handleSessionClosed processes the end of the session with the host.
func (d *detector) handleSessionClosed(host ident.Host) {
	r, ok := d.members[host]
	if !ok {
		return
	}
	r.probationSince = time.Time{}
	if r.State == Alive {
		d.setState(r, Suspect)
	}
}

// handleDialRefused processes a refused connection, which means that no process
// listens at the host's address.
func (d *detector) handleDialRefused(host ident.Host, now time.Time) {
	r, ok := d.members[host]
	if !ok {
		return
	}
	r.dialRefusals++
	if r.dialRefusals >= deadAfterRefusals && r.State != Dead {
		d.setDead(r, now, "connections refused")
	}
}

// handleMemberList processes the member list sent by the host from.
func (d *detector) handleMemberList(from ident.Host, reports []memberReport, now time.Time) {
	reporter, ok := d.members[from]
	if !ok {
		return
	}
	for _, report := range reports {
		if report.Host == d.self.Host || report.Host == from {
			continue
		}
		d.applyReport(reporter, report, now)
	}
}
