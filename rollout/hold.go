package rollout

import "time"

const (
	// holdShare and holdAllowance are the parts of the exposure that may be used before the
	// version is judged good. The ramp needs the rest.
	holdShare     = 0.8
	holdAllowance = 0.4
	// wantedRuns is the number of runs on candidates that is aimed at before the ramp. With
	// 50, a failure rate that is 20 percentage points above one of 2 in 100 shows.
	wantedRuns = 110
	// minHoldShare lets a bad version appear early where wantedRuns is soon reached.
	minHoldShare = 0.02
	// maxHoldShare leaves enough requests to the old targets to compare with.
	maxHoldShare = 0.5
	// holdStepTime is the time between two changes of the share before the ramp. Each is a
	// conditional write.
	holdStepTime = 800 * time.Millisecond
	// reactionTime is from the dispatch of a request until a decision based on it is in force
	// at all hosts.
	reactionTime = 1200 * time.Millisecond
)

// hold returns the progress with the share at which wantedRuns is reached at the ramp, within
// the exposure allowed until then.
func (d *decision) hold() Progress {
	share := d.holdShareMilli()
	current := d.Progress.ShareMilli
	if d.now.Sub(d.controller.stepAt) < holdStepTime || d.Candidates == 0 {
		return d.Progress
	}
	if share > current && !d.hasFreshEvidence(time.Second) {
		return d.Progress
	}
	if differsLittle := 4*max(share-current, current-share) < current; differsLittle {
		return d.Progress
	}
	return d.withShare(share)
}

func (d *decision) holdShareMilli() int {
	c := d.controller
	rate := c.history.rate(d.now, d.elapsed)
	if rate == 0 {
		return c.firstShare()
	}
	candidates := d.Evidence.sum(New)
	budget := holdShare*c.options.ExposureShare*float64(c.history.arrived) + holdAllowance*c.options.ExposureAllowance
	// Part of what arrives until the share is in force adds to the budget; the rest allows
	// for a rate that falls.
	allowed := c.options.ExposureShare/2 + (budget-float64(candidates.Dispatched))/(rate*reactionTime.Seconds())
	left := max(d.plan.rampAt-d.elapsed, holdStepTime).Seconds()
	pending := float64(d.Progress.ShareMilli) / 1000 * rate * reportDelay.Seconds()
	wanted := max((float64(wantedRuns-candidates.Dispatched)-pending)/(rate*left), minHoldShare)
	share := clampShare(min(allowed, wanted, maxHoldShare))
	if isRamp(share) {
		share--
	}
	return share
}
