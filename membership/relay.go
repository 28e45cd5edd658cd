package membership

import "time"

// relayedMember is a member as another host lists it.
type relayedMember struct {
	Member
	// dead says that a host of the member's own data centre doesn't count it.
	dead bool
}

// relay takes one entry of a member list. Members of the own data centre are
// judged by direct evidence only; those of another one, where this host keeps
// few sessions, also by what its hosts say.
func (s *state) relay(teller *record, m relayedMember, now time.Time) {
	r, known := s.members[m.Host]
	if !known {
		if m.dead {
			return
		}
		r = s.ensure(m.Member, now)
	}
	if m.DataCentre == s.self.DataCentre || teller.DataCentre != m.DataCentre {
		s.readdress(r, m, now)
		return
	}
	s.relayRemote(r, m, now)
}

// readdress takes over the address of a newer process of a member that isn't
// heard from here.
func (s *state) readdress(r *record, m relayedMember, now time.Time) {
	if r.State != Alive && m.Incarnation > r.Incarnation && !m.dead {
		s.describe(r, m.Member, now)
	}
}

func (s *state) relayRemote(r *record, m relayedMember, now time.Time) {
	if m.Incarnation < r.Incarnation {
		return
	}
	r.relayed = !m.dead
	if now.Sub(r.heard) <= s.limits(r).suspectAfter && r.State == Alive {
		return
	}
	if m.dead {
		if r.State != Dead && m.Incarnation == r.Incarnation {
			s.setDead(r, now, "lost by its data centre")
		}
		return
	}
	if m.Incarnation > r.Incarnation {
		s.restarted(r, m.Incarnation, now)
	}
	s.describe(r, m.Member, now)
	r.saysLeaving = m.Leaving
	s.setLeaving(r, now)
	s.setVersion(r, m.SettingsVersion, now)
	r.refusals = 0
	s.setAlive(r, now)
}

// vouched tells whether the hosts of the member's data centre count it, and at
// least one of them is heard from here.
func (s *state) vouched(r *record, now time.Time) bool {
	if !r.relayed || r.DataCentre == s.self.DataCentre {
		return false
	}
	return now.Sub(s.heardFrom[r.DataCentre]) <= s.limits(r).suspectAfter
}

// changedSince lists the members of the own data centre, this host included,
// whose listed fields changed after since.
func (s *state) changedSince(since time.Time) []relayedMember {
	var list []relayedMember
	if s.selfChanged.After(since) {
		list = append(list, relayedMember{Member: s.self})
	}
	for _, r := range s.members {
		if r.DataCentre == s.self.DataCentre && r.changed.After(since) {
			list = append(list, relayedMember{Member: r.Member, dead: r.State == Dead})
		}
	}
	return list
}
