package saturation

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/schedule"
)

var start = time.Unix(1_000_000, 0)

// late is a sample of a saturated host, and punctual one of a host that keeps up.
var (
	late     = Sample{Lateness: 80 * time.Millisecond, InFlight: 20}
	punctual = Sample{Lateness: 5 * time.Millisecond, InFlight: 20}
)

func newController() *Controller {
	random := rand.New(rand.NewPCG(1, 1))
	return NewController(random.Float64)
}

// record records a number of equal samples.
func record(c *Controller, s Sample, count int) {
	for range count {
		c.Record(s)
	}
}

// refusedByRank lets requests of three ranks arrive for 2 s, 100 per second each, and returns the share of
// each rank that is refused in the last second.
func refusedByRank(c *Controller) (refused [3]float64) {
	for ms := range 2000 {
		for rank := range refused {
			if ms%10 == 0 && !c.Admits(start.Add(time.Duration(ms)*time.Millisecond), schedule.Rank{Route: rank}) && ms >= 1000 {
				refused[rank] += 0.01
			}
		}
	}
	return refused
}

// Guards against refusals at hosts that are not saturated: one that keeps up, one with single long pauses,
// one that is suspended, one with an idle loop that runs late, and one that has just started.
func TestHostsThatKeepUpRefuseNothing(t *testing.T) {
	cases := map[string]func(c *Controller){
		"punctual": func(c *Controller) { record(c, punctual, 100) },
		"pauses": func(c *Controller) {
			for range 30 {
				record(c, late, 3)
				record(c, punctual, 6)
			}
		},
		"suspended": func(c *Controller) {
			record(c, punctual, 20)
			c.Record(Sample{Lateness: time.Minute, InFlight: 20})
		},
		"few requests": func(c *Controller) { record(c, Sample{Lateness: time.Second, InFlight: minInFlight - 1}, 100) },
		"started":      func(c *Controller) { record(c, late, medianSamples-1) },
	}
	for name, samples := range cases {
		t.Run(name, func(t *testing.T) {
			c := newController()
			samples(c)
			if refused := refusedByRank(c); c.Level() != 0 || refused != [3]float64{} {
				t.Errorf("level %v, refused %v, want none", c.Level(), refused)
			}
		})
	}
}

// Guards against refusals of urgent requests while less urgent ones are admitted, and against a host that
// refuses all requests.
func TestLeastUrgentRequestsAreRefusedFirst(t *testing.T) {
	for name, s := range map[string]Sample{"late loop": late, "full link": {SendTime: 80 * time.Millisecond, InFlight: 20}} {
		t.Run(name, func(t *testing.T) {
			c := newController()
			// Four steps: a fifth of all requests is refused, all of the last rank.
			record(c, s, medianSamples+3)
			if refused := refusedByRank(c); refused[0] > 0 || refused[1] > 0 || refused[2] < 0.4 || refused[2] > 0.8 {
				t.Errorf("refused %v at level %v, want three fifths of the last rank", refused, c.Level())
			}
			record(c, s, 1000)
			if refused := refusedByRank(c); refused[0] > 0.4 || refused[1] < 0.95 || refused[2] < 0.95 {
				t.Errorf("refused %v at level %v, want a quarter of the first rank", refused, c.Level())
			}
		})
	}
}

// Guards against a host that goes on refusing requests after it has caught up, and against several lines
// of log for one change.
func TestRefusalsEndWhenTheHostKeepsUp(t *testing.T) {
	c, changes := newController(), 0
	for range 100 {
		if c.Record(late) {
			changes++
		}
	}
	for range 100 {
		if c.Record(punctual) {
			changes++
		}
	}
	if c.Level() != 0 || changes != 2 {
		t.Errorf("level %v after 3 s without delays, %d changes, want 0 and 2", c.Level(), changes)
	}
}

// Guards against memory that grows with the ranks, and against a division by zero when none are counted.
func TestRanksAreBounded(t *testing.T) {
	c := newController()
	record(c, late, 50)
	for rank := range 10 * maxRanks {
		c.Admits(start, schedule.Rank{Route: rank})
	}
	if len(c.ranks.counts) > maxRanks {
		t.Errorf("%d ranks, want at most %d", len(c.ranks.counts), maxRanks)
	}
	c.Admits(start.Add(time.Hour), schedule.Rank{Route: 3})
	if len(c.ranks.counts) != 1 {
		t.Errorf("%d ranks after an hour, want 1", len(c.ranks.counts))
	}
}
