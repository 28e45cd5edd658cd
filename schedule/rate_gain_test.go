package schedule

import (
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/fairshare"
	"github.com/cornelyard/cornelyard/route"
)

// controlOf returns a control of 100 slots to which 80 slots of predicted slot time are granted.
func controlOf() *rateControl {
	c := &rateControl{rates: fairshare.NewRates(), gain: 1, slots: 100, load: 0.8, expected: 80}
	c.rates.Divide(start, 1000, map[fairshare.Key]fairshare.Load{{Team: "a"}: {Used: 160}}, 1)
	return c
}

// runFor updates the gain for a time in which the targets have a load.
func runFor(c *rateControl, load float64, d time.Duration) {
	c.load = load
	for ; d > 0; d -= divideInterval {
		c.updateGain(divideInterval, 0.5)
	}
}

// Guards against slots that stay free after a burst while requests are refused, since a load that
// was high for a moment lowers the granted rate for seconds.
func TestGrantedRateRecoversWithTheLoad(t *testing.T) {
	c := controlOf()
	runFor(c, 1.6, 300*time.Millisecond)
	if c.gain > 0.9 {
		t.Errorf("gain %.2f while requests wait at targets, want less", c.gain)
	}
	runFor(c, 0.8, time.Second)
	if c.gain < 0.9 {
		t.Errorf("gain %.2f a second after the load fell, want about 1", c.gain)
	}
}

// Guards against slots that stay free because requests take less time than predicted.
func TestGainCorrectsPredictedSlotTimes(t *testing.T) {
	c := controlOf()
	runFor(c, 0.4, 2*time.Second)
	if c.gain < 1.8 || c.gain > 2.2 {
		t.Errorf("gain %.2f, want 2: requests occupy half of the slots predicted", c.gain)
	}
}

// Guards against refusals in pools of plain services whose objective leaves time to wait, and
// against engines that are loaded until prompts delay each other.
func TestRequestsMayWaitWhereTheObjectiveAllows(t *testing.T) {
	for _, c := range []struct {
		name      string
		engine    *route.Engine
		objective float64
		service   float64
		prompt    float64
		want      float64
	}{
		{"objective of several service times", nil, 0.2, 0.04, 0, ratedLoad + maxWaitingLoad},
		{"objective of two service times", nil, 0.08, 0.04, 0, ratedLoad + waitRatio},
		{"objective of one service time", nil, 0.04, 0.04, 0, ratedLoad},
		{"engine with short prompts", &route.Engine{Slots: 5}, 0.6, 0.3, 0.02, ratedLoad + maxFullLoad},
		{"engine with prompts of half the objective", &route.Engine{Slots: 6}, 0.48, 0.4, 0.04, ratedLoad + promptWaitRatio},
		{"engine with long prompts", &route.Engine{Slots: 6}, 0.5, 0.4, 0.1, ratedLoad},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := &pool{engine: c.engine, meanService: c.service}
			p.objective, p.control.promptTime = c.objective, c.prompt
			if got := p.grantedLoad(); got < c.want-1e-9 || got > c.want+1e-9 {
				t.Errorf("granted load %.3f, want %.3f", got, c.want)
			}
		})
	}
}

// Guards against a stream of unlikely length that counts as more demand than it can be.
func TestDemandOfARequestEndsAtItsDeadline(t *testing.T) {
	s := newRatedScheduler(6)
	r := request("long", 0, 100_000_000)
	r.OutputTokens = 100_000_000
	r.Deadline = at(2000)
	if cost := s.poolOf("p").ratedCost(&r); cost > 2*s.poolOf("p").memorySlots(&r)+1e-9 {
		t.Errorf("cost %.1f s, want 2 s times the slots' worth of memory", cost)
	}
}
