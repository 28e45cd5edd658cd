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
type usageClock struct {
	reference time.Time
	// level is the used value of the team served last: the virtual time.
	virtualTime float64
}

func newUsageClock(now time.Time) *usageClock { return &usageClock{reference: now} }

// scale returns the weight of a use at now.
func (c *usageClock) growth(now time.Time) float64 {
	return math.Exp2(now.Sub(c.reference).Seconds() / usageHalfLife.Seconds())
}

func (c *usageClock) needsRescale(now time.Time) bool {
	return now.Sub(c.reference) > maxHalfLives*usageHalfLife
}

// rescale moves the reference to now and returns the factor for all used values.
func (c *usageClock) rescale(now time.Time) float64 {
	factor := 1 / c.growth(now)
	c.reference = now
	c.virtualTime *= factor
	return factor
}
