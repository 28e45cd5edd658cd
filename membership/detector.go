package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/storage"
	"github.com/cornelyard/cornelyard/timeline"
)

// state decides who is alive. It is pure: time is passed in, and what it
// decides is read from view and takeEvents.
type detector struct {
	self    Member
	timing  timing
	members map[ident.Host]*memberRecord

	// heardFrom is when any host of the data centre was last heard.
	lastHeartbeatFrom map[ident.DataCentre]time.Time

	// selfSaysLeaving and selfListedLeaving are the sources of self.Leaving.
	selfAnnouncedLeaving bool
	selfHostListLeaving  bool
	selfChangedAt        time.Time

	lastCheck time.Time
	// woke is when this process last found that it had not been running.
	resumedAt time.Time
	stale     bool

	viewChanged bool
	events      []timeline.Event
}

func newDetector(self Member, timing timing) *detector {
	self.State = Alive
	return &detector{
		self:              self,
		timing:            timing,
		members:           make(map[ident.Host]*memberRecord),
		lastHeartbeatFrom: make(map[ident.DataCentre]time.Time),
		viewChanged:       true,
	}
}

// greeted takes what a host said of itself at the start of a session.
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

// beat is one heartbeat.
type heartbeat struct {
	host            ident.Host
	incarnation     uint64
	settingsVersion uint64
	leaving         bool
}

// heard takes a heartbeat. One of an earlier incarnation is ignored.
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

// closed notes that the session to the host ended.
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

// refused notes that the host refused a connection: no process listens there.
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

// told takes the member list of the host from.
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

// listed takes the platform's host list. It adds members, addresses and leaving
// marks; it declares nobody alive or dead.
func (d *detector) applyHostList(hosts []storage.HostEntry, now time.Time) {
	for _, r := range d.members {
		r.inHostList = false
	}
	selfLeaving := false
	for _, h := range hosts {
		if h.Role != storage.RoleEntry {
			continue
		}
		leaving := h.State == storage.HostLeaving
		if h.Name == string(d.self.Host) {
			selfLeaving = leaving
			continue
		}
		m := Member{Host: ident.Host(h.Name), DataCentre: h.DataCentre, PeerAddress: h.Address}
		r := d.getOrCreate(m, now)
		r.inHostList = true
		r.hostListLeaving = leaving
		d.setLeaving(r, now)
		if r.State == Dead && r.PeerAddress != h.Address {
			r.PeerAddress = h.Address
			d.viewChanged = true
		}
	}
	d.selfHostListLeaving = selfLeaving
	d.updateSelf(d.selfAnnouncedLeaving, d.self.SettingsVersion, now)
}

// setSelf notes what this host says of itself.
func (d *detector) updateSelf(leaving bool, settingsVersion uint64, now time.Time) {
	d.selfAnnouncedLeaving = leaving
	effective := leaving || d.selfHostListLeaving
	version := max(settingsVersion, d.self.SettingsVersion)
	if effective == d.self.Leaving && version == d.self.SettingsVersion {
		return
	}
	d.self.Leaving = effective
	d.self.SettingsVersion = version
	d.selfChangedAt = now
	d.viewChanged = true
}

// tick lets time pass.
func (d *detector) checkTimeouts(now time.Time) {
	if d.processPaused(now) {
		d.handlePause(now)
	}
	d.lastCheck = now
	for host, r := range d.members {
		d.applySilence(r, now)
		if r.State == Dead && !r.inHostList && now.Sub(r.diedAt) > deadMemberRetention {
			delete(d.members, host)
			d.viewChanged = true
		}
	}
	d.clearStale(now)
}

// overdue tells whether so much time has passed since the last tick that this
// process can't have been running.
func (d *detector) processPaused(now time.Time) bool {
	return !d.lastCheck.IsZero() && now.Sub(d.lastCheck) > d.timing.suspectAfter
}

// wake notes that this process was not running since the last tick, so that
// the silence of the others proves nothing.
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
	d.addEvent(timeline.PauseSeen, "", gap.Round(time.Millisecond).String())
}

// regainTrust ends the pause when every host of the own data centre was heard
// again or is dead. Heartbeats of the first interval don't count, because they
// may have waited in a buffer during the pause.
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

// view returns the current picture; version is chosen by the caller.
func (d *detector) view(version uint64) *View {
	v := &View{Version: version, Self: d.self, Stale: d.stale}
	v.Members = make([]Member, 0, len(d.members)+1)
	v.Members = append(v.Members, d.self)
	for _, r := range d.members {
		v.Members = append(v.Members, r.Member)
	}
	slices.SortFunc(v.Members, func(a, b Member) int { return cmp.Compare(a.Host, b.Host) })
	return v
}

// takeDirty tells whether the view changed since the last call.
func (d *detector) takeViewChanged() bool {
	changed := d.viewChanged
	d.viewChanged = false
	return changed
}

// takeEvents returns the events since the last call.
func (d *detector) takeEvents() []timeline.Event {
	events := d.events
	d.events = nil
	return events
}

func (d *detector) addEvent(kind timeline.Kind, peer ident.Host, detail string) {
	d.events = append(d.events, timeline.Event{Kind: kind, Peer: peer, Detail: detail})
}
