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
	ratedLoad = 0.75
	// drainFactor is how much the rate falls with the load. More than 1 would oscillate, since the
	// load is known late. minGranted is the least part of the capacity that is granted; it leaves
	// teams with little demand their part while requests wait at targets.
	drainFactor = 1.2
	minGranted  = 0.3
	// gainTime is the time constant with which the correction of predicted slot times follows the
	// known load. Shorter ones follow random clusters of arrivals.
	gainTime = 400 * time.Millisecond
	// minGain and maxGain bound the correction, so that a wrong load can't stop or release all requests.
	minGain = 0.3
	maxGain = 5.0
	// minExpected is the least part of the slots that granted requests must be expected to occupy for
	// the known load to say something of their predicted slot times.
	minExpected = 0.2
	// minOccupancyLag is the least time by which the load of the targets follows the granted rate.
	minOccupancyLag = 100 * time.Millisecond
	// pressedLoad is the load up to which a request that is late although it was sent in time is no
	// sign of overload: slots are free, so that it has another cause.
	pressedLoad = 0.5
	// overload is the load from which on capacity counts as scarce.
	overload = 1.2
	// waitRatio is the part of the time that requests of a pool without engines can wait and still be on
	// time that they may wait in the mean, and maxWaitingLoad bounds the load that results from it.
	waitRatio      = 0.25
	maxWaitingLoad = 0.4
	// promptWaitRatio and maxFullLoad are the same for engines. There the first event waits for the
	// prompts of the other slots, whose times differ more.
	promptWaitRatio = 0.1
	maxFullLoad     = 0.25
	// divideInterval is the time between two divisions of the capacity among teams.
	divideInterval = 20 * time.Millisecond
	// reportWait is how long after the start of scarcity some hosts may not have reported their
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
	// promptTime is the mean time that an engine takes for a prompt, in seconds.
	promptTime float64
	// expected is the number of slots that the granted requests occupy according to their predicted
	// slot times.
	expected float64
	slots    int
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
		if p.prefillRate > 0 {
			updateEWMA(&p.control.promptTime, float64(r.PromptTokens)/p.prefillRate, poolSampleWeight)
		}
		p.control.rates.Record(now, s.rateKey(r), p.ratedCost(r))
	}
}

// grantedLoad returns the load of the slots up to which requests are granted. The objective may be
// many times what a request takes until it counts as on time, so that some requests can wait: the
// service time in pools without engines, the prompts of all slots on engines.
func (p *pool) grantedLoad() float64 {
	ratio, most, needed := waitRatio, maxWaitingLoad, p.meanService
	if p.engine != nil {
		ratio, most, needed = promptWaitRatio, maxFullLoad, float64(p.engine.Slots)*p.control.promptTime
	}
	if needed <= 0 {
		return ratedLoad
	}
	waiting := ratio * (p.objective - needed) / needed
	return ratedLoad + min(max(waiting, 0), most)
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

// isGranted decides whether a request is granted. Fraction is the part of its team's requests that is
// granted now, steady the part that is granted steadily. If the content of a refused request and the
// shared clock are known, it also decides whether capacity is reserved for its return.
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
		c.expected = c.load * float64(c.slots)
	}
	c.dividedAt = now
	others, reporting := s.peerTeamLoads(now, p)
	c.updateSpeeds(now, p)
	c.rates.DropUnused()
	scale := 1.0
	if hosts := s.peerCount + 1; reporting == 0 || now.Sub(c.scarceAt) < reportWait {
		scale = max(float64(hosts)/float64(1+reporting), 1)
	}
	c.rates.Divide(now, granted, others, scale)
	if now.Sub(c.scarceAt) < reportWait {
		return
	}
	c.updateGain(elapsed, p.meanService)
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
		busy += min(t.busySlots(now), p.maxCountedLoad(t))
	}
	waiting := len(p.queue.items) + s.peersQueued(now, p)
	c.load, c.slots = float64(busy+waiting)/float64(max(slots, 1)), slots
	gain := c.gain
	if gain == 0 && p.engine == nil {
		// Before the first correction. Engines get minGranted until then, because their slots stay
		// occupied for long; a plain service would refuse requests that it has free slots for.
		gain = 1
	}
	load := p.grantedLoad()
	return all * max(gain*load*math.Exp(-drainFactor*(c.load-load)), minGranted)
}

// maxCountedLoad returns the number of requests at a target beyond which more do not count as load:
// those that wait at one plain target leave the slots of the others free. Twice the slots still show
// that all targets are overloaded.
func (p *pool) maxCountedLoad(t *target) int {
	if p.engine != nil {
		return math.MaxInt
	}
	return 2*t.Slots + t.late.queueable
}

// updateGain compares the load that the granted requests are expected to cause with the known one,
// and so corrects predicted slot times. The load follows the granted rate by the mean time that
// requests occupy slots, in seconds.
func (c *rateControl) updateGain(elapsed time.Duration, meanService float64) {
	_, rate := c.rates.Demand()
	lag := max(meanService-fairshare.RateTimeConstant.Seconds(), minOccupancyLag.Seconds())
	c.expected += (1 - math.Exp(-elapsed.Seconds()/lag)) * (rate - c.expected)
	slots := float64(c.slots)
	if c.expected < minExpected*slots || c.load <= 0 {
		return
	}
	measured := min(max(c.expected/(c.load*slots), minGain), maxGain)
	c.gain += (1 - math.Exp(-elapsed.Seconds()/gainTime.Seconds())) * (measured - c.gain)
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
	return p.control.load > p.grantedLoad()
}
