package membership

import (
	"time"

	"github.com/cornelyard/cornelyard/timeline"
)

// ensure returns the member's record. A new one is suspect: it counts at once,
// as it does for whoever named it, and dies if it isn't heard in time.
func (s *state) ensure(m Member, now time.Time) *record {
	if r, ok := s.members[m.Host]; ok {
		return r
	}
	m.State = Suspect
	r := &record{Member: m, heard: now, changed: now, saysLeaving: m.Leaving}
	s.members[m.Host] = r
	s.dirty = true
	return r
}

// describe takes over addresses and the data centre.
func (s *state) describe(r *record, m Member, now time.Time) {
	if r.DataCentre == m.DataCentre && r.PeerAddress == m.PeerAddress && r.OperatorAddress == m.OperatorAddress {
		return
	}
	r.DataCentre = m.DataCentre
	r.PeerAddress = m.PeerAddress
	r.OperatorAddress = m.OperatorAddress
	r.changed = now
	s.dirty = true
}

// restarted notes that another process runs under the member's name.
func (s *state) restarted(r *record, incarnation uint64, now time.Time) {
	if r.State != Dead && r.everAlive {
		s.setDead(r, now, "restarted")
		// The new process was just heard, so it counts at once unless it keeps
		// restarting.
		if r.flaps <= 1 {
			r.probation = false
		}
	}
	r.Incarnation = incarnation
	r.SettingsVersion = 0
	r.changed = now
	s.dirty = true
}

func (s *state) setState(r *record, state State) {
	if r.State == state {
		return
	}
	r.State = state
	s.dirty = true
}

func (s *state) setAlive(r *record, now time.Time) {
	if r.State == Alive {
		return
	}
	joined := r.State == Dead || !r.everAlive
	s.setState(r, Alive)
	r.everAlive = true
	r.steadySince = time.Time{}
	if joined {
		r.changed = now
		s.event(timeline.MemberJoined, r.Host, "")
	}
}

func (s *state) setDead(r *record, now time.Time, detail string) {
	s.setState(r, Dead)
	r.died = now
	r.changed = now
	r.steadySince = time.Time{}
	if !r.everAlive {
		return
	}
	// A planned stop is no flap: the next process counts at once.
	r.probation = !r.Leaving
	if r.probation {
		r.flap(now)
	}
	s.event(timeline.MemberLost, r.Host, detail)
}

func (s *state) setLeaving(r *record, now time.Time) {
	leaving := r.saysLeaving || r.listedLeaving
	if r.Leaving == leaving {
		return
	}
	r.Leaving = leaving
	r.changed = now
	s.dirty = true
}

func (s *state) setVersion(r *record, version uint64, now time.Time) {
	if version <= r.SettingsVersion {
		return
	}
	r.SettingsVersion = version
	r.changed = now
	s.dirty = true
}

// limits is the intervals that apply to the member.
func (s *state) limits(r *record) timing {
	if r.DataCentre == s.self.DataCentre {
		return s.timing
	}
	return timing{
		heartbeat:    remoteFactor * s.timing.heartbeat,
		suspectAfter: remoteFactor * s.timing.suspectAfter,
		deadAfter:    remoteFactor * s.timing.deadAfter,
	}
}

// age applies the member's silence.
func (s *state) age(r *record, now time.Time) {
	limits := s.limits(r)
	silence := now.Sub(r.heard)
	if r.State == Dead {
		s.ageDead(r, silence > limits.suspectAfter, now)
		return
	}
	if s.vouched(r, now) {
		return
	}
	switch {
	case silence > limits.deadAfter:
		s.setDead(r, now, "silent")
	case silence > limits.suspectAfter:
		s.setState(r, Suspect)
	}
}

func (s *state) ageDead(r *record, silent bool, now time.Time) {
	if silent {
		r.steadySince = time.Time{}
	}
	if s.vouched(r, now) && now.Sub(r.died) > relayRetry {
		r.refusals = 0
		s.setAlive(r, now)
	}
}
