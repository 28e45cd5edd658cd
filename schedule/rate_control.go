package schedule

import (
	"math"
	"time"

	"github.com/cornelyard/cornelyard/fairshare"
)

const (
	// maxOrderedHosts is the number of hosts up to which requests are ordered over all hosts by
	// start tags. States of more hosts are older than the time for which a slot stays occupied:
	// several hosts would see the same slot free.
	maxOrderedHosts = 16
	// ratedLoad is the part of the capacity that is granted while requests are admitted by
	// rates.
	ratedLoad = 0.85
	// drainFactor is how much the rate falls with the load. More than 1 would oscillate, since the
	// load is known late. minGranted is the least part of the capacity that is granted; it leaves
	// teams with little demand their part while requests wait at targets.
	drainFactor = 0.8
	minGranted  = 0.3
	// gainRate is how fast the predicted slot times are corrected, per second and unit of load. The
	// load is known some tenths of a second late.
	gainRate = 2.0
	minGain  = 0.3
	maxGain  = 5.0
	// maxLoadError bounds the deviation that is corrected at once.
	maxLoadError = 0.5
	// pressedLoad is the load up to which a request that is late although it was sent in time is no
	// sign of overload.
	pressedLoad = 0.5
	// overload is the load from which on capacity counts as scarce.
	overload = 1.2
	// divideInterval is the time between two divisions of the capacity among teams.
	divideInterval = 20 * time.Millisecond
	// reportWait is how long after the begin of scarcity some hosts may not have reported their
	// demand yet.
	reportWait = 500 * time.Millisecond
)

// rateControl admits requests by rates while the capacity of a pool is scarce and the states of
// other hosts are too old for an order over all hosts.
type rateControl struct {
	rates     *fairshare.Rates
	dividedAt time.Time
	scarceAt  time.Time
	// eventInterval is the mean event interval of the targets, and promptTokenTime the mean time
	// per prompt token, both in seconds, or zero while unknown.
	eventInterval   float64
	promptTokenTime float64
	// gain corrects predicted slot times, and load is the part of the slots that is known to be
	// occupied, more than 1 if requests wait at targets.
	gain float64
	load float64
}

// ratedHosts reports whether there are so many hosts that requests are admitted by rates.
func (s *Scheduler) ratedHosts() bool { return s.peerCount+1 > maxOrderedHosts }

// admitsByRate reports whether requests are admitted by rates now.
func (s *Scheduler) admitsByRate(now time.Time, p *pool) bool {
	return s.ratedHosts() && p.shares.scarce(now)
}

// recordDemand records a request that arrives.
func (s *Scheduler) recordDemand(now time.Time, p *pool, r *Request) {
	if s.ratedHosts() {
		p.control.rates.Record(now, s.rateKey(r), p.ratedCost(r))
	}
}

// rateKey returns the key under which a request is admitted. Teams share only where that is
// enabled.
func (s *Scheduler) rateKey(r *Request) fairshare.Key {
	key := shareKey(r)
	if !s.fairShares {
		key.Team = ""
	}
	return key
}

// exceedsRate reports whether a request that arrives is refused because its team or rank exceeds
// its part of the capacity.
func (s *Scheduler) exceedsRate(now time.Time, p *pool, w *queuedRequest) bool {
	r := w.request
	if !s.ratedHosts() || !r.refusedEarly() || !p.hasUnlimited(now, r) {
		return false
	}
	s.divideCapacity(now, p)
	if !p.shares.scarce(now) {
		return false
	}
	key := s.rateKey(r)
	if s.isGranted(now, p, w, p.control.rates.Fraction(key), p.control.rates.SteadyFraction(key)) {
		return false
	}
	p.shares.recordShortage(now)
	p.control.rates.RecordRefused(key, p.ratedCost(r))
	return true
}

// isGranted decides whether a request is granted if a fraction of its team's requests is, and the
// given one steadily. If its
// content and the shared clock are known, it also decides whether capacity is reserved for its
// return.
func (s *Scheduler) isGranted(now time.Time, p *pool, w *queuedRequest, fraction, steady float64) bool {
	if fraction >= 1 {
		return true
	}
	nowMs := s.sharedClock.now(now)
	if nowMs == 0 || w.request.Content.Whole == 0 {
		return s.random() < fraction
	}
	reservation := fairshare.NewReservation(string(p.name), uint64(w.request.Content.Whole), nowMs, steady)
	if w.due = reservation.Due(); w.due || reservation.Granted(fraction) {
		return true
	}
	if wait, reserved := reservation.Promise(longestRetryAfter(now, w)); reserved {
		w.reservedWait = wait
	} else {
		w.unreserved = true
	}
	return false
}

