package schedule

import "time"

// ratedCost predicts the time for which a request occupies a slot of a mean target, in seconds; no
// request does so beyond its deadline.
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
	service := float64(r.PromptTokens)*prompt + float64(r.OutputTokens)*event/p.tokensPerEvent()
	if !r.Deadline.IsZero() {
		service = min(service, max(r.Deadline.Sub(r.Arrived).Seconds(), 0))
	}
	return service * p.memorySlots(r)
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

// relativeSpeed returns the speed of a target relative to that of a mean one.
func (c *rateControl) relativeSpeed(now time.Time, t *target) float64 {
	interval := t.knownSpeeds(now).EventInterval
	if interval <= 0 || c.eventInterval <= 0 {
		return 1
	}
	return min(max(c.eventInterval/interval, minRelativeSpeed), maxRelativeSpeed)
}
