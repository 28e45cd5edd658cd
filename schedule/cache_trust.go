package schedule

import (
	"math"
	"time"
)

const (
	// cacheTrustWeight is the weight of a checked prediction in the trust in a target's cache.
	cacheTrustWeight = 0.2
	// cacheTrustHalfLife is the time in which half of lost trust returns. A target that is not
	// trusted gets no such prompts, so that nothing else would show that its cache works again.
	cacheTrustHalfLife = 20 * time.Second
)

// cacheTrust is the part of the predictions about the cache of a target that lately came true. The
// zero value trusts it.
type cacheTrust struct {
	doubt     float64
	updatedAt time.Time
}

// value returns a number from 0 to 1.
func (c cacheTrust) value(now time.Time) float64 {
	if c.doubt == 0 {
		return 1
	}
	return 1 - c.doubt*math.Exp2(-now.Sub(c.updatedAt).Seconds()/cacheTrustHalfLife.Seconds())
}

// record adds a checked prediction. A less certain result counts less.
func (c *cacheTrust) record(now time.Time, confirmed bool, certainty float64) {
	doubt, observed := 1-c.value(now), 1.0
	if confirmed {
		observed = 0
	}
	c.doubt, c.updatedAt = doubt+cacheTrustWeight*certainty*(observed-doubt), now
}
