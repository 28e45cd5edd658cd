package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/storage"
	"github.com/cornelyard/cornelyard/timeline"
)

// detector is the failure detector: it decides which members are alive. It has no
// clock and does no I/O: the current time is a parameter of its methods, and its
// decisions are read with view and takeEvents.
type detector struct {
	self    Member
	timing  timing
	members map[ident.Host]*memberRecord

	// lastHeartbeatFrom is when a heartbeat last arrived from any host of the data
	// centre.
	lastHeartbeatFrom map[ident.DataCentre]time.Time

	// self.Leaving is true if either of these is.
	selfAnnouncedLeaving bool
	selfHostListLeaving  bool
	selfChangedAt        time.Time

	lastCheck time.Time
	// resumedAt is when the end of a pause of this process was last detected.
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

// applyHostList processes the platform's host list. It adds members, addresses and
// leaving marks, but never declares a member alive or dead.
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

// updateSelf sets what this host announces about itself.
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

// checkTimeouts applies the passage of time: it detects pauses of this process,
// updates the members' states, and removes long-dead members that are not in the host
// list.
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

// view returns the current view with the given version.
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

// takeViewChanged reports whether the view changed since the previous call.
func (d *detector) takeViewChanged() bool {
	changed := d.viewChanged
	d.viewChanged = false
	return changed
}

// takeEvents returns the events since the previous call.
func (d *detector) takeEvents() []timeline.Event {
	events := d.events
	d.events = nil
	return events
}

func (d *detector) addEvent(kind timeline.Kind, peer ident.Host, detail string) {
	d.events = append(d.events, timeline.Event{Kind: kind, Peer: peer, Detail: detail})
}
