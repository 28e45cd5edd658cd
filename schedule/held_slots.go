package schedule

import (
	"slices"
	"time"
)

// heldServiceTimes is the number of mean service times after which a request that got no response
// has ended at its target, or never arrived there.
const heldServiceTimes = 4

// outlastsService reports whether requests that were sent longer ago than a time have ended at
// their targets. Generations may take long, so it holds for plain pools only.
func (p *pool) outlastsService(age time.Duration) bool {
	return p.engine == nil && heldServiceTimes*p.meanService <= age.Seconds()
}

// withoutLostLoads returns the loads of a host without those in plain pools from which it is cut
// off. What it sent there has ended or was lost, but it counts as running until its deadline.
func (s *Scheduler) withoutLostLoads(state *State) []TargetLoad {
	if len(state.CutOff) == 0 {
		return state.Loads
	}
	return slices.DeleteFunc(slices.Clone(state.Loads), func(l TargetLoad) bool {
		t := s.targets[l.Target]
		return t != nil && slices.Contains(state.CutOff, t.Pool) && s.poolOf(t.Pool).outlastsService(silentTime)
	})
}

// dispatchBesideHeld sends a request to a target although requests of other hosts hold all slots,
// or returns nil. If most hosts are cut off but targets accept their connections, their requests
// hold the slots until the deadlines. Then no host gets a response, so that none of them can find
// out that it is cut off: this one request shows it.
func (s *Scheduler) dispatchBesideHeld(now time.Time, p *pool, targets []*target) Action {
	if len(p.queue.items) == 0 || len(targets) == 0 || !s.mayTryHeldSlots(now, p) {
		return nil
	}
	t := targets[min(int(s.random()*float64(len(targets))), len(targets)-1)]
	for i, w := range p.queue.items {
		if w.request.Retryable && t.peers.Running > 0 && !t.limited() && !t.health.probation &&
			!excludes(w.request, t.Name) && w.request.mayServe(now, t) {
			p.queue.items = slices.Delete(p.queue.items, i, i+1)
			return s.dispatch(now, p, w, t)
		}
	}
	return nil
}

// mayTryHeldSlots reports whether no host got a response from the pool for longer than its requests
// take, while none of this host's requests is unanswered. Of the hosts in this state, one on
// average may send a request in each interval, so that targets that pause get few more than they
// have slots.
func (s *Scheduler) mayTryHeldSlots(now time.Time, p *pool) bool {
	respondedAt := p.lastResponseAt()
	if p.cutOff || respondedAt.IsZero() || !p.outlastsService(unheardTime) || now.Sub(p.heldTrialAt) < linkTrialInterval {
		return false
	}
	if now.Sub(respondedAt) < unheardTime || now.Sub(s.peersRespondedAt(p.name)) < unheardTime {
		return false
	}
	for _, r := range s.running {
		if r.request.Pool == p.name {
			return false
		}
	}
	p.heldTrialAt = now
	return s.random()*float64(1+s.peersWithoutLoad(p)) < 1
}

// peersWithoutLoad returns the number of other hosts known to have no request on the pool's targets.
// Hosts known in aggregate count only if none of them has one.
func (s *Scheduler) peersWithoutLoad(p *pool) int {
	n := 0
	for peer := range s.peerStates() {
		loadsPool := func(l TargetLoad) bool {
			t := s.targets[l.Target]
			return t != nil && t.Pool == p.name && l.Running > 0
		}
		if !slices.ContainsFunc(peer.state.Loads, loadsPool) {
			n += peer.hosts
		}
	}
	return n
}
