package saturation

import (
	"slices"
	"time"

	"github.com/cornelyard/cornelyard/schedule"
)

const (
	// delayLimit is the typical delay from which on a host counts as saturated. A request waits for
	// its turn about four times (arrival, dispatch, response, delivery), so it takes 200 ms longer
	// then, which is the shortest objective of usual routes.
	delayLimit = 50 * time.Millisecond
	// medianSamples is the number of samples whose median is compared with the limit. A single long pause,
	// or a few of them, are no saturation: the host catches up afterwards.
	medianSamples = 8
	// levelStep is by how much the refused share grows with a late sample while the median is above
	// delayLimit, and levelDecay by how much it falls with each sample while the median is below half
	// of it. Between them it stays. It falls more slowly, because refused callers return.
	levelStep  = 0.05
	levelDecay = 0.02
	// maxLevel bounds the refused share, so that a wrong measurement doesn't close a host.
	maxLevel = 0.75
)

// Controller decides which requests of one host are refused. It is not safe for concurrent use.
type Controller struct {
	random  func() float64
	delays  [medianSamples]time.Duration
	samples int
	level   float64
	ranks   rankArrivals
}

// NewController returns a controller that refuses nothing yet. Random returns numbers in [0, 1).
func NewController(random func() float64) *Controller { return &Controller{random: random} }

// Level returns the share of the new requests that is refused, from 0 to 1.
func (c *Controller) Level() float64 { return c.level }

// Delay returns the median delay of the last samples, or 0 while there are too few.
func (c *Controller) Delay() time.Duration {
	if c.samples < medianSamples {
		return 0
	}
	sorted := c.delays
	slices.Sort(sorted[:])
	return sorted[medianSamples/2]
}

// Record takes in a sample and adapts the refused share. It reports whether the host has begun to refuse
// requests, or no longer does.
func (c *Controller) Record(s Sample) (changed bool) {
	before := c.level > 0
	c.delays[c.samples%medianSamples] = s.delay()
	c.samples++
	switch delay := c.Delay(); {
	case delay > delayLimit && s.delay() > delayLimit:
		c.level = min(c.level+levelStep, maxLevel)
	case delay < delayLimit/2:
		c.level = max(c.level-levelDecay, 0)
	}
	return c.level > 0 != before
}

// Admits counts a new request of a rank and decides whether it is admitted. It must be called once per
// request. The least urgent ones are refused first; of the rank at the
// boundary, a part is drawn at random.
func (c *Controller) Admits(now time.Time, rank schedule.Rank) bool {
	before, own := c.ranks.record(now, rank)
	granted := 1 - c.level
	switch {
	case c.level == 0 || before+own <= granted:
		return true
	case before >= granted:
		return false
	default:
		return c.random() < (granted-before)/own
	}
}
