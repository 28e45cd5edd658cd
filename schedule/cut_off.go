package schedule

import (
	"slices"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/route"
)

const (
	// quietTime is how long no target of a pool responds before a failure to connect makes
	// this host doubt its own links, and silentTime the same if requests go unanswered.
	quietTime  = 150 * time.Millisecond
	silentTime = 400 * time.Millisecond
	// doubtTime is how long a failure to connect counts.
	doubtTime = 2 * time.Second
	// passOnStateAge is the greatest age of the state of a host to which requests are passed
	// on, unless states are sent so seldom that older ones count as up to date.
	passOnStateAge = 500 * time.Millisecond
	// maxDistantHosts bounds the hosts to choose from whose own state is not known here.
	maxDistantHosts = 3
)

// Divert passes a request on to another host, because this one reaches no target of the pool.
type Divert struct {
	Request ident.Request
	// Hosts holds the hosts to choose from, in the order of preference.
	Hosts []ident.Host
}

// RequestID implements Action.
func (d *Divert) RequestID() ident.Request { return d.Request }

// SilentPools returns the pools of which this host may reach no target: none has responded for
// a while although requests were sent, or connections were asked for.
func (s *Scheduler) SilentPools(now time.Time) []ident.Pool {
	var silent []ident.Pool
	for _, p := range s.pools {
		if !p.cutOff && s.isSilent(now, p) {
			silent = append(silent, p.name)
		}
	}
	return silent
}

func (s *Scheduler) isSilent(now time.Time, p *pool) bool {
	heardAt := p.lastResponseAt()
	quiet := now.Sub(heardAt)
	if quiet > quietTime && p.unreachableAt.After(heardAt) && now.Sub(p.unreachableAt) < doubtTime {
		return true
	}
	if quiet <= silentTime {
		return false
	}
	if s.unheardTargets(now, p, heardAt) >= minUnheardTargets {
		return true
	}
	for _, r := range s.running {
		if r.request.Pool == p.name && now.Sub(r.dispatchedAt) > silentTime {
			return true
		}
	}
	return false
}

// lastResponseAt returns when any target of the pool last sent anything to this host.
func (p *pool) lastResponseAt() time.Time {
	var last time.Time
	for _, t := range p.targets {
		if t.lastResponseAt.After(last) {
			last = t.lastResponseAt
		}
	}
	return last
}

// ProbeCandidates returns up to n available targets of a pool, a random choice.
func (s *Scheduler) ProbeCandidates(name ident.Pool, n int) []route.Target {
	return s.OtherTargets(route.Target{Pool: name}, n)
}

// SetCutOff sets whether this host reaches no target of a pool. When it reaches them again,
// they are all in use again at once.
func (s *Scheduler) SetCutOff(now time.Time, name ident.Pool, cutOff bool) (changed bool) {
	p := s.poolOf(name)
	if p.cutOff == cutOff {
		return false
	}
	p.cutOff = cutOff
	p.unreachableAt = time.Time{}
	if !cutOff {
		p.unheardSince = time.Time{}
	}
	if !cutOff {
		for _, t := range p.targets {
			before := t.health
			t.health = health{}
			s.recordHealthChange(t, before, causeReachable)
		}
	}
	return true
}

// CutOffPools returns the pools of which this host reaches no target, in order.
func (s *Scheduler) CutOffPools() []ident.Pool {
	var names []ident.Pool
	for _, p := range s.pools {
		if p.cutOff {
			names = append(names, p.name)
		}
	}
	slices.Sort(names)
	return names
}

// SetDistantHosts sets the other hosts that send this one no state of their own.
func (s *Scheduler) SetDistantHosts(hosts []ident.Host) { s.distantHosts = hosts }

// hostsThatReach returns the hosts that may reach targets of the pool: in random order those
// that say nothing else and take requests, and then some of whom nothing is known.
func (s *Scheduler) hostsThatReach(now time.Time, p *pool) []ident.Host {
	var hosts []ident.Host
	for host, peer := range s.peers {
		fresh := now.Sub(peer.receivedAt) < max(passOnStateAge, s.stateTTL)
		if fresh && !peer.state.Leaving && !slices.Contains(peer.state.CutOff, p.name) {
			hosts = append(hosts, host)
		}
	}
	s.shuffle(hosts)
	distant := slices.Clone(s.distantHosts)
	s.shuffle(distant)
	return append(hosts, distant[:min(len(distant), maxDistantHosts)]...)
}

func (s *Scheduler) shuffle(hosts []ident.Host) {
	for i := len(hosts) - 1; i > 0; i-- {
		j := int(s.random() * float64(i+1))
		hosts[i], hosts[j] = hosts[j], hosts[i]
	}
}

// divert returns the decision to pass a request on, or nil.
func (s *Scheduler) divert(now time.Time, p *pool, r *Request) *Divert {
	if !p.cutOff || !r.MayPassOn {
		return nil
	}
	hosts := s.hostsThatReach(now, p)
	if len(hosts) == 0 {
		return nil
	}
	return &Divert{Request: r.ID, Hosts: hosts}
}

// PassesOn reports whether requests for a pool are passed on to other hosts.
func (s *Scheduler) PassesOn(now time.Time, name ident.Pool) bool {
	p := s.poolOf(name)
	return p.cutOff && len(s.hostsThatReach(now, p)) > 0
}

// divertQueued passes the queued requests of a pool on if this host reaches none of its targets.
func (s *Scheduler) divertQueued(now time.Time, p *pool, actions []Action) []Action {
	if !p.cutOff {
		return actions
	}
	p.queue.items = slices.DeleteFunc(p.queue.items, func(w *queuedRequest) bool {
		if w.linkTrial && now.Sub(w.request.Arrived) < linkTrialWait {
			return false
		}
		d := s.divert(now, p, w.request)
		if d == nil {
			return false
		}
		delete(s.queued, w.request.ID)
		actions = append(actions, d)
		return true
	})
	return actions
}