// divideCapacity divides the capacity of the pool among teams from time to time.
func (s *Scheduler) divideCapacity(now time.Time, p *pool) {
	c := &p.control
	if now.Sub(c.dividedAt) < divideInterval {
		return
	}
	granted := s.grantedSlots(now, p)
	if c.load > overload {
		p.shares.recordShortage(now)
	}
	if !p.shares.scarce(now) {
		c.dividedAt, c.scarceAt = now, now
		return
	}
	elapsed := now.Sub(c.dividedAt)
	if c.scarceAt.Equal(c.dividedAt) {
		c.gain, elapsed = 1, 0
	}
	c.dividedAt = now
	others, reporting := s.peerTeamLoads(now, p)
	scale := 1.0
	if hosts := s.peerCount + 1; reporting == 0 || now.Sub(c.scarceAt) < reportWait {
		scale = max(float64(hosts)/float64(1+reporting), 1)
	}
	c.updateSpeeds(now, p)
	c.rates.DropUnused()
	allGranted := c.rates.Divide(now, granted, others, scale)
	c.adjustGain(elapsed, allGranted)
}

// grantedSlots returns the predicted slot time per second that is granted now: a part of the
// capacity, which falls with the number of requests that wait at hosts and targets.
func (s *Scheduler) grantedSlots(now time.Time, p *pool) float64 {
	c := &p.control
	all, slots, busy := 0.0, 0, 0
	for _, t := range p.usableTargets(now) {
		usable := float64(t.usableSlots(now))
		if t.limited() {
			usable = min(usable, t.limit.PerSecond*p.meanService)
		}
		all += usable * c.relativeSpeed(now, t)
		slots += t.Slots + t.late.queueable
		busy += t.busySlots(now)
	}
	waiting := len(p.queue.items) + s.peersQueued(now, p)
	c.load = float64(busy+waiting) / float64(max(slots, 1))
	gain := c.gain
	if gain == 0 && p.engine == nil {
		// Before the first correction. Engines get minGranted until then, because their slots stay
		// occupied for long; a plain service would refuse requests that it has free slots for.
		gain = 1
	}
	return all * max(gain*ratedLoad*math.Exp(-drainFactor*(c.load-ratedLoad)), minGranted)
}

// adjustGain corrects the prediction of slot times so that the known load of the targets becomes
// ratedLoad. While all demand is granted, a lower load only shows that there is little demand.
func (c *rateControl) adjustGain(elapsed time.Duration, allGranted bool) {
	if allGranted && c.load < ratedLoad {
		return
	}
	c.gain *= math.Exp(gainRate * elapsed.Seconds() * min(max(ratedLoad-c.load, -maxLoadError), maxLoadError))
	c.gain = min(max(c.gain, minGain), maxGain)
}

// relativeSpeed returns the speed of a target relative to that of a mean one.
func (c *rateControl) relativeSpeed(now time.Time, t *target) float64 {
	interval := t.knownSpeeds(now).EventInterval
	if interval <= 0 || c.eventInterval <= 0 {
		return 1
	}
	return min(max(c.eventInterval/interval, minRelativeSpeed), maxRelativeSpeed)
}

// peersQueued returns the number of requests that the other hosts have queued.
func (s *Scheduler) peersQueued(now time.Time, p *pool) int {
	sum := 0
	for peer := range s.peerStates() {
		if now.Sub(peer.receivedAt) > s.stateTTL {
			continue
		}
		for i := range peer.state.Backlogs {
			if b := &peer.state.Backlogs[i]; b.Pool == p.name && b.Laxity >= 0 {
				sum += b.Count
			}
		}
	}
	return sum
}

// updateSpeeds updates the speeds of a mean target from what all hosts measured. This host alone
// may get too few responses to know them.
func (c *rateControl) updateSpeeds(now time.Time, p *pool) {
	c.eventInterval = p.meanEventInterval(now)
	sum, count := 0.0, 0.0
	for _, t := range p.targets {
		if rate := t.knownSpeeds(now).PrefillRate; rate > 0 {
			sum += 1 / rate
			count++
		}
	}
	c.promptTokenTime = sum / max(count, 1)
}

// ratedCost predicts the time for which a request occupies a slot of a mean target, in seconds.
func (p *pool) ratedCost(r *Request) float64 {
	if p.engine == nil {
		return p.plainSlotTime()
	}
	prompt, event := p.control.promptTokenTime, p.control.eventInterval
	if prompt == 0 {
		prompt = 1 / p.prefillRate
	}
	if event == 0 {
		event = p.eventInterval
	}
	return (float64(r.PromptTokens)*prompt + float64(r.OutputTokens)*event/p.tokensPerEvent()) * p.memorySlots(r)
}

// isKnownLate reports whether this host learns of the load of a target so late that other hosts may
// have taken the slots that seem to be free.
func (s *Scheduler) isKnownLate(t *target) bool {
	return s.cells == 1 || t.otherCell || t.DataCentre != s.dataCentre
}

// grantedShare returns the part of the demand for the pool that is granted.
func (s *Scheduler) grantedShare(now time.Time, p *pool) float64 {
	if !s.admitsByRate(now, p) {
		return 1
	}
	return p.control.rates.GrantedShare()
}

// isLeftForOthers reports whether a late request waits because requests of other hosts that can
// still be on time may need the free slots. Late requests are the last of the queue.
func (s *Scheduler) isLeftForOthers(now time.Time, p *pool, w *queuedRequest) bool {
	if !w.late || w.request.RequiresVersion || !s.admitsByRate(now, p) {
		return false
	}
	s.divideCapacity(now, p)
	return p.control.load > ratedLoad
}
