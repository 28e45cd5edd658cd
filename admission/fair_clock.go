package admission

import (
	"math"
	"time"
)

const (
	// usageHalfLife is the time after which a past use counts half.
	usageHalfLife = time.Minute
	// maxHalfLives bounds the exponent of the scale.
	maxHalfLives = 64
)

// fairClock decays the usage of all teams of a tier at once: instead of the old
// use becoming less, a new use counts more (forward decay), so that the order of
// teams does not change while time passes.
type fairClock struct {
	reference time.Time
	// level is the used value of the team served last: the virtual time.
	level float64
}

func newFairClock(now time.Time) *fairClock { return &fairClock{reference: now} }

// scale returns the weight of a use at now.
func (c *fairClock) scale(now time.Time) float64 {
	return math.Exp2(now.Sub(c.reference).Seconds() / usageHalfLife.Seconds())
}

func (c *fairClock) mustRescale(now time.Time) bool {
	return now.Sub(c.reference) > maxHalfLives*usageHalfLife
}

// rescale moves the reference to now and returns the factor for all used values.
func (c *fairClock) rescale(now time.Time) float64 {
	factor := 1 / c.scale(now)
	c.reference = now
	c.level *= factor
	return factor
}
