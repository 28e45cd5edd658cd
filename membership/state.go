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
type state struct {
	self    Member
	timing  timing
	members map[ident.Host]*record

	// heardFrom is when any host of the data centre was last heard.
	heardFrom map[ident.DataCentre]time.Time

	// selfSaysLeaving and selfListedLeaving are the sources of self.Leaving.
	selfSaysLeaving   bool
	selfListedLeaving bool
	selfChanged       time.Time

	lastTick time.Time
	// woke is when this process last found that it had not been running.
	woke   time.Time
	paused bool

	dirty  bool
	events []timeline.Event
}

func newState(self Member, t timing) *state {
	self.State = Alive
	return &state{
		self:      self,
		timing:    t,
		members:   make(map[ident.Host]*record),
		heardFrom: make(map[ident.DataCentre]time.Time),
		dirty:     true,
	}
}

// greeted takes what a host said of itself at the start of a session.
func (s *state) greeted(m Member, now time.Time) {
	if m.Host == s.self.Host {
		return
	}
	r := s.ensure(m, now)
	if m.Incarnation < r.Incarnation {
		return
	}
	s.describe(r, m, now)
	s.heard(beat{host: m.Host, incarnation: m.Incarnation, settingsVersion: m.SettingsVersion, leaving: m.Leaving}, now)
}

// beat is one heartbeat.
type beat struct {
	host            ident.Host
	incarnation     uint64
	settingsVersion uint64
	leaving         bool
}

// heard takes a heartbeat. One of an earlier incarnation is ignored.
func (s *state) heard(b beat, now time.Time) {
	r, ok := s.members[b.host]
	if !ok || b.incarnation < r.Incarnation {
		return
	}
	if b.incarnation > r.Incarnation {
		s.restarted(r, b.incarnation, now)
	}
	interrupted := now.Sub(r.heard) > s.limits(r).suspectAfter
	r.heard = now
	r.refusals = 0
	r.saysLeaving = b.leaving
	s.setLeaving(r, now)
	s.setVersion(r, b.settingsVersion, now)
	s.heardFrom[r.DataCentre] = now
	if r.State != Dead || !r.probation {
		s.setAlive(r, now)
		return
	}
	if interrupted || r.steadySince.IsZero() {
		r.steadySince = now
	}
	if r.steady(now) {
		s.setAlive(r, now)
	}
}

// closed notes that the session to the host ended.
func (s *state) closed(host ident.Host) {
	r, ok := s.members[host]
	if !ok {
		return
	}
	r.steadySince = time.Time{}
	if r.State == Alive {
		s.setState(r, Suspect)
	}
}

// refused notes that the host refused a connection: no process listens there.
func (s *state) refused(host ident.Host, now time.Time) {
	r, ok := s.members[host]
	if !ok {
		return
	}
	r.refusals++
	if r.refusals >= refusalsToDead && r.State != Dead {
		s.setDead(r, now, "connections refused")
	}
}

// told takes the member list of the host from.
func (s *state) told(from ident.Host, list []relayedMember, now time.Time) {
	teller, ok := s.members[from]
	if !ok {
		return
	}
	for _, m := range list {
		if m.Host == s.self.Host || m.Host == from {
			continue
		}
		s.relay(teller, m, now)
	}
}

// listed takes the platform's host list. It adds members, addresses and leaving
// marks; it declares nobody alive or dead.
func (s *state) listed(hosts []storage.HostEntry, now time.Time) {
	for _, r := range s.members {
		r.listed = false
	}
	selfLeaving := false
	for _, h := range hosts {
		if h.Role != storage.RoleEntry {
			continue
		}
		leaving := h.State == storage.HostLeaving
		if h.Name == string(s.self.Host) {
			selfLeaving = leaving
			continue
		}
		m := Member{Host: ident.Host(h.Name), DataCentre: h.DataCentre, PeerAddress: h.Address}
		r := s.ensure(m, now)
		r.listed = true
		r.listedLeaving = leaving
		s.setLeaving(r, now)
		if r.State == Dead && r.PeerAddress != h.Address {
			r.PeerAddress = h.Address
			s.dirty = true
		}
	}
	s.selfListedLeaving = selfLeaving
	s.setSelf(s.selfSaysLeaving, s.self.SettingsVersion, now)
}

// setSelf notes what this host says of itself.
func (s *state) setSelf(leaving bool, settingsVersion uint64, now time.Time) {
	s.selfSaysLeaving = leaving
	effective := leaving || s.selfListedLeaving
	version := max(settingsVersion, s.self.SettingsVersion)
	if effective == s.self.Leaving && version == s.self.SettingsVersion {
		return
	}
	s.self.Leaving = effective
	s.self.SettingsVersion = version
	s.selfChanged = now
	s.dirty = true
}

// tick lets time pass.
func (s *state) tick(now time.Time) {
	if s.overdue(now) {
		s.wake(now)
	}
	s.lastTick = now
	for host, r := range s.members {
		s.age(r, now)
		if r.State == Dead && !r.listed && now.Sub(r.died) > forgetAfter {
			delete(s.members, host)
			s.dirty = true
		}
	}
	s.regainTrust(now)
}

// overdue tells whether so much time has passed since the last tick that this
// process can't have been running.
func (s *state) overdue(now time.Time) bool {
	return !s.lastTick.IsZero() && now.Sub(s.lastTick) > s.timing.suspectAfter
}

// wake notes that this process was not running since the last tick, so that
// the silence of the others proves nothing.
func (s *state) wake(now time.Time) {
	gap := now.Sub(s.lastTick)
	s.woke = now
	s.paused = true
	s.dirty = true
	for _, r := range s.members {
		r.steadySince = time.Time{}
		if r.State != Dead {
			r.heard = now
		}
	}
	s.event(timeline.PauseSeen, "", gap.Round(time.Millisecond).String())
}

// regainTrust ends the pause when every host of the own data centre was heard
// again or is dead. Heartbeats of the first interval don't count, because they
// may have waited in a buffer during the pause.
func (s *state) regainTrust(now time.Time) {
	if !s.paused {
		return
	}
	fresh := s.woke.Add(s.timing.heartbeat)
	if now.Before(fresh) {
		return
	}
	for _, r := range s.members {
		if r.DataCentre == s.self.DataCentre && r.State != Dead && r.heard.Before(fresh) {
			return
		}
	}
	s.paused = false
	s.dirty = true
}

// view returns the current picture; version is chosen by the caller.
func (s *state) view(version uint64) *View {
	v := &View{Version: version, Self: s.self, Stale: s.paused}
	v.Members = make([]Member, 0, len(s.members)+1)
	v.Members = append(v.Members, s.self)
	for _, r := range s.members {
		v.Members = append(v.Members, r.Member)
	}
	slices.SortFunc(v.Members, func(a, b Member) int { return cmp.Compare(a.Host, b.Host) })
	return v
}

// takeDirty tells whether the view changed since the last call.
func (s *state) takeDirty() bool {
	dirty := s.dirty
	s.dirty = false
	return dirty
}

// takeEvents returns the events since the last call.
func (s *state) takeEvents() []timeline.Event {
	events := s.events
	s.events = nil
	return events
}

func (s *state) event(kind timeline.Kind, peer ident.Host, detail string) {
	s.events = append(s.events, timeline.Event{Kind: kind, Peer: peer, Detail: detail})
}
