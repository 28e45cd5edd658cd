package rollout

import "time"

// Controller decides on the steps of the rollouts of one pool. It keeps only what makes
// judgements sharper; another host's controller goes on from the progress alone.
type Controller struct {
	options Options
	order   OrderID
	// step is the step in force, stepAt when it was first seen, and stepTotal the evidence
	// then. formerTotal is the evidence at the start of the step before.
	// reachedMilli is the share of the last step that was no return: after a suspicion, the ramp goes on there.
	step         int
	shareMilli   int
	reachedMilli int
	stepAt       time.Time
	stepTotal    Report
	formerTotal  Report
	history      history
	// maxCandidates is the largest number of candidates seen under the order.
	maxCandidates int
}

// NewController returns the controller of a pool.
func NewController(options Options) *Controller { return &Controller{options: options} }

// Decide returns the progress that is to follow, whether it differs from the current one, and
// the judgement that it is based on. If the next progress can't be stored, it is decided
// again at the next call. RolledBack takes effect at once; every other progress must be stored
// before it is exchanged.
func (c *Controller) Decide(now time.Time, s Situation) (next Progress, changed bool, verdict Verdict) {
	switch current := s.Progress.Order.Compare(s.Order.ID); {
	case current > 0:
		return s.Progress, false, Verdict{}
	case current < 0 || s.Progress.Phase == 0:
		return c.begin(s), true, Verdict{}
	case s.Progress.Phase != InProgress:
		return s.Progress, false, Verdict{}
	}
	c.observe(now, s)
	d := decision{
		Situation: s, controller: c, now: now,
		elapsed: time.Duration(s.NowMs-s.Progress.StartedMs) * time.Millisecond,
		plan:    newPlan(s.Order.Duration),
	}
	d.verdict = d.judge()
	next = d.next()
	return next, next != s.Progress, d.verdict
}

// firstShare returns the share of the first step, in thousandths.
func (c *Controller) firstShare() int {
	const firstPart = 0.4 // of the share that is allowed until the version is judged
	return clampShare(firstPart * c.options.ExposureShare)
}

// begin returns the first progress of an order. A version that all targets have is in service.
func (c *Controller) begin(s Situation) Progress {
	p := Progress{
		Order: s.Order.ID, Version: s.Order.Version, Phase: InProgress,
		Step: 1, ShareMilli: c.firstShare(), StartedMs: s.NowMs,
	}
	if s.Candidates > 0 && s.OldTargets == 0 {
		p.Phase, p.ShareMilli = Completed, 1000
	}
	return p
}

// observe records the evidence, and starts again with a new order or step.
func (c *Controller) observe(now time.Time, s Situation) {
	if c.order != s.Order.ID {
		*c = Controller{options: c.options, order: s.Order.ID}
	}
	if c.step != s.Progress.Step {
		c.beginStep(now, s)
	}
	c.history.record(now, s.Evidence)
	c.maxCandidates = max(c.maxCandidates, s.Candidates)
}

// beginStep notes the evidence at the start of a step. A smaller share of the ramp follows a
// suspicion; the evidence that led to it continues to count then.
func (c *Controller) beginStep(now time.Time, s Situation) {
	isReturn := isRamp(s.Progress.ShareMilli) && s.Progress.ShareMilli < c.shareMilli
	if isReturn && now.Sub(c.stepAt) >= reactionTime {
		// The share was held for long enough; the ramp goes on above it if time is short.
		c.reachedMilli = nextRampShare(c.shareMilli)
	}
	c.step, c.shareMilli, c.stepAt = s.Progress.Step, s.Progress.ShareMilli, now
	if isReturn {
		return
	}
	c.reachedMilli = s.Progress.ShareMilli
	c.formerTotal = c.stepTotal
	c.stepTotal = s.Evidence.clone()
	if c.formerTotal == nil {
		c.formerTotal = c.stepTotal
	}
}

// clampShare converts a share to thousandths, from 1 to 1000.
func clampShare(share float64) int { return int(min(max(share*1000, 1), 1000)) }
