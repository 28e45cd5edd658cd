package schedule

import "time"

// learnSlotTime updates the time for which a request of a plain service occupies a slot. The time of the
// response also contains the distance to the target, which is subtracted, and the wait there, so that
// responses that report a queue do not count; those without a reported load do. A cost that grew with
// the queue would take more and more of the capacity for the same requests.
func (s *Scheduler) learnSlotTime(now time.Time, p *pool, r *runningRequest) {
	if p.engine != nil || r.reportedLoad > r.target.Slots {
		return
	}
	elapsed := now.Sub(r.dispatchedAt).Seconds()
	if r.target.DataCentre != s.dataCentre {
		elapsed -= s.localityOf(now, r.target.DataCentre).distance
	}
	if elapsed <= 0 {
		// The measured distance exceeds this response time.
		return
	}
	if p.plainTime == 0 {
		p.plainTime = elapsed
		return
	}
	updateEWMA(&p.plainTime, elapsed, demandServiceWeight)
}

// plainSlotTime returns the time in seconds for which a request of a plain service occupies a slot.
func (p *pool) plainSlotTime() float64 {
	if p.plainTime > 0 {
		return p.plainTime
	}
	return p.meanService
}
