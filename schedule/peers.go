package schedule

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

const (
	// backlogMemory is how long another host's queue counts after it was last
	// heard.
	backlogMemory = 250 * time.Millisecond
	// loadMemory is how long the load of a host counts that has fallen silent;
	// its requests may go on at the targets for a while.
	loadMemory = 2 * time.Second
)

// peerState is what another host told last.
type peerState struct {
	state State
	heard time.Time
}

// Hear takes in what another host tells of itself.
func (s *Scheduler) Hear(now time.Time, host ident.Host, state State) {
	if before := s.peers[host]; before != nil {
		s.countLoads(before.state.Loads, (*othersLoad).remove)
	}
	s.peers[host] = &peerState{state: state, heard: now}
	s.countLoads(state.Loads, (*othersLoad).add)
	for _, p := range state.Placements {
		s.prefixes.note(now, p.Hash, p.Target)
	}
	s.updateBlind(now)
}

// ForgetSilent drops the hosts that have not been heard for long.
func (s *Scheduler) ForgetSilent(now time.Time) {
	dropped := false
	for host, peer := range s.peers {
		if now.Sub(peer.heard) > loadMemory {
			delete(s.peers, host)
			dropped = true
		}
	}
	if dropped {
		s.sumLoads()
	}
}

// Members tells how many other hosts there are. While some are not heard, their load
// is only known from what the targets report.
func (s *Scheduler) Members(now time.Time, others int) {
	s.members = others
	s.updateBlind(now)
}

func (s *Scheduler) updateBlind(now time.Time) {
	heard := 0
	for _, peer := range s.peers {
		if now.Sub(peer.heard) < backlogMemory {
			heard++
		}
	}
	for _, t := range s.targets {
		t.blind = heard < s.members
	}
}

// countLoads adds or takes out what another host has on each target.
func (s *Scheduler) countLoads(loads []Load, count func(*othersLoad, *Load)) {
	for i := range loads {
		if t := s.targets[loads[i].Target]; t != nil {
			count(&t.others, &loads[i])
		}
	}
}

// sumLoads adds up anew what the other hosts have on each target, after targets or
// hosts came or went.
func (s *Scheduler) sumLoads() {
	for _, t := range s.targets {
		t.others = othersLoad{}
	}
	for _, peer := range s.peers {
		s.countLoads(peer.state.Loads, (*othersLoad).add)
	}
}

// peersAhead returns how many requests of other hosts come before w.
func (s *Scheduler) peersAhead(now time.Time, name ident.Pool, w *waiting) int {
	slack := w.lapse.Sub(now)
	ahead := 0
	for _, peer := range s.peers {
		if now.Sub(peer.heard) > backlogMemory {
			continue
		}
		for _, b := range peer.state.Backlogs {
			if b.Pool == name && b.before(now.Sub(peer.heard), w, slack) {
				ahead += b.Count
			}
		}
	}
	return ahead
}

// before says whether requests that were told so long ago come before w. A
// negative slack means late.
func (b *Backlog) before(age time.Duration, w *waiting, slack time.Duration) bool {
	left := b.Slack - age
	if late := left < 0; late != w.late {
		return !late
	}
	if order := b.Rank.Compare(w.request.Rank); order != 0 {
		return order < 0
	}
	return left < slack
}

// State returns what to tell the other hosts. It is to be told: placements are
// returned a few times only.
func (s *Scheduler) State(now time.Time) State {
	state := State{Placements: s.takePlacements()}
	for _, t := range s.targets {
		load := t.load(now)
		if load.Running > 0 || load.Good > minTold || load.Bad > minTold || load.Resting || load.Speeds != (Speeds{}) {
			state.Loads = append(state.Loads, load)
		}
	}
	for _, p := range s.pools {
		state.Backlogs = append(state.Backlogs, p.backlogs(now)...)
	}
	return state
}

// minTold is the least decayed count that is worth telling.
const minTold = 0.1

// backlogs sums up the queue, one entry for each rank, late requests apart.
func (p *pool) backlogs(now time.Time) []Backlog {
	var list []Backlog
	for _, w := range p.queue.items {
		slack := w.lapse.Sub(now)
		if w.late {
			slack = min(slack, -time.Millisecond)
		}
		last := len(list) - 1
		if last >= 0 && list[last].Rank == w.request.Rank && (list[last].Slack < 0) == (slack < 0) {
			list[last].Count++
			list[last].Slack = min(list[last].Slack, slack)
			continue
		}
		list = append(list, Backlog{Pool: p.name, Rank: w.request.Rank, Count: 1, Slack: slack})
	}
	return list
}
